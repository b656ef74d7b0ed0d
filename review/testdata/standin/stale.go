package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the entry hosts are frozen.
	freezeTime = 5600 * time.Millisecond
	// beforeRetire is the time from the freeze to the order to retire.
	beforeRetire = 4200 * time.Millisecond
	// pollTime is how often the operator asks for the state of the order.
	pollTime      = 1700 * time.Millisecond
	stalePrograms = 40
)

// runStale freezes two of six entry hosts. In the meantime one of four stores is retired,
// programs send turns through another entry host, and one of the other stores is killed. The
// programs go on through the entry hosts that wake up.
func runStale(binary, dir string, rec *record, trouble bool) int {
	p := startPlatform()
	p.set([]map[string]any{startModel("m-0", "zone-a"), startModel("m-1", "zone-b"), startModel("m-2", "zone-c")})
	f := newFleet(binary, dir, p.address, 3, 4, 6)
	defer f.stopAll()
	entries, stores := f.role("entry"), f.role("store")
	stores[3].spare = true
	f.form(chatConfig())
	time.Sleep(4 * time.Second) // The shards are assigned to the first three stores.
	rec.line("added    %s", stores[3].name)
	f.start(stores[3], false)
	time.Sleep(catchUp)

	writer, frozen := f.newChat(entries[2], rec), entries[:2]
	begun := time.Now()
	removed := make(chan struct{})
	if trouble {
		for _, h := range frozen {
			rec.line("frozen   %s", h.name)
			h.signal(syscall.SIGSTOP)
		}
		time.Sleep(beforeRetire)
		go f.retireSlowly(stores[1], rec, removed)
		time.Sleep(time.Second)
	}
	sendAll(writer, "warm", nil) // Connects the entry host to the stores.
	time.Sleep(200 * time.Millisecond)
	first := sendAll(writer, "first", nil)
	if trouble {
		rec.line("killed   %s", stores[0].name)
		stores[0].signal(syscall.SIGKILL)
		time.AfterFunc(time.Until(begun.Add(freezeTime)), func() {
			for _, h := range frozen {
				rec.line("thawed   %s", h.name)
				h.signal(syscall.SIGCONT)
			}
		})
	}
	lost, found, other := 0, 0, 0
	var wg sync.WaitGroup
	next := make([][]turn, len(frozen))
	for n, h := range frozen {
		wg.Add(1)
		go func() {
			defer wg.Done()
			next[n] = sendAll(f.newChat(h, rec), fmt.Sprintf("next-%d", n), first)
		}()
	}
	wg.Wait()
	for _, turns := range next {
		for i, t := range turns {
			switch {
			case !first[i].whole:
			case t.status == http.StatusNotFound:
				lost++
			case t.whole:
				found++
			default:
				other++
			}
		}
	}
	if trouble {
		<-removed
	}
	rec.line("result   %d times found, %d times answered 404, %d times another answer", found, lost, other)
	fmt.Printf("%d times found, %d times answered 404, %d times another answer\n", found, lost, other)
	switch {
	case found+lost+other < stalePrograms:
		return exitNotRun
	case lost > 0:
		return exitBroken
	}
	return exitHeld
}

// sendAll sends one turn of each program at the same time. Each continues the turn of the
// same program in previous, if there is one.
func sendAll(c *chat, name string, previous []turn) []turn {
	list := make([]turn, stalePrograms)
	var wg sync.WaitGroup
	for i := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			before := ""
			if previous != nil {
				before = previous[i].id
			}
			list[i] = c.send(fmt.Sprintf("%s-%d", name, i), fmt.Sprintf("program-%d", i), before, "input")
		}()
	}
	wg.Wait()
	return list
}

// retireSlowly has a store emptied, asks for the state every pollTime, and takes the store
// away as soon as it is told that it is empty.
func (f *fleet) retireSlowly(h *host, rec *record, removed chan<- struct{}) {
	defer close(removed)
	url := fmt.Sprintf("http://%s:%d/v1/retire/%s", f.role("control")[0].ip, f.operator, h.name)
	rec.line("retire   %s", h.name)
	resp, err := shortClient.Post(url, "application/json", strings.NewReader(`{"deadline_s":10}`))
	check(err)
	_ = resp.Body.Close()
	for range 10 {
		time.Sleep(pollTime)
		if f.retired(url) {
			rec.line("complete %s", h.name)
			h.signal(syscall.SIGKILL)
			return
		}
	}
	fail("the store is not emptied")
}
