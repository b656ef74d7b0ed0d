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

// oneMoreTurn returns a budget that covers one more turn after what a program has generated: if
// anything else counts against it, the turn is refused.
func oneMoreTurn(generated, maxTokens int) int {
	return generated + maxTokens + int(budgetSlack*float64(maxTokens))
}

// tokens returns how many tokens the caller has received.
func (a attempt) tokens() int { return tokensPerEvent * strings.Count(a.responseBody, "\n\n") }

// checkBudgetRefusals checks that each turn that was refused since the budget of its program is spent
// did not fit into it, counting what the turns of the program have generated, and the maximum of those that
// a target has got and that have not ended whole or with a refusal settleTime before. Turns that
// have reached no target count nothing.
func (d *deployment) checkBudgetRefusals(list []attempt) {
	programs := map[string][]attempt{}
	for _, a := range list {
		if a.path == "/turn/" {
			programs[a.account+" "+a.program] = append(programs[a.account+" "+a.program], a)
		}
	}
	refused, wrong := 0, 0
	for _, turns := range programs {
		for _, a := range turns {
			if a.status != http.StatusPaymentRequired {
				continue
			}
			refused++
			sum := a.maxTokens
			for _, b := range turns {
				if b.sentAt.Before(a.endedAt) && b.id != a.id {
					sum += d.charge(b, a.sentAt.Add(-settleTime))
				}
			}
			if sum > a.budget {
				continue
			}
			if wrong++; wrong <= 5 {
				d.t.Logf("refused: turn %s of program %s on %s at %.3f, budget %d, %d tokens with this turn", a.id, a.program, a.entry, a.sentAt.Sub(d.started).Seconds(), a.budget, sum)
				for _, b := range turns {
					d.t.Logf("  %s on %s at %.3f for %v: continues %q, %d runs, status %d, complete %t, %d tokens: %.80s %.80s", b.id, b.entry, b.sentAt.Sub(d.started).Seconds(), b.endedAt.Sub(b.sentAt), b.previous, len(d.targets.runsOf(b.id)), b.status, b.complete, b.tokens(), b.failure, b.responseBody)
				}
			}
		}
	}
	d.t.Logf("%d turns refused for their budget, %d wrongly", refused, wrong)
	if wrong > 0 {
		d.t.Errorf("%d turns were refused though the budgets of their programs cover them", wrong)
	}
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
	case settled && a.guaranteesNotRun():
		return 0
	}
	return a.maxTokens
}
