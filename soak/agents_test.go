package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// looping is the share of programs that run until their budget is spent. They start sub-agents after each turn.
	looping = 0.02
	// The budgets of programs that loop, as multiples of a turn's maximum: 900 to 1,740 tokens for turns of 580.
	minLoopBudget, maxLoopBudget = 1.55, 3.0
	// sessionless is the share of lines of turns whose requests name no session.
	sessionless = 0.1
	// turnPause is the mean pause between two turns of a line.
	turnPause = 20 * time.Millisecond
	// Sub-agents have 1 to 2*meanAgentTurns-1 turns each. meanAgents is the mean of agentCounts.
	meanAgentTurns = 2
	meanAgents     = 2
)

// agentCounts are the numbers of sub-agents that start at the same time, each as likely as the others.
var agentCounts = []int{1, 1, 1, 2, 2, 3, 4}

// programRun is a program under way. Its budget covers the turns that run at the same time and hardly more,
// as those of deployments do.
type programRun struct {
	load          *load
	caller        *caller
	name, account string
	loops         bool
	maxTokens     int // that a turn generates
	lines         int // that have begun; only the goroutine of the program's own line uses it
	// fail ends the program: none of its lines sends anything more.
	fail context.CancelFunc

	mu        sync.Mutex
	generated int // tokens that its turns have generated
	budget    int // of all turns that run
}

// line is a line of turns of a program: its own, or that of a sub-agent. Only one goroutine uses it at a time.
type line struct {
	program  *programRun
	rand     *rand.Rand
	number   int
	session  string
	previous string // the turn that the next one continues
	turns    int    // that are left
}

// runProgram runs the turns of a program, each followed by calls at the same time or by sub-agents.
func (l *load) runProgram(ctx context.Context, r *rand.Rand, name string, kinds []programKind) {
	l.programs.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kind := randomKind(r, kinds)
	p := &programRun{
		load: l, caller: l.pool[r.IntN(len(l.pool))], name: name, account: accountName(r.IntN(l.size.accounts)),
		loops: r.Float64() < looping, maxTokens: l.size.maxEvents() * tokensPerEvent, fail: cancel,
	}
	own := p.newLine(r, "", 1+r.IntN(2*kind.turns-1))
	if p.loops {
		own.turns, kind.fan = 1000, 1
		p.budget = int((minLoopBudget + (maxLoopBudget-minLoopBudget)*r.Float64()) * float64(p.maxTokens))
	}
	for own.turns > 0 && ctx.Err() == nil {
		p.coverTurns(1)
		own.takeTurn(ctx)
		if r.Float64() < kind.fan {
			p.runAgents(ctx, own)
		} else {
			own.callTools(ctx)
		}
		types.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(turnPause)))
	}
}

// randomKind returns one of the kinds of programs, as often as its share is.
func randomKind(r *rand.Rand, kinds []programKind) programKind {
	n, share := 0, r.Float64()
	for n < len(kinds)-1 && share >= kinds[n].share {
		share -= kinds[n].share
		n++
	}
	return kinds[n]
}

// newLine returns a line of a number of turns, the first of which continues a turn if one is given.
func (p *programRun) newLine(r *rand.Rand, previous string, turns int) *line {
	l := &line{program: p, rand: r, number: p.lines, session: p.name, previous: previous, turns: turns}
	if p.lines > 0 {
		l.session = fmt.Sprintf("%s/%d", p.name, p.lines)
	}
	if r.Float64() < sessionless {
		l.session = noSession
	}
	p.lines++
	return l
}

// coverTurns sets the budget of the next turns: it covers what the program has generated, and so many turns
// that run at the same time. That of a program that loops stays the same.
func (p *programRun) coverTurns(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loops {
		p.budget = budgetFor(n, p.generated, p.maxTokens)
	}
}

// takeTurn sends the next turn of a line. The program ends if the turn fails.
func (l *line) takeTurn(ctx context.Context) {
	p := l.program
	p.mu.Lock()
	budget := p.budget
	p.mu.Unlock()
	input := fmt.Sprintf("in %s %d %d%s;", p.name, l.number, l.turns, strings.Repeat(" x", p.load.size.inputSize(l.rand)/2))
	last, generated := p.load.turn(ctx, l.rand, p.caller, attempt{
		account: p.account, path: "/turn/", requestBody: input, previous: l.previous, program: p.name, session: l.session, budget: budget, maxTokens: p.maxTokens, timeout: turnTimeout, loops: p.loops,
	})
	p.mu.Lock()
	p.generated += generated
	p.mu.Unlock()
	if last.status != http.StatusOK || !last.complete {
		p.fail()
		return
	}
	l.previous = last.id
	l.turns--
}

// callTools sends the calls that follow a turn.
func (l *line) callTools(ctx context.Context) {
	p := l.program
	var g errgroup.Group
	for _, call := range toolCalls {
		if l.rand.Float64() < call.share && ctx.Err() == nil {
			g.Go(func() error {
				p.load.request(ctx, p.caller, attempt{account: p.account, path: call.path, requestBody: "x", program: p.name, session: l.session, timeout: call.timeout})
				return nil
			})
		}
	}
	_ = g.Wait() // The goroutines always return nil.
}

// runAgents runs sub-agents that continue the last turn of a line, and returns when all have ended. Their first turns
// start together. The later ones do after calls of different lengths, but not before the turns
// of all sub-agents before them have ended, so that one budget is as small as it may be for all.
func (p *programRun) runAgents(ctx context.Context, parent *line) {
	var agents []*line
	for range agentCounts[parent.rand.IntN(len(agentCounts))] {
		r := rand.New(rand.NewPCG(parent.rand.Uint64(), 23))
		agents = append(agents, p.newLine(r, parent.previous, 1+r.IntN(2*meanAgentTurns-1)))
	}
	for begun := false; len(agents) > 0 && ctx.Err() == nil; begun = true {
		if !begun && len(agents) > 1 {
			select {
			case p.load.forked <- struct{}{}:
			default:
			}
		}
		p.coverTurns(len(agents))
		var g errgroup.Group
		for _, a := range agents {
			g.Go(func() error {
				if begun {
					a.callTools(ctx)
				}
				if ctx.Err() == nil {
					a.takeTurn(ctx)
				}
				return nil
			})
		}
		_ = g.Wait() // The goroutines always return nil.
		agents = slices.DeleteFunc(agents, func(a *line) bool { return a.turns == 0 })
	}
}

// turn sends a turn, and again if it failed. It returns the last attempt and how many tokens all have generated.
// Only a program that loops repeats a turn that is refused for its budget.
func (l *load) turn(ctx context.Context, r *rand.Rand, c *caller, a attempt) (last attempt, generated int) {
	for range 1 + turnRetries {
		last = l.request(ctx, c, a)
		generated += last.tokens()
		spent := last.status == http.StatusPaymentRequired && a.loops
		if last.status == http.StatusOK && last.complete || last.status >= 400 && last.status < 429 && last.status != http.StatusRequestTimeout && !spent {
			break
		}
		if !types.Sleep(ctx, time.Duration(100+r.IntN(300))*time.Millisecond) {
			break
		}
	}
	return last, generated
}

// reportRepeated logs what became of turns that were open when the final fault struck: how many were repeated, and of the
// repeated ones, how many reached a target then, or were refused for their budget.
func (d *deployment) reportRepeated() {
	var struckAt time.Time
	for _, p := range d.faults {
		if p.host == "group" && p.from.After(struckAt) {
			struckAt = p.from
		}
	}
	type count struct {
		open, repeated, reached, refused int
		answers                          map[string]int // of the tries of turns that were repeated and reached no target
	}
	agents, others := count{answers: map[string]int{}}, count{answers: map[string]int{}}
	for _, turns := range turnsByProgram(d.callers.attempts) {
		for _, a := range turns {
			if !a.sentAt.Before(struckAt) || !a.endedAt.After(struckAt) || a.complete {
				continue
			}
			n := &others
			if a.isOfAgent() {
				n = &agents
			}
			n.open++
			later := slices.DeleteFunc(triesOf(a, turns), func(b attempt) bool { return !b.sentAt.After(a.sentAt) })
			if len(later) > 0 {
				n.repeated++
			}
			if slices.ContainsFunc(later, func(b attempt) bool { return len(d.targets.runsOf(b.id)) > 0 }) {
				n.reached++
			} else {
				for _, b := range later {
					n.answers[fmt.Sprintf("%ds after: %d %.50s%s", int(b.sentAt.Sub(struckAt).Seconds()), b.status, strings.TrimSpace(b.responseBody), b.failure[strings.LastIndex(b.failure, ": ")+1:])]++
				}
			}
			if slices.ContainsFunc(later, func(b attempt) bool { return b.status == http.StatusPaymentRequired }) {
				n.refused++
			}
		}
	}
	for what, n := range map[string]count{"sub-agents": agents, "programs": others} {
		d.t.Logf("turns of %s that were open when the final fault struck: %d, %d repeated, of these %d reached a target, %d refused for their budget; tries of those that reached none: %v", what, n.open, n.repeated, n.reached, n.refused, n.answers)
	}
}
