package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

const (
	longInput  = 1 << 20 // bytes of the input of a long turn
	longUsers  = 44
	shortUsers = 150
	// rounds is how often a store is retired.
	rounds = 4
	// shortShards are the first shards, which short turns belong to. The long ones belong to
	// the last shard.
	shortShards = 4
	// warmTime is how long the users send turns before the store is retired.
	warmTime = 1200 * time.Millisecond
	// catchUp is longer than catch_up_s: the time that a store gets after it was down.
	catchUp = 9 * time.Second
)

// program returns the n-th program of a user whose shard is in the given range.
func program(prefix string, n, firstShard, lastShard int) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%s-%d-%d", prefix, n, i)
		if s := int(turns.ShardOf("studio", types.ProgramID(id))); s >= firstShard && s <= lastShard {
			return id
		}
	}
}

// runRetire has many users send turns while, with trouble, one of four stores is emptied
// and taken away. It does so four times; before each further time, a store is added. Then
// each of the remaining stores is down for some seconds, one after the other, while the
// programs go on through entry hosts that have not served them yet.
func runRetire(binary, dir string, rec *record, trouble bool) int {
	p := startPlatform()
	p.set([]map[string]any{startModel("m-0", "zone-a"), startModel("m-1", "zone-b"), startModel("m-2", "zone-c")})
	f := newFleet(binary, dir, p.address, 3, 3+rounds, 6)
	defer f.stopAll()
	entries, stores := f.role("entry"), f.role("store")
	for _, s := range stores[4:] {
		s.spare = true
	}
	f.form(chatConfig())
	time.Sleep(5 * time.Second) // All hosts have been in touch for contact_ms.
	var writers []*chat
	for _, h := range entries[:3] {
		writers = append(writers, f.newChat(h, rec))
	}
	var kept []turn
	lastAdded := time.Now()
	for i, s := range stores[1 : 1+rounds] {
		kept = append(kept, f.retireUnderLoad(fmt.Sprintf("r%d", i), s, writers, rec, trouble)...)
		if i < rounds-1 {
			rec.line("added    %s", stores[4+i].name)
			f.start(stores[4+i], false)
			lastAdded = time.Now()
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(time.Until(lastAdded.Add(catchUp)))
	return f.askAll(kept, []*host{stores[0], stores[1+rounds], stores[2+rounds]}, entries[3:], rec)
}

// retireUnderLoad has users send turns, retires a store meanwhile and takes it away. It
// returns the short turns that were answered whole around that time.
func (f *fleet) retireUnderLoad(name string, s *host, writers []*chat, rec *record, trouble bool) []turn {
	var wg sync.WaitGroup
	var stopped, longStopped atomic.Bool
	long := strings.Repeat("x", longInput)
	for u := range longUsers + shortUsers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !stopped.Load(); n++ {
				id := fmt.Sprintf("%s-u%d-%d", name, u, n)
				if u < longUsers && longStopped.Load() {
					return
				}
				if u < longUsers {
					writers[u%3].send("long-"+id, program(id, 0, turns.ShardCount-1, turns.ShardCount-1), "", long)
					continue
				}
				writers[u%3].send("short-"+id, program(id, 0, 0, shortShards-1), "", "input of "+id)
			}
		}()
	}
	time.Sleep(warmTime)
	begun := time.Now()
	time.AfterFunc(150*time.Millisecond, func() { longStopped.Store(true) })
	time.AfterFunc(time.Second, func() { stopped.Store(true) })
	if trouble {
		f.retire(s, rec)
	}
	wg.Wait()
	if trouble {
		s.stop()
		rec.line("removed  %s", s.name)
	}
	var kept []turn
	for _, c := range writers {
		for _, t := range c.turns {
			if t.whole && strings.HasPrefix(t.id, "short-"+name) && t.endedAt.After(begun) && t.sentAt.Before(begun.Add(600*time.Millisecond)) {
				kept = append(kept, t)
			}
		}
	}
	return kept
}

// askAll continues all turns while one store is down, for each store in turn.
func (f *fleet) askAll(kept []turn, stores, readers []*host, rec *record) int {
	lost, unsure, found := 0, 0, 0
	for i, s := range stores[:len(readers)] {
		rec.line("killed   %s", s.name)
		s.stop()
		reader := f.newChat(readers[i], rec)
		var wg sync.WaitGroup
		limit := make(chan struct{}, 20)
		for n, t := range kept {
			if time.Since(t.endedAt) > keepTime-5*time.Second {
				continue
			}
			wg.Add(1)
			limit <- struct{}{}
			go func() {
				defer wg.Done()
				reader.send(fmt.Sprintf("next-%d-%d", i, n), t.program, t.id, "more")
				<-limit
			}()
		}
		wg.Wait()
		for _, t := range reader.turns {
			switch {
			case t.status == http.StatusNotFound:
				lost++
				rec.line("lost     %s, asked for by %s", t.previous, t.id)
			case t.whole:
				found++
			default:
				unsure++
			}
		}
		f.start(s, false)
		time.Sleep(catchUp)
	}
	rec.line("result   %d turns asked for, %d times found, %d times answered 404, %d times another answer", len(kept), found, lost, unsure)
	fmt.Printf("%d turns asked for, %d times found, %d times answered 404, %d times another answer\n", len(kept), found, lost, unsure)
	switch {
	case found == 0:
		return exitNotRun
	case lost > 0:
		return exitBroken
	}
	return exitHeld
}

// retire has a store emptied and waits until that is complete.
func (f *fleet) retire(h *host, rec *record) {
	url := fmt.Sprintf("http://%s:%d/v1/retire/%s", f.role("control")[0].ip, f.operator, h.name)
	rec.line("retire   %s", h.name)
	f.await(func() bool {
		resp, err := shortClient.Post(url, "application/json", strings.NewReader(`{"deadline_s":10}`))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, "the order to retire a store is not acknowledged")
	f.await(func() bool { return f.retired(url) }, "the store is not emptied")
	rec.line("complete %s", h.name)
}

// retired reports whether an order to retire a store is complete.
func (*fleet) retired(url string) bool {
	resp, err := shortClient.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var state struct{ State string }
	return json.NewDecoder(resp.Body).Decode(&state) == nil && state.State == "complete"
}
