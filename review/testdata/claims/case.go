package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

const (
	programs  = 6 // of the tenant that is observed
	helpers   = 4 // sub-agents of each program, which run their turns in parallel
	choirs    = 10
	calmTime  = 4 * time.Second        // longer than contact_ms
	killLimit = 2 * time.Second        // within which a turn of the sub-agents must be answered
	downTime  = 1 * time.Second        // down_s
	recoverIn = 12 * time.Second       // recover_s
	lastTime  = 4 * time.Second        // at the end of recover_s, in which other turns must be served
	choirStep = 500 * time.Millisecond // between two turns of the other tenant's programs
	servedMin = 0.8                    // part of the other turns that is served then
)

// bodyOf returns the new input of a turn.
func bodyOf(t *turn) io.Reader { return strings.NewReader(strings.Repeat("input of "+t.name+"\n", 8)) }

// runClaims lets programs with sub-agents run. With trouble, all processes are killed as soon as the first
// turn of a sub-agent has been answered whole, while others wait for the limit of their tenant, and started
// again.
func runClaims(binary, dir string, rec *record, trouble bool) int {
	reached := &arrivals{ids: map[string]bool{}}
	var list []map[string]any
	for i := range 3 {
		list = append(list, startModel(fmt.Sprintf("i-%d", i), fmt.Sprintf("zone-%c", 'a'+i), reached, rec))
	}
	f := newFleet(binary, dir, startPlatform(list), 5, 3, 4)
	defer f.stopAll()
	f.form(chatConfig())
	c := &clients{fleet: f, rec: rec, onWhole: func() {}}
	time.Sleep(calmTime)
	firsts := c.runAll(firstTurns("studio", programs))
	choir := c.runAll(firstTurns("choir", choirs))
	for _, t := range append(firsts, choir...) {
		if !t.whole {
			f.stopAll()
			fail("the first turn %s was not answered whole: %d", t.name, t.status)
		}
	}
	time.Sleep(time.Second)

	var turns []*turn
	for _, first := range firsts {
		for i := range helpers {
			turns = append(turns, &turn{
				tenant: first.tenant, program: first.program, session: fmt.Sprintf("%s-h%d", first.program, i), previous: first.id(), name: fmt.Sprintf("%s-h%d", first.program, i),
			})
		}
	}
	accepted := make(chan struct{})
	c.onWhole = sync.OnceFunc(func() { close(accepted) })
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.runAll(turns)
	}()
	select {
	case <-accepted:
	case <-time.After(killLimit):
		f.stopAll()
		fail("no turn of a sub-agent was answered within %v", killLimit)
	}
	if trouble {
		rec.line("kill     all processes")
		var stops sync.WaitGroup
		for _, h := range f.hosts {
			stops.Add(1)
			go func() {
				defer stops.Done()
				h.stop()
			}()
		}
		stops.Wait()
		time.Sleep(downTime)
		for _, h := range f.hosts {
			f.start(h, false)
		}
		rec.line("start    all processes")
	}
	back := time.Now()
	others, served := c.continueUntil(choir, back)
	wg.Wait()
	return judge(firsts, turns, reached, others, served, rec)
}

// firstTurns returns the first turns of n programs.
func firstTurns(tenant string, n int) (list []*turn) {
	for i := range n {
		program := fmt.Sprintf("%s%d", tenant, i)
		list = append(list, &turn{tenant: tenant, program: program, session: program, name: program + "-first"})
	}
	return list
}

// runAll runs turns at the same time.
func (c *clients) runAll(turns []*turn) []*turn {
	var wg sync.WaitGroup
	for _, t := range turns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(t)
		}()
	}
	wg.Wait()
	return turns
}

// continueUntil lets new programs of the other tenant continue from turns of before, until recoverIn after
// the machines are back. It returns how many turns were sent in the last time, and how many of them served.
func (c *clients) continueUntil(before []*turn, back time.Time) (sent, served int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := 0; time.Since(back) < recoverIn; n++ {
		previous := before[n%len(before)]
		name := fmt.Sprintf("later%d", n)
		last := time.Since(back) > recoverIn-lastTime
		wg.Add(1)
		go func() {
			defer wg.Done()
			t := &turn{tenant: previous.tenant, program: name, session: name, previous: previous.id(), name: name}
			c.run(t)
			mu.Lock()
			defer mu.Unlock()
			if last {
				sent++
			}
			if last && t.whole {
				served++
			}
		}()
		time.Sleep(choirStep)
	}
	wg.Wait()
	return sent, served
}

// judge counts the turns that were told that their budget is spent and have reached no replica, although
// the budget covers them: it holds one more turn beside all turns of the program that have reached a
// replica, counted at their most unless they ended whole.
func judge(firsts, turns []*turn, reached *arrivals, others, served int, rec *record) int {
	lost, whole := 0, 0
	for _, first := range firsts {
		most := 0
		for _, t := range append([]*turn{first}, turns...) {
			switch {
			case t.program != first.program || !t.reached(reached):
			case t.whole:
				most += turnEvents * tokensPerEvent
			default:
				most += turnMax
			}
		}
		for _, t := range turns {
			if t.program != first.program {
				continue
			}
			if t.whole {
				whole++
			}
			if t.status == 402 && !t.reached(reached) && most+turnMax <= budget {
				lost++
				rec.line("lost     %s: 402, no replica reached; the other turns of its program may have used %d of %d tokens", t.name, most, budget)
			}
		}
	}
	text := fmt.Sprintf("%d of %d turns of sub-agents were answered 402 and reached no replica though the budget covers them, %d ended whole; %d of %d other turns were served in the last %v", lost, len(turns), whole, served, others, lastTime)
	rec.line("result   %s", text)
	fmt.Println(text)
	switch {
	case others == 0 || float64(served) < servedMin*float64(others):
		return exitNotRun
	case lost > 0:
		return exitBroken
	}
	return exitHeld
}
