package soak_test

import (
	"net/http"
	"strings"
	"time"
)

const (
	// settleTime is the time after which a turn that has ended whole, or was refused, counts with what
	// it has generated against the budget of its program, and not with its maximum.
	settleTime = time.Second
	// budgetSlack is what budgets hold besides what a program has generated and one more turn, as a part
	// of a turn's maximum. A deployment has 160 tokens beside turns of 580.
	budgetSlack = 0.25
)

// budgetFor returns a budget that covers a number of turns which run at the same time after what a program has
// generated: if anything else counts against it, one of them is refused.
func budgetFor(turns, generated, maxTokens int) int {
	return generated + turns*maxTokens + int(budgetSlack*float64(maxTokens))
}

// tokens returns how many tokens the caller has received.
func (a attempt) tokens() int { return tokensPerEvent * strings.Count(a.responseBody, "\n\n") }

// turnsByProgram returns the attempts at turns by account and program.
func turnsByProgram(list []attempt) map[string][]attempt {
	programs := map[string][]attempt{}
	for _, a := range list {
		if a.path == "/turn/" {
			programs[a.programKey()] = append(programs[a.programKey()], a)
		}
	}
	return programs
}

func (a attempt) programKey() string { return a.account + " " + a.program }

// checkBudgetRefusals checks that each turn that was refused since the budget of its program is spent
// did not fit into it. Turns that were refused together, though one of them fits, are reported by themselves.
func (d *deployment) checkBudgetRefusals(list []attempt) {
	refused, ofAgents, looping := 0, 0, 0
	var wrong, together []unreachedTurn
	for _, turns := range turnsByProgram(list) {
		for _, a := range turns {
			if a.status != http.StatusPaymentRequired {
				continue
			}
			refused++
			sum := d.chargesBefore(a, turns)
			switch {
			case sum > a.budget:
				continue
			case sum+refusedBeside(a, turns) > a.budget:
				together = append(together, newUnreached(a, turns))
			default:
				wrong = append(wrong, newUnreached(a, turns))
			}
			if a.isOfAgent() {
				ofAgents++
			}
			if a.loops {
				looping++
			}
		}
	}
	d.t.Logf("%d turns refused for their budget, %d wrongly, and %d wrongly with others at the same time; of these %d are of sub-agents and %d of programs that loop",
		refused, len(wrong), len(together), ofAgents, looping)
	d.reportUnreached(refusedTooEarly, wrong)
	d.reportUnreached(refusedTogether, together)
}

// refusedBeside returns the maxima of the turns that were refused for the budget while an attempt was under way.
func refusedBeside(a attempt, turns []attempt) (sum int) {
	for _, b := range turns {
		if b.id != a.id && b.status == http.StatusPaymentRequired && b.sentAt.Before(a.endedAt) && b.endedAt.After(a.sentAt) {
			sum += b.maxTokens
		}
	}
	return sum
}

// isOfAgent reports whether the attempt is of a sub-agent that names a session.
func (a attempt) isOfAgent() bool { return strings.HasPrefix(a.session, a.program+"/") }

// isRightRefusal reports whether a turn was refused since the budget of its program did not hold it, by
// the attempts at all turns of its program.
func (d *deployment) isRightRefusal(a attempt, turns []attempt) bool {
	return a.status == http.StatusPaymentRequired && d.chargesBefore(a, turns) > a.budget
}

// chargesBefore returns the maximum of a turn and how many tokens the turns of its program, sent before its end,
// count at most: what they have generated, and the maximum of those that a target has got and that have not ended whole or
// with a refusal settleTime before. Turns that have reached no target count nothing.
func (d *deployment) chargesBefore(a attempt, turns []attempt) int {
	sum := a.maxTokens
	for _, b := range turns {
		if b.sentAt.Before(a.endedAt) && b.id != a.id {
			sum += d.charge(b, a.sentAt.Add(-settleTime))
		}
	}
	return sum
}

// charge returns how many tokens a turn counts against its program's budget at most, for another turn
// before which it may have ended until a time.
func (d *deployment) charge(a attempt, until time.Time) int {
	settled := a.endedAt.Before(until)
	switch {
	case len(d.targets.runsOf(a.id)) == 0:
		return 0
	case settled && a.status == http.StatusOK && a.complete:
		return a.tokens()
	case settled && (a.status >= 400 && a.status < 500 || a.status == http.StatusServiceUnavailable):
		return 0
	}
	return a.maxTokens
}
