package limit_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// TestMain fixes the seed of random tests unless one is given with
// -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// division is an account's limit divided among hosts, by an issuer that is
// replaced at times.
type division struct {
	limit   limit.Limit
	now     types.Mono
	issuer  *limit.Issuer
	holders map[limit.Holder]*limit.Share
	spent   []types.Mono
}

func newDivision(l limit.Limit) *division {
	d := &division{limit: l, holders: map[limit.Holder]*limit.Share{}}
	d.replace()
	return d
}

// replace begins a new issuer that knows nothing of what the last one did.
func (d *division) replace() {
	d.issuer = limit.NewIssuer(d.now)
	d.issuer.Adjust(d.limit, d.now)
}

// renew renews one holder's allotment while some requests wait; the answer may
// be lost on its way.
func (d *division) renew(h limit.Holder, waiting int, lost bool) {
	s := d.holders[h]
	if s == nil {
		s = &limit.Share{}
		d.holders[h] = s
	}
	a := d.issuer.Renew(s.Demand(h, waiting, d.now), d.now)
	if !lost {
		s.Put(a, d.now, d.now)
	}
}

// report renews the allotments of all holders that hold something.
func (d *division) report() {
	for _, h := range slices.Sorted(maps.Keys(d.holders)) {
		if d.holders[h].Holds(d.now) {
			d.renew(h, 0, false)
		}
	}
}

func (d *division) take(h limit.Holder) bool {
	s := d.holders[h]
	if s == nil {
		return false
	}
	s.Ask(d.now)
	if !s.Take(d.now) {
		return false
	}
	d.spent = append(d.spent, d.now)
	return true
}

// worst returns by how much any window exceeds burst plus rate times its
// length.
func (d *division) worst() float64 {
	over := 0.0
	for i := range d.spent {
		for j := i; j < len(d.spent); j++ {
			allowed := float64(d.limit.Burst) + d.spent[j].Sub(d.spent[i]).Seconds()*float64(d.limit.Rate)
			over = max(over, float64(j-i+1)-allowed)
		}
	}
	return over
}

// TestNoWindowAboveLimit lets hosts spend all that they can get while answers
// are lost, hosts are replaced and issuers change: no window sees more than the
// limit.
func TestNoWindowAboveLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDivision(limit.Limit{Rate: types.PerSecond(rapid.IntRange(5, 60).Draw(t, "rate")), Burst: rapid.IntRange(4, 60).Draw(t, "burst")})
		run := 0
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			d.now = d.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			h := limit.Holder(fmt.Sprintf("host-%d/%d", rapid.IntRange(0, 3).Draw(t, "host"), run))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				d.replace()
			case 1:
				run++ // All hosts start anew; what the old ones held is lost with them.
			case 2:
				d.renew(h, 1, true)
			default:
				d.renew(h, 1, false)
			}
			for d.take(h) {
			}
		}
		// A request that is begun on a window's edge counts on both sides.
		if over := d.worst(); over > 1+1e-6 {
			t.Fatalf("a window sees %.2f requests above the limit", over)
		}
	})
}

// lopsided has one host of eight take nearly all of 36 requests a second of an
// account that may have 40, and turns to another host at each of the given
// steps. It returns how many were refused.
func lopsided(steps int, turns func(step int) bool) (refused int) {
	d := newDivision(limit.Limit{Rate: 40, Burst: 40})
	d.now = d.now.Add(10 * time.Second)
	busy := 0
	for step := range steps {
		d.now = d.now.Add(25 * time.Millisecond)
		if turns(step) {
			busy = (busy + 1) % 8
		}
		if step%10 == 0 {
			d.report()
		}
		if step%10 == 9 {
			continue
		}
		h := limit.Holder(fmt.Sprintf("host-%d/0", busy))
		if !d.take(h) {
			d.renew(h, 1, false) // A host that runs short asks before it refuses.
			if !d.take(h) {
				refused++
			}
		}
	}
	return refused
}

// TestLopsidedCallersGetTheirRate answers the pattern of callers that all come
// through one host: nothing within the limit is refused.
func TestLopsidedCallersGetTheirRate(t *testing.T) {
	if diff := cmp.Diff(0, lopsided(400, func(int) bool { return false })); diff != "" {
		t.Errorf("refused within the limit (-want +got):\n%s", diff)
	}
}

// TestCallersTurnElsewhere answers the pattern of callers that all turn to
// another host. What is refused is what the former host still keeps, until it
// is known to keep less: 0.7 s of 36 requests a second, and half of the burst
// at the most.
func TestCallersTurnElsewhere(t *testing.T) {
	refused := lopsided(400, func(step int) bool { return step == 200 })
	if refused > 20 {
		t.Errorf("%d requests were refused within the limit, not 20 at the most", refused)
	}
}

// TestNewIssuerGoesOn replaces the issuer while callers ask for six tenths of
// the limit: hosts that report what they hold go on, and a host that held
// nothing is served from what no issuer gives out, once that has refilled for a
// quarter of a second.
func TestNewIssuerGoesOn(t *testing.T) {
	d := newDivision(limit.Limit{Rate: 60, Burst: 60})
	d.now = d.now.Add(10 * time.Second)
	ask := func(h limit.Holder) bool {
		if d.take(h) {
			return true
		}
		d.renew(h, 1, false)
		return d.take(h)
	}
	served := func(hosts int, steps int) (n int) {
		for step := range steps {
			d.now = d.now.Add(28 * time.Millisecond)
			if ask(limit.Holder(fmt.Sprintf("host-%d/0", step%hosts))) {
				n++
			}
		}
		return n
	}
	served(4, 400)
	d.replace()
	served(4, 9)
	if diff := cmp.Diff(40, served(4, 40)); diff != "" {
		t.Errorf("served by hosts that go on (-want +got):\n%s", diff)
	}
	if !ask("host-9/0") {
		t.Error("a host that held nothing is not served")
	}
}

// TestShareEndsWithItsAllotment leaves a host without an issuer.
func TestShareEndsWithItsAllotment(t *testing.T) {
	d := newDivision(limit.Limit{Rate: 40, Burst: 40})
	d.now = d.now.Add(10 * time.Second)
	for range 20 {
		d.now = d.now.Add(20 * time.Millisecond)
		d.take("host-0/0")
		d.renew("host-0/0", 1, false)
	}
	if !d.take("host-0/0") {
		t.Fatal("an allotment that was just given is not spent")
	}
	d.now = d.now.Add(limit.AllotmentTime)
	if d.take("host-0/0") {
		t.Error("an allotment is spent after its time")
	}
}

// TestManyHostsWithFewCallers spreads an account's callers evenly over eighty
// hosts, of which none sees more than one request a second: nothing within the
// limit is refused, and what hosts hold for themselves is nothing.
func TestManyHostsWithFewCallers(t *testing.T) {
	d := newDivision(limit.Limit{Rate: 20, Burst: 20})
	d.now = d.now.Add(10 * time.Second)
	refused := 0
	for step := range 1000 { // 55 seconds at 18 requests a second
		d.now = d.now.Add(55 * time.Millisecond)
		h := limit.Holder(fmt.Sprintf("host-%d/0", step%80))
		if d.take(h) {
			continue
		}
		d.renew(h, 1, false)
		if !d.take(h) {
			refused++
		}
	}
	if diff := cmp.Diff(0, refused); diff != "" {
		t.Errorf("refused within the limit (-want +got):\n%s", diff)
	}
}

// TestFastClockWithinTheDrift has a host whose clock runs a fifth fast: it
// refills itself only when the issuer counts on that already.
func TestFastClockWithinTheDrift(t *testing.T) {
	l := limit.Limit{Rate: 100, Burst: 100}
	issuer := limit.NewIssuer(0)
	issuer.Settle(0)
	issuer.Adjust(l, 0)
	var share limit.Share
	spent, now := 0, types.Mono(time.Second)
	begin := now
	fast := func() types.Mono { return types.Mono(float64(now) * 1.2) }
	for range 3000 {
		now = now.Add(5 * time.Millisecond)
		share.Ask(fast())
		for share.Take(fast()) {
			spent++
		}
		if now.Sub(begin)%(390*time.Millisecond) < 5*time.Millisecond { // Just in time by the issuer's clock.
			share.Put(issuer.Renew(share.Demand("host-0/0", 1, fast()), now), fast(), fast())
		}
	}
	if allowed := float64(l.Burst) + now.Sub(begin).Seconds()*float64(l.Rate); float64(spent) > allowed+1 {
		t.Errorf("%d requests were spent where the limit allows %.0f", spent, allowed)
	}
}

// TestProgramsOnManyHosts has each program make ten requests, 0.6 s apart,
// through one of eighty hosts: a bucket of its own for the host would be of no
// use once the program is over.
func TestProgramsOnManyHosts(t *testing.T) {
	d := newDivision(limit.Limit{Rate: 20, Burst: 20})
	d.now = d.now.Add(10 * time.Second)
	const programs, requests = 100, 10 // 1.8 programs and 18 requests a second
	due := map[int][]limit.Holder{}    // by step of 5 ms
	for p := range programs {
		for r := range requests {
			due[p*111+r*120] = append(due[p*111+r*120], limit.Holder(fmt.Sprintf("host-%d/0", p*37%80)))
		}
	}
	refused := 0
	for step := range programs*111 + requests*120 {
		d.now = d.now.Add(5 * time.Millisecond)
		if step%50 == 0 {
			d.report()
		}
		for _, h := range due[step] {
			if d.take(h) {
				continue
			}
			d.renew(h, 1, false)
			if !d.take(h) {
				refused++
			}
		}
	}
	if diff := cmp.Diff(0, refused); diff != "" {
		t.Errorf("refused within the limit (-want +got):\n%s", diff)
	}
}

// TestTokenThatWasNotUsedGoesBack has a holder without a bucket of its own give
// back what was let go at once: a program that goes on after its budget is spent
// must not use up its account's limit.
func TestTokenThatWasNotUsedGoesBack(t *testing.T) {
	d := newDivision(limit.Limit{Rate: 1, Burst: 8})
	d.issuer.Hosts = 60
	d.issuer.Settle(0)
	d.now = d.now.Add(8 * time.Second)
	for i := range 40 {
		h := limit.Holder(fmt.Sprint("entry-", i%20))
		d.renew(h, 1, false)
		if !d.holders[h].Take(d.now) {
			t.Fatalf("request %d found nothing, although none has been used", i)
		}
		d.holders[h].GiveBack()
		d.renew(h, 0, false)
	}
}

// TestQueueTellsWhoWaitsElsewhere has requests wait on some hosts of an account
// that has nothing left.
func TestQueueTellsWhoWaitsElsewhere(t *testing.T) {
	d := newDivision(limit.Limit{Rate: 10, Burst: 2})
	d.renew("entry-1", 3, false)
	d.renew("entry-2", 4, false)
	d.renew("entry-3", 1, false)
	if diff := cmp.Diff(800*time.Millisecond, d.holders["entry-3"].Queue(0, 10)); diff != "" {
		t.Errorf("wait on the third host (-want +got):\\n%s", diff)
	}
	d.now = d.now.Add(time.Second)
	d.renew("entry-3", 0, false)
	if diff := cmp.Diff(100*time.Millisecond, d.holders["entry-3"].Queue(0, 10)); diff != "" {
		t.Errorf("wait after the others have gone (-want +got):\\n%s", diff)
	}
}
