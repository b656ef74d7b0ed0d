package soak_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// maxCuts is how many requests of kept connections may end without a response though a
	// target has run them, at hosts without a fault and beside no planned work.
	maxCuts = 3
	// hangupTime is the time after a SIGHUP within which requests count as sent beside it.
	hangupTime = 2500 * time.Millisecond
	// stopSettles is the time after a planned stop, or after its grace period if that is longer,
	// within which requests count as sent beside it.
	stopSettles = time.Second
	// stopAccepts is the time after a SIGTERM until which a request must be answered unless its
	// target works until the end of the grace period.
	stopAccepts = 3 * time.Second
	// spentShare is the share of its time after which the end of a request is not blamed on a
	// change of the plan.
	spentShare = 0.7
	// continueInterval is the time between two turns that continue an earlier one.
	continueInterval = 100 * time.Millisecond
	// unreachedTries is after how many tries a turn must have reached a target, in calm while
	// reachedShare of first turns do.
	unreachedTries = 5
	reachedShare   = 0.9
)

// continueTurns continues turns that were answered whole in the last retainedTime at random
// entry hosts, also at those that have a fault, until ctx ends. [checkRuns] checks that none
// is answered as unknown.
func (d *deployment) continueTurns(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 13))
	var g errgroup.Group
	for types.Sleep(ctx, continueInterval) {
		a, ok := d.randomTurn(r)
		if !ok {
			continue
		}
		entry := d.fleet.randomEntry(r)
		g.Go(func() error {
			d.callers.sendTo(context.Background(), entry, attempt{
				account: a.account, path: a.path, requestBody: "on;", previous: a.id, program: "again " + a.id,
				budget: 100 * a.budget, maxTokens: a.maxTokens, timeout: turnTimeout,
			})
			return nil
		})
	}
	_ = g.Wait() // The goroutines always return nil.
}

// randomTurn returns a turn of a program that was answered whole in the last retainedTime.
func (d *deployment) randomTurn(r *rand.Rand) (attempt, bool) {
	d.callers.mu.Lock()
	defer d.callers.mu.Unlock()
	list := d.callers.attempts
	from, _ := slices.BinarySearchFunc(list, time.Now().Add(-retainedTime), func(a attempt, t time.Time) int { return a.endedAt.Compare(t) })
	for range 20 { // Most requests are no turns.
		if from == len(list) {
			break
		}
		a := list[from+r.IntN(len(list)-from)]
		if a.path == "/turn/" && a.status == http.StatusOK && a.complete && !strings.HasPrefix(a.program, "again ") {
			return a, true
		}
	}
	return attempt{}, false
}

// isCut reports whether a request that the host had read, or that a target had run, ended
// without a complete response before its time.
func (d *deployment) isCut(a attempt) bool {
	took := a.endedAt.Sub(a.sentAt)
	if a.complete || a.gaveUp() || !a.connected || took >= a.timeout-50*time.Millisecond || d.brokeOff != nil && d.brokeOff(a) {
		return false
	}
	unread := time.Duration(unreadTime)
	if a.slow {
		unread += slowSend
	}
	return (took > unread || len(d.targets.runsOf(a.id)) > 0) && !d.outlivesStop(a)
}

// outlivesStop reports whether a target was still at work in the last sixth of the grace period
// of a planned stop of the host, on a request that was sent no later than stopAccepts after the
// SIGTERM. A host may break these off.
func (d *deployment) outlivesStop(a attempt) bool {
	var until time.Time // when the target ends its work
	for _, r := range d.targets.runsOf(a.id) {
		if end := r.startedAt.Add(d.targets.workOn(a)); end.After(until) {
			until = end
		}
	}
	for _, p := range d.faults {
		late := p.from.Add(time.Duration(d.fleet.size.grace * 5 / 6 * float64(time.Second)))
		if p.planned && p.host == a.entry && !a.sentAt.After(p.from.Add(stopAccepts)) && !a.endedAt.Before(late) && a.sentAt.Before(p.to) && until.After(late) {
			return true
		}
	}
	return false
}

// workOn returns for how long a target works on a request at least.
func (t *targets) workOn(a attempt) time.Duration {
	if a.path == "/timed/" {
		return timedWork
	}
	if a.path != "/turn/" {
		return cmp.Or(t.calls[a.path], plainCallTime)
	}
	return time.Duration(t.eventsOf(a.id)) * t.gapOf(a.id)
}

// plannedBeside returns the planned work beside an attempt: stops of any host, that of its own
// host first, and SIGHUPs of its own host before it ended.
func (d *deployment) plannedBeside(a attempt) (work []string) {
	for _, p := range d.faults {
		to := p.from.Add(time.Duration(d.fleet.size.grace * float64(time.Second)))
		if to.Before(p.to) {
			to = p.to
		}
		if !p.planned || p.host == "callers" || !a.endedAt.After(p.from) || !a.sentAt.Before(to.Add(stopSettles)) {
			continue
		}
		text := fmt.Sprintf("%s: %s, %v before the end", p.host, p.what, a.endedAt.Sub(p.from))
		if p.host == a.entry {
			work = slices.Insert(work, 0, text)
			continue
		}
		work = append(work, text)
	}
	for _, h := range d.hangups {
		if h.host == a.entry && a.endedAt.After(h.at) && a.sentAt.Before(h.at.Add(hangupTime)) {
			work = append(work, fmt.Sprintf("%s: SIGHUP, %v before the end", h.host, a.endedAt.Sub(h.at)))
		}
	}
	return work
}

// checkLost checks that no request ends without a complete response beside planned work if no
// fault was active from calmTime before, and that at all times at most maxCuts do that a target
// had run, over kept connections to hosts without a fault of their own. A change of the plan is
// planned work too, for requests that have not used spentShare of their time. One is sent every
// changeInterval, so there is no time without one to compare with.
func (d *deployment) checkLost() {
	cuts, planned, beside, atDeadline := 0, 0, 0, 0
	for _, a := range slices.Concat(d.callers.attempts, d.probes.attempts) {
		disturbed := d.isDisturbed(a)
		work := d.plannedBeside(a)
		if !disturbed && len(work) > 0 {
			beside++
		}
		if a.status == http.StatusOK && !a.complete && !disturbed && a.endedAt.Sub(a.sentAt) >= a.timeout-50*time.Millisecond {
			atDeadline++
		}
		if !d.isCut(a) {
			continue
		}
		runs := len(d.targets.runsOf(a.id))
		text := fmt.Sprintf("%s %s on %s, sent at %.3f, reused connection %t, ran %d times, ended after %v with status %d: %s",
			a.path, a.id, a.entry, a.sentAt.Sub(d.started).Seconds(), a.reused, runs, a.endedAt.Sub(a.sentAt), a.status, a.failure)
		if !disturbed && len(work) > 0 {
			planned++
			d.t.Errorf("lost beside planned work: %s; %s", text, strings.Join(work[:min(len(work), 5)], ", "))
		} else if !disturbed && a.endedAt.Sub(a.sentAt) < time.Duration(spentShare*float64(a.timeout)) {
			planned++
			d.t.Errorf("lost beside changes of the plan: %s", text)
		}
		if a.reused && runs > 0 && !d.isFaulty(a.entry, a.endedAt, a.sentAt.Add(-calmTime)) {
			cuts++
			d.t.Logf("cut: %s", text)
		}
	}
	if cuts > maxCuts {
		d.t.Errorf("%d requests over kept connections to hosts without a fault ended without a response though a target had run them, at most %d may", cuts, maxCuts)
	}
	d.t.Logf("%d requests beside planned work, %d lost; %d of %d requests cut on hosts without a fault; %d responses in calm open at their deadline; %d SIGHUPs",
		beside, planned, cuts, len(d.callers.attempts)+len(d.probes.attempts), atDeadline, len(d.hangups))
	if beside == 0 || len(d.hangups) == 0 {
		d.t.Error("nothing was sent beside planned work")
	}
}

// checkUnreached checks that no turn that continues another one reaches no target in
// unreachedTries in calm while reachedShare of first turns do.
func (d *deployment) checkUnreached() {
	type tries struct {
		sent, reached int
		last          attempt
	}
	programs := turnsByProgram(d.callers.attempts)
	later := map[string]*tries{}
	var first tries
	for _, a := range d.callers.attempts {
		if a.path != "/turn/" || !a.connected || a.patience > 0 || !d.isCalm(a.sentAt, a.endedAt) || d.isRightRefusal(a, programs[a.programKey()]) {
			continue
		}
		n := &first
		if a.previous != "" {
			if n = later[a.turnKey()]; n == nil {
				n = &tries{}
				later[a.turnKey()] = n
			}
		}
		n.sent++
		n.last = a
		if len(d.targets.runsOf(a.id)) > 0 {
			n.reached++
		}
	}
	share := float64(first.reached) / float64(max(1, first.sent))
	most := 0
	var unreached []unreachedTurn
	for _, n := range later {
		if n.reached > 0 {
			continue
		}
		most = max(most, n.sent)
		if n.sent >= unreachedTries && share >= reachedShare {
			unreached = append(unreached, newUnreached(n.last, programs[n.last.programKey()]))
		}
	}
	d.t.Logf("%d of %d first turns reached a target in calm; one of %d later turns reached none in %d tries", first.reached, first.sent, len(later), most)
	d.reportUnreached(noneInCalm, unreached)
}
