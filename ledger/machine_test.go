package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

var bigLimit = limit.Limit{Rate: 1e6, Burst: 1e6, Version: 1}

func session(i int) ledger.Session {
	return ledger.Session{Host: types.HostID(fmt.Sprintf("entry-%d", i)), Incarnation: "1"}
}

// driver applies commands to a machine at advancing log times and records which
// attempts the machine allowed.
type driver struct {
	m         ledger.Machine
	at        types.LogTime
	attempts  int
	started   map[string][]types.AttemptID // by program and call, the attempts that may be sent to a target
	abandoned map[types.AttemptID]bool     // attempts abandoned without having run
}

func newDriver() *driver {
	return &driver{started: map[string][]types.AttemptID{}, abandoned: map[types.AttemptID]bool{}}
}

func (d *driver) apply(c ledger.Command) ledger.Result {
	d.at = d.at.Add(time.Millisecond)
	return d.m.Apply(d.at, c)
}

func (d *driver) open(p types.ProgramID, parent types.ProgramID, b ledger.Budget) ledger.Result {
	return d.apply(ledger.Command{Open: &ledger.Open{Account: "a", Program: p, Parent: parent, Budget: b}})
}

// begin begins a call and returns the ID of its attempt, or an empty one if no
// attempt was started.
func (d *driver) begin(p types.ProgramID, n types.CallNumber, entry int, idempotent bool) (types.AttemptID, ledger.Result) {
	d.attempts++
	id := types.AttemptID(fmt.Sprintf("attempt-%d", d.attempts))
	r := d.apply(ledger.Command{Begin: &ledger.Begin{
		Account: "a", Limit: bigLimit, Program: p, Number: n, Attempt: id, Session: session(entry),
		Service: "s", Fingerprint: types.Fingerprint(fmt.Sprint(p, n)), Idempotent: idempotent, Reserve: 10, CacheTarget: "t",
	}})
	if r.BeginReply == nil {
		return "", r
	}
	key := fmt.Sprint(p, n)
	d.started[key] = append(d.started[key], id)
	return id, r
}

// TestInvariantsUnderFaults applies random sequences of calls, retries, lost
// entry hosts, late and duplicate outcomes and program ends. After each step it
// checks the order of calls, the budgets and at-most-once execution. Calls with
// odd numbers are not idempotent.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver()
		budget := ledger.Budget{Calls: 6, Tokens: 50, WallTime: time.Hour, Depth: 2}
		d.open("p", "", budget)
		d.open("q", "p", ledger.Budget{Calls: 2, Tokens: 20, WallTime: time.Hour, Depth: 1})
		var ids []types.AttemptID
		numbers := map[types.AttemptID]types.CallNumber{}
		programs := map[types.AttemptID]types.ProgramID{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			p := rapid.SampledFrom([]types.ProgramID{"p", "q"}).Draw(t, "program")
			n := types.CallNumber(rapid.IntRange(1, 5).Draw(t, "number"))
			entry := rapid.IntRange(0, 1).Draw(t, "entry")
			var id types.AttemptID
			if len(ids) > 0 {
				id = rapid.SampledFrom(ids).Draw(t, "attempt")
			}
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				if id, _ := d.begin(p, n, entry, n%2 == 0); id != "" {
					ids = append(ids, id)
					numbers[id], programs[id] = n, p
				}
			case 2:
				d.apply(ledger.Command{Close: &ledger.Close{Account: "a", Program: programs[id], Number: numbers[id], Attempt: id, Outcome: ledger.OutcomeAnswered, Tokens: 7, Target: "t", Cached: true}})
			case 3:
				r := d.apply(ledger.Command{Abandon: &ledger.Abandon{Account: "a", Program: programs[id], Number: numbers[id], Attempt: id, NotRun: true}})
				if r.Fault == nil && id != "" {
					d.abandoned[id] = true
				}
			case 4:
				d.apply(ledger.Command{Expire: &ledger.Expire{Session: session(entry)}})
			case 5:
				d.apply(ledger.Command{End: &ledger.End{Account: "a", Program: "q"}})
			}
			d.checkInvariants(t, budget)
		}
	})
}

func (d *driver) checkInvariants(t *rapid.T, budget ledger.Budget) {
	var calls int64
	var tokens types.Tokens
	for _, p := range []types.ProgramID{"p", "q"} {
		history, err := d.m.History("a", p)
		if err != nil {
			t.Fatal(err)
		}
		for i, c := range history {
			if c.Number != types.CallNumber(i+1) || c.Fingerprint != types.Fingerprint(fmt.Sprint(p, i+1)) {
				t.Fatalf("%s: call %d has number %d and fingerprint %s", p, i+1, c.Number, c.Fingerprint)
			}
			tokens += c.Tokens
		}
		calls += int64(len(history))
		s, _ := d.m.ProgramSummary("a", p)
		if s.Remaining.Calls < 0 || s.Remaining.Tokens < 0 {
			t.Fatalf("%s has exceeded its budget: %+v left", p, s.Remaining)
		}
	}
	if calls > budget.Calls || tokens > budget.Tokens {
		t.Fatalf("%d calls and %d tokens were used, more than the budget %+v", calls, tokens, budget)
	}
	d.checkAtMostOnce(t)
}

// checkAtMostOnce checks that of the attempts at each non-idempotent call at
// most one may have run.
func (d *driver) checkAtMostOnce(t *rapid.T) {
	for key, ids := range d.started {
		if (key[len(key)-1]-'0')%2 == 0 {
			continue
		}
		var mayRun []types.AttemptID
		for _, id := range ids {
			if !d.abandoned[id] {
				mayRun = append(mayRun, id)
			}
		}
		if len(mayRun) > 1 {
			t.Fatalf("non-idempotent call %s was started by several attempts: %v", key, mayRun)
		}
	}
}

// TestResultsAfterRestore restores the machine from its snapshot after each step
// of a sequence of commands in turn and expects the same results as without.
func TestResultsAfterRestore(t *testing.T) {
	runWithRestore := func(restoreAfter int) []string {
		d := newDriver()
		var got []string
		record := func(r ledger.Result) {
			got = append(got, string(types.Encode(r)))
			if len(got) == restoreAfter {
				snapshot := d.m.Snapshot()
				d.m = ledger.Machine{}
				if err := d.m.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
			}
		}
		record(d.open("p", "", ledger.Budget{Calls: 4, Tokens: 100, WallTime: time.Hour, Depth: 1}))
		record(d.open("c", "p", ledger.Budget{Calls: 1, WallTime: time.Hour}))
		id, r := d.begin("p", 1, 0, false)
		record(r)
		record(d.apply(ledger.Command{Close: &ledger.Close{Account: "a", Program: "p", Number: 1, Attempt: id, Outcome: ledger.OutcomeAnswered, Crashed: true}}))
		_, r = d.begin("p", 2, 1, true)
		record(r)
		record(d.apply(ledger.Command{Expire: &ledger.Expire{Session: session(1)}}))
		_, r = d.begin("p", 2, 0, true)
		record(r)
		record(d.apply(ledger.Command{Admit: &ledger.Admit{Account: "a", Limit: bigLimit, Attempt: "x"}}))
		record(d.apply(ledger.Command{End: &ledger.End{Account: "a", Program: "p"}}))
		return got
	}
	want := runWithRestore(0)
	for step := 1; step <= len(want); step++ {
		if diff := cmp.Diff(want, runWithRestore(step)); diff != "" {
			t.Errorf("results with a restore after step %d (-want +got):\n%s", step, diff)
		}
	}
}

// TestReleaseWaitsForRunningAttempt ends a program while an attempt is in
// progress. The cached prefix must not be released before the attempt has ended,
// or the target would cache it again.
func TestReleaseWaitsForRunningAttempt(t *testing.T) {
	d := newDriver()
	d.open("p", "", ledger.Budget{Calls: 4, Tokens: 100, WallTime: time.Hour})
	id, _ := d.begin("p", 1, 0, true)
	d.apply(ledger.Command{End: &ledger.End{Account: "a", Program: "p"}})
	pendingTargets := func(after time.Duration) int { return len(d.m.PendingReleases(d.at.Add(after), 10)) }
	if diff := cmp.Diff([]int{0, 0, 1}, []int{pendingTargets(0), pendingTargets(ledger.MaxAttemptDuration - time.Second), pendingTargets(ledger.MaxAttemptDuration)}); diff != "" {
		t.Errorf("targets to release while the attempt may run (-want +got):\n%s", diff)
	}
	d.apply(ledger.Command{Close: &ledger.Close{Account: "a", Program: "p", Number: 1, Attempt: id, Outcome: ledger.OutcomeAnswered, Target: "u", Cached: true}})
	if diff := cmp.Diff(2, pendingTargets(0)); diff != "" {
		t.Errorf("targets to release after the attempt has ended (-want +got):\n%s", diff)
	}
}

// TestBucketRateInEveryWindow takes from a bucket at random arrival times and
// checks that no window of time admits more than the burst plus the rate times
// its length.
func TestBucketRateInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limit.Limit{Rate: types.PerSecond(rapid.IntRange(1, 50).Draw(t, "rate")), Burst: rapid.IntRange(1, 20).Draw(t, "burst"), Version: 1}
		var b limit.Bucket
		var admitted []types.LogTime
		var at types.LogTime
		for range rapid.IntRange(1, 200).Draw(t, "arrivals") {
			at = at.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond)
			b.SetLimit(at, l)
			wait := b.Wait(at, 1)
			if b.Take(at) {
				admitted = append(admitted, at)
			} else if c := b; !c.Take(at.Add(wait + time.Microsecond)) {
				t.Fatalf("no request is admitted after the announced wait of %v", wait)
			}
		}
		for i := range admitted {
			for j := i; j < len(admitted); j++ {
				bound := float64(l.Burst) + admitted[j].Sub(admitted[i]).Seconds()*float64(l.Rate)
				if float64(j-i+1) > bound+1e-6 {
					t.Fatalf("%d requests were admitted within %v", j-i+1, admitted[j].Sub(admitted[i]))
				}
			}
		}
	})
}

// TestReleaseAfterTargetChange moves a program to another target. The prefix
// cached at the first target must be released at once, but not any more once a
// call of the program has returned to that target.
func TestReleaseAfterTargetChange(t *testing.T) {
	d := newDriver()
	d.open("p", "", ledger.Budget{Calls: 9, Tokens: 100, WallTime: time.Hour})
	callAt := func(n types.CallNumber, target types.TargetID) {
		id, _ := d.begin("p", n, 0, true)
		d.apply(ledger.Command{Close: &ledger.Close{Account: "a", Program: "p", Number: n, Attempt: id, Outcome: ledger.OutcomeAnswered, Target: target, Cached: true}})
	}
	callAt(1, "t")
	callAt(2, "u")
	want := map[types.TargetID][]ledger.CachedPrefix{"t": {{Account: "a", Program: "p", Target: "t"}}}
	if diff := cmp.Diff(want, d.m.PendingReleases(d.at, 10)); diff != "" {
		t.Errorf("prefixes to release after the move (-want +got):\n%s", diff)
	}
	d.begin("p", 3, 0, true) // records t as caching the prefix again
	d.apply(ledger.Command{Release: &ledger.Release{Account: "a", Program: "p", Target: "t"}})
	d.apply(ledger.Command{End: &ledger.End{Account: "a", Program: "p"}})
	if diff := cmp.Diff(2, len(d.m.PendingReleases(d.at.Add(ledger.MaxAttemptDuration), 10))); diff != "" {
		t.Errorf("targets to release after the end of the program (-want +got):\n%s", diff)
	}
}

// TestOverdueAttemptExpires guards against a program that is blocked forever by
// an attempt whose entry host is alive but has lost track of it.
func TestOverdueAttemptExpires(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		d := newDriver()
		d.open("p", "", ledger.Budget{Calls: 4, Tokens: 100, WallTime: time.Hour})
		d.begin("p", 1, 0, idempotent)
		if _, r := d.begin("p", 1, 1, idempotent); !types.IsCode(r.Fault, types.CodeInProgress) {
			t.Fatalf("result of a second attempt: %+v", r)
		}
		d.at = d.at.Add(2*ledger.MaxAttemptDuration + time.Second)
		id, r := d.begin("p", 1, 1, idempotent)
		if idempotent != (id != "") || !idempotent && (r.Call == nil || r.Call.Outcome != ledger.OutcomeUnknown) {
			t.Errorf("result after the first attempt is overdue, idempotent %v: %+v", idempotent, r)
		}
	}
}

// FuzzCommand opens a program, begins a call and then decodes and applies
// commands from arbitrary bytes. The resulting state must survive a snapshot.
func FuzzCommand(f *testing.F) {
	for _, c := range []ledger.Command{
		{End: &ledger.End{Account: "a", Program: "p"}},
		{Begin: &ledger.Begin{Account: "a", Program: "p", Number: 1, Attempt: "x", CacheTarget: "t"}},
		{Close: &ledger.Close{Account: "a", Program: "p", Number: 1, Attempt: "attempt-1"}},
		{Abandon: &ledger.Abandon{Account: "a", Program: "p", Number: 1, Attempt: "attempt-1"}},
		{Open: &ledger.Open{Account: "a", Program: "c", Parent: "p", Budget: ledger.Budget{Calls: 1, WallTime: 1}}},
		{Admit: &ledger.Admit{Account: "a"}},
		{Expire: &ledger.Expire{}},
		{Release: &ledger.Release{Account: "a", Program: "p"}},
	} {
		f.Add(types.Encode(c))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		d := newDriver()
		d.open("p", "", ledger.Budget{Calls: 2, Tokens: 20, WallTime: time.Hour, Depth: 1})
		d.begin("p", 1, 0, false)
		for len(b) > 0 {
			c, rest, err := types.DecodeFirst[ledger.Command](b)
			if err != nil {
				return
			}
			d.m.CheckRateLimit(d.at, c)
			d.apply(c)
			b = rest
		}
		if err := d.m.Restore(d.m.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}

// TestReleaseLimitPerTarget ends many programs whose prefix one target caches
// and one whose prefix another target caches. The limit on the result must not
// let the first target crowd out the second.
func TestReleaseLimitPerTarget(t *testing.T) {
	d := newDriver()
	for i := range 100 {
		p := types.ProgramID(fmt.Sprint("p", i))
		target := types.TargetID("silent")
		if i == 50 {
			target = "other"
		}
		d.open(p, "", ledger.Budget{Calls: 1, Tokens: 10, WallTime: time.Hour})
		id, _ := d.begin(p, 1, 0, true)
		d.apply(ledger.Command{Close: &ledger.Close{Account: "a", Program: p, Number: 1, Attempt: id, Outcome: ledger.OutcomeAnswered, Target: target, Cached: true, UnusedCacheTarget: "t"}})
		d.apply(ledger.Command{End: &ledger.End{Account: "a", Program: p}})
	}
	pending := d.m.PendingReleases(d.at, 8)
	if diff := cmp.Diff([]int{8, 1, 2}, []int{len(pending["silent"]), len(pending["other"]), len(pending)}); diff != "" {
		t.Errorf("releases of \"silent\", of \"other\", and targets (-want +got):\n%s", diff)
	}
}
