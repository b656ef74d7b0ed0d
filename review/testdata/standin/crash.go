package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	// contactTime is contact_ms, after which retries of a request that has crashed three
	// replicas count, and maxLateRetries how many of them may reach replicas.
	contactTime    = 3 * time.Second
	maxLateRetries = 3
	// copies is how many users send the same request at the same time, each through
	// another entry host, and waves how often they do so.
	copies = 4
	waves  = 4
	// wavePause is longer than contactTime and the time for which a replica is down.
	wavePause = 4 * time.Second
	// poison is the body of the request.
	poison = "hold room 7"
)

// runCrash sends the same request through four entry hosts at the same time, and again
// some seconds later. With trouble, it crashes each replica that begins to run it.
func runCrash(binary, dir string, rec *record, trouble bool) int {
	var replicas []*replica
	var list []map[string]any
	for i := range 9 {
		r := startReplica(fmt.Sprintf("i-%d", i), "booking", fmt.Sprintf("zone-%c", 'a'+i%3), 20*time.Millisecond, rec)
		if trouble {
			r.poison = poison
		}
		replicas = append(replicas, r)
		list = append(list, r.entry("ready"))
	}
	p := startPlatform()
	p.set(list)
	f := newFleet(binary, dir, p.address, 3, 3, copies)
	defer f.stopAll()
	f.form(plainConfig("non_idempotent"))
	var others, senders []*caller
	for i, h := range f.role("entry") {
		others = append(others, f.newCaller(h, fmt.Sprintf("o%d-", i), "POST", "/lookup/other", rec))
		c := f.newCaller(h, fmt.Sprintf("x%d-", i), "POST", "/lookup/poison", rec)
		c.body = poison
		senders = append(senders, c)
	}
	var wg sync.WaitGroup
	for i, c := range others {
		c.body = fmt.Sprintf("hold room %d", 100+i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(100*time.Millisecond, time.Now().Add(5*time.Second+waves*wavePause))
		}()
	}
	time.Sleep(5 * time.Second) // All hosts have been in touch for contact_ms.
	for n := range waves {
		for _, c := range senders {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.send(fmt.Sprintf("%s%06d", c.prefix, n))
			}()
		}
		time.Sleep(wavePause)
	}
	wg.Wait()
	return judgeCrash(senders, others, replicas, trouble, rec)
}

// judgeCrash counts the retries that reached replicas although they were sent later than
// contact_ms after the request had crashed the third replica.
func judgeCrash(senders, others []*caller, replicas []*replica, trouble bool, rec *record) int {
	sentAt := map[string]time.Time{}
	for _, c := range senders {
		for id, at := range c.sentAt {
			sentAt[id] = at
		}
	}
	served := 0
	for _, c := range others {
		served += c.status[200]
	}
	var reached []run
	for _, r := range replicas {
		for _, one := range r.runs {
			if _, ok := sentAt[one.id]; ok {
				reached = append(reached, one)
			}
		}
	}
	sort.Slice(reached, func(i, j int) bool { return reached[i].arrived.Before(reached[j].arrived) })
	late := 0
	if trouble && len(reached) >= 3 {
		for _, one := range reached {
			if sentAt[one.id].After(reached[2].arrived.Add(contactTime)) {
				late++
			}
		}
	}
	rec.line("result   %d copies reached replicas, %d of them sent later than contact_ms after the third crash; %d other requests served", len(reached), late, served)
	fmt.Printf("%d copies reached replicas, %d of them sent later than contact_ms after the third crash; %d other requests served\n", len(reached), late, served)
	switch {
	case served == 0 || len(reached) < 3:
		return exitNotRun
	case late > maxLateRetries:
		return exitBroken
	}
	return exitHeld
}
