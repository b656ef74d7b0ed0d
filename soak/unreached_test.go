package soak_test

import (
	"bytes"
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/banyanspur/banyanspur/event"
)

// maxReported is how many turns of a kind are reported with all of their tries.
const maxReported = 5

// maxProgramTurns is how many attempts of a program are listed with what they count against its budget.
const maxProgramTurns = 24

// The reasons for which a turn that continues another one must reach a target.
const (
	lateAfterFault  = "reaches no target by the end of the recovery time after the final fault, while four fifths of first turns are served at the end"
	noneAtEnd       = "reaches no target in the last 4 s, whatever it is answered, while targets are less than half full"
	noneInCalm      = "reaches no target in five tries or more in calm, while nine tenths of first turns do"
	refusedTooEarly = "is refused for a budget that covers it"
	refusedTogether = "is refused for a budget that covers it, together with others that count nothing since they are refused, too"
	// Such turns break no promise.
	lateInOutage = "reaches no target by the end of the recovery time after the final fault, while first turns are not served either"
)

// unreachedTurn is a turn that no target got, or that was refused for its budget, with its tries and those at all turns of
// its program.
type unreachedTurn struct {
	tries, program []attempt
}

// turnKey identifies a turn over its tries.
func (a attempt) turnKey() string {
	return strings.Join([]string{a.programKey(), a.session, a.previous, digest(a.requestBody)}, " ")
}

// triesOf returns the attempts at the turn of an attempt among those of its program.
func triesOf(a attempt, program []attempt) (tries []attempt) {
	for _, b := range program {
		if b.turnKey() == a.turnKey() {
			tries = append(tries, b)
		}
	}
	return tries
}

// newUnreached returns the turn of an attempt.
func newUnreached(a attempt, program []attempt) unreachedTurn {
	return unreachedTurn{tries: triesOf(a, program), program: program}
}

// reportUnreached fails the test if there are turns that reached no target though they must have, and lists them.
func (d *deployment) reportUnreached(reason string, list []unreachedTurn) {
	if len(list) > 0 {
		d.t.Errorf("%d turns, each of which %s", len(list), reason)
	}
	d.listUnreached(reason, list)
}

// listUnreached logs what each try of turns that reached no target was answered, by whom, and what the entry host has
// logged of it.
func (d *deployment) listUnreached(reason string, list []unreachedTurn) {
	slices.SortStableFunc(list, func(a, b unreachedTurn) int { return a.tries[0].sentAt.Compare(b.tries[0].sentAt) })
	list = slices.CompactFunc(list, func(a, b unreachedTurn) bool { return a.tries[0].id == b.tries[0].id })
	reported := list[:min(len(list), maxReported)]
	lines, charged := d.decisions(reported), map[string]bool{}
	for _, u := range reported {
		first := u.tries[0]
		d.t.Logf("turn that continues %q, of program %s, session %s, account %s: %s; %d tries", first.previous, first.program, cmp.Or(first.session, first.program), first.account, reason, len(u.tries))
		refused := false
		for _, a := range u.tries {
			refused = refused || a.status == http.StatusPaymentRequired
			d.t.Logf("  %s at %.3f on %s for %v: status %d, complete %t, Retry-After %v, %d runs, budget %d: %.160s %s", a.id, a.sentAt.Sub(d.started).Seconds(), cmp.Or(a.entry, "no host"),
				a.endedAt.Sub(a.sentAt).Round(time.Millisecond), a.status, a.complete, a.retryAfter, len(d.targets.runsOf(a.id)), a.budget, strings.TrimSpace(a.responseBody), a.failure)
			for _, l := range lines[a.id] {
				d.t.Logf("    %s", l)
			}
		}
		if refused && !charged[first.programKey()] {
			charged[first.programKey()] = true
			d.reportCharges(u)
		}
	}
}

// reportCharges logs what the attempts of a program count against its budget for the last try of a turn.
func (d *deployment) reportCharges(u unreachedTurn) {
	last := u.tries[len(u.tries)-1]
	until := last.sentAt.Add(-settleTime)
	turns := slices.DeleteFunc(slices.Clone(u.program), func(a attempt) bool { return !a.sentAt.Before(last.endedAt) })
	for _, a := range turns[max(0, len(turns)-maxProgramTurns):] {
		d.t.Logf("  of its program: %s, session %s, on %s at %.3f for %v: %d runs, status %d, complete %t, counts %d of %d at most",
			a.id, cmp.Or(a.session, a.program), cmp.Or(a.entry, "no host"), a.sentAt.Sub(d.started).Seconds(), a.endedAt.Sub(a.sentAt).Round(time.Millisecond), len(d.targets.runsOf(a.id)), a.status, a.complete, d.charge(a, until), a.budget)
	}
}

// decisions returns what entry hosts have logged of the tries of turns, by the ID of the try.
func (d *deployment) decisions(list []unreachedTurn) map[string][]event.Line {
	asked := map[string]map[string]bool{} // IDs of tries by entry host
	for _, u := range list {
		for _, a := range u.tries {
			if asked[a.entry] == nil {
				asked[a.entry] = map[string]bool{}
			}
			asked[a.entry][a.id] = true
		}
	}
	found := map[string][]event.Line{}
	for _, h := range d.fleet.started {
		ids := asked[h.name]
		if len(ids) == 0 {
			continue
		}
		lines, err := event.FindRequests(bytes.NewReader(readLog(h)), h.name, func(id string) bool { return ids[id] })
		if err != nil {
			d.t.Errorf("the log of %s: %v", h.name, err)
		}
		for _, l := range lines {
			found[l.Request()] = append(found[l.Request()], l)
		}
	}
	return found
}
