package soak_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// continuedShare is the share of first turns that must be served in lastSpan for turns to count as
	// lost that have reached no target by the end of the recovery time.
	continuedShare = 0.8
	// lastSpan is the time before the end of the run in which each turn that continues another
	// one must reach a target.
	lastSpan = 4 * time.Second
	// minRetryPause is the shortest pause of a caller between two tries.
	minRetryPause = 100 * time.Millisecond
)

// continuation is a turn that a caller continues after the final fault, with its tries.
type continuation struct {
	turn  attempt   // that is continued
	until time.Time // by when a target must have got it
	tries []attempt
}

// completedTurns returns up to n turns that were answered whole in the last sampleTime, at most one
// of each program: the newest.
func (d *deployment) completedTurns(n int) []attempt {
	d.callers.mu.Lock()
	defer d.callers.mu.Unlock()
	newest := map[string]attempt{}
	for _, a := range d.callers.attempts {
		if a.path == "/turn/" && a.status == http.StatusOK && a.complete && !strings.HasPrefix(a.program, "again ") && time.Since(a.endedAt) < sampleTime {
			newest[a.program] = a
		}
	}
	var list []attempt
	for _, a := range newest {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b attempt) int { return strings.Compare(a.id, b.id) })
	step := 1 + len(list)/n
	for i := range list {
		if i*step < len(list) {
			list[i] = list[i*step]
		}
	}
	return list[:(len(list)+step-1)/step]
}

// continueAfter continues turns at random entry hosts from the restart of all hosts on. Callers try
// again, after the delay that the host asks for, until a target has got the turn, its program has ended since its
// budget is spent, or until has passed.
func (d *deployment) continueAfter(turns []attempt, seed uint64, until time.Time) []*continuation {
	var g errgroup.Group
	var list []*continuation
	for i, t := range turns {
		c := &continuation{turn: t, until: until}
		list = append(list, c)
		r := rand.New(rand.NewPCG(seed, uint64(17_000+i)))
		g.Go(func() error {
			for time.Now().Before(until) {
				c.tries = append(c.tries, d.continueOnce(r, t, "after"))
				last := c.tries[len(c.tries)-1]
				if len(d.targets.runsOf(last.id)) > 0 || last.status == http.StatusPaymentRequired {
					return nil
				}
				types.Sleep(context.Background(), max(minRetryPause, last.retryAfter))
			}
			return nil
		})
	}
	_ = g.Wait() // The goroutines always return nil.
	return list
}

// continueOnce continues a turn at a random entry host, in a new program whose name ends with a suffix.
func (d *deployment) continueOnce(r *rand.Rand, t attempt, suffix string) attempt {
	entry := d.fleet.randomEntry(r)
	return d.callers.sendTo(context.Background(), entry, attempt{
		account: t.account, path: t.path, requestBody: "on;", previous: t.id, program: "again " + t.id + " " + suffix,
		budget: budgetFor(1, 0, t.maxTokens), maxTokens: t.maxTokens, timeout: turnTimeout,
	})
}

// continueInLastSpan continues turns once each, spread over lastSpan.
func (d *deployment) continueInLastSpan(turns []attempt, seed uint64) []*continuation {
	var g errgroup.Group
	var list []*continuation
	r := rand.New(rand.NewPCG(seed, 19))
	for _, t := range turns {
		c := &continuation{turn: t}
		list = append(list, c)
		tryRand := rand.New(rand.NewPCG(seed, r.Uint64()))
		g.Go(func() error {
			c.tries = append(c.tries, d.continueOnce(tryRand, t, "last"))
			return nil
		})
		types.Sleep(context.Background(), lastSpan/time.Duration(len(turns)))
	}
	_ = g.Wait() // The goroutines always return nil.
	return list
}

// checkContinued checks that after the final fault each turn that continues another one reaches a
// target by the end of the recovery time, if continuedShare of first turns are served at the end, and
// each one in lastSpan before end, whatever its response is: targets are less than half full. A response that
// the budget is spent does not count if that is right.
func (d *deployment) checkContinued(recovered, last []*continuation, end time.Time) {
	from := end.Add(-lastSpan)
	programs := turnsByProgram(d.callers.attempts)
	first, served := 0, 0
	later := map[string]*attempt{} // the last try, or nil once a target has got one
	for _, a := range d.callers.attempts {
		if a.path != "/turn/" || a.sentAt.Before(from) || a.sentAt.After(end) || a.patience > 0 || d.isRightRefusal(a, programs[a.programKey()]) {
			continue
		}
		if a.previous == "" {
			first++
			if a.status == http.StatusOK && a.complete {
				served++
			}
			continue
		}
		if strings.HasPrefix(a.program, "again ") {
			continue // Checked below.
		}
		key := a.turnKey()
		if tried, ok := later[key]; ok && tried == nil || len(d.targets.runsOf(a.id)) > 0 || d.targets.endedDuring(a) {
			later[key] = nil
			continue
		}
		later[key] = &a
	}
	var late, lost []unreachedTurn
	var longest time.Duration
	lateOfOthers := 0
	for _, c := range recovered {
		runs := d.targets.runsOf(c.tries[len(c.tries)-1].id)
		if len(runs) == 0 || runs[0].startedAt.After(c.until) {
			late = append(late, unreachedTurn{tries: c.tries, program: c.tries})
			continue
		}
		longest = max(longest, runs[0].startedAt.Sub(c.tries[0].sentAt))
		if runs[0].startedAt.After(d.othersBackAt.Add(d.recoveryTime())) {
			lateOfOthers++
		}
	}
	for _, c := range last {
		if len(d.targets.runsOf(c.tries[0].id)) == 0 {
			lost = append(lost, unreachedTurn{tries: c.tries, program: c.tries})
		}
	}
	for _, a := range later {
		if a != nil {
			lost = append(lost, newUnreached(*a, programs[a.programKey()]))
		}
	}
	d.t.Logf("after the final fault: %d turns to continue, %d late, the last other one after %v; %d at the end and %d of programs, %d lost; %d of %d first turns served at the end",
		len(recovered), len(late), longest.Round(time.Millisecond), len(last), len(later), len(lost), served, first)
	if !d.othersBackAt.IsZero() {
		d.t.Logf("counted from the return of all hosts but those that lost their disks, %d turns were late", len(late)+lateOfOthers)
	}
	if len(recovered) == 0 || len(last) == 0 || first == 0 {
		d.t.Error("no turn was continued after the final fault")
	}
	if float64(served) >= continuedShare*float64(first) {
		d.reportUnreached(lateAfterFault, late)
	} else {
		d.listUnreached(lateInOutage, late)
		d.t.Errorf("not measured: %d of %d first turns were served at the end, %.2f are needed to tell whether turns were late", served, first, continuedShare)
	}
	d.reportUnreached(noneAtEnd, lost)
}
