package main

import (
	"fmt"
	"sync"
	"time"
)

// drainLinger is how long the replica goes on to serve after it is listed as draining:
// drain_ms and, as PROTOCOL.md says, "sometimes many seconds longer".
const drainLinger = 15 * time.Second

// runDrain drains one of three replicas. The platform's list shows it as draining. With
// trouble, the list also has an entry of another writer for this replica, which lacks
// fields and still says ready; such an entry "names no replica to use".
func runDrain(binary, dir string, rec *record, trouble bool) int {
	var replicas []*replica
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		replicas = append(replicas, startReplica(fmt.Sprintf("i-%d", i), "booking", zone, 10*time.Millisecond, rec))
	}
	leaving := replicas[1]
	foreign := map[string]any{"id": leaving.id, "service": leaving.service, "address": leaving.address, "state": "ready"}
	list := func(state string) []map[string]any {
		entries := []map[string]any{replicas[0].entry("ready"), leaving.entry(state), replicas[2].entry("ready")}
		if trouble {
			entries = append(entries, foreign)
		}
		return entries
	}
	p := startPlatform()
	p.set(list("ready"))
	f := newFleet(binary, dir, p.address, 3, 3, 2)
	defer f.stopAll()
	f.form(plainConfig("idempotent"))
	time.Sleep(4 * time.Second) // All hosts have been in touch for contact_ms.

	end := time.Now().Add(4*time.Second + drainLinger)
	var callers []*caller
	var wg sync.WaitGroup
	for i, h := range f.role("entry") {
		c := f.newCaller(h, fmt.Sprintf("c%d-", i), "GET", "/lookup/room", rec)
		callers = append(callers, c)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(40*time.Millisecond, end)
		}()
	}
	time.Sleep(4 * time.Second)
	p.set(list("draining"))
	listed := time.Now()
	rec.line("listed   %s as draining", leaving.id)
	wg.Wait()
	return judgeDrain(callers, leaving, listed, rec)
}

// judgeDrain counts the requests that reached the draining replica although they were
// sent later than drain_ms after the list showed it as draining.
func judgeDrain(callers []*caller, leaving *replica, listed time.Time, rec *record) int {
	sentAt := map[string]time.Time{}
	served, sent := 0, 0
	for _, c := range callers {
		for id, at := range c.sentAt {
			sentAt[id] = at
		}
		served += c.status[200]
		sent += len(c.sentAt)
	}
	before, late := 0, 0
	for _, r := range leaving.runs {
		switch {
		case r.arrived.Before(listed):
			before++
		case sentAt[r.id].After(listed.Add(drainTime)):
			late++
		}
	}
	rec.line("result   %d requests sent, %d served, %d at %s before it drained, %d sent and run there later than drain_ms", sent, served, before, leaving.id, late)
	fmt.Printf("%d requests sent, %d served; %d reached the draining replica later than drain_ms\n", sent, served, late)
	if before == 0 || served < sent/2 {
		return exitNotRun
	}
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}
