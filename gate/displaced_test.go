package gate_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestDisplacedTurnsGoBeforeFirstTurns guards against turns that are refused while first turns are served, after the target of the
// turns before has gone and the one that is left is at the limit that it names: their callers rely on what they have got, and
// lose the whole program.
func TestDisplacedTurnsGoBeforeFirstTurns(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", streamEvents("one"))
	if code, body := b.send(turnRequest("first", "", "x", "1000000")); code != http.StatusOK {
		t.Fatal(code, body)
	}
	var got atomic.Int32
	b.addTarget("models", nameLimit(&got, newRate("10"), streamEvents("one")))
	b.fleet.mu.Lock()
	b.fleet.view.Targets = b.fleet.view.Targets[1:]
	b.fleet.mu.Unlock()
	const span, interval, continuedEvery = 6 * time.Second, 20 * time.Millisecond, 12
	var offered, served [2]atomic.Int32 // by whether they continue a turn
	var g errgroup.Group
	begin := time.Now()
	for i := 0; time.Since(begin) < span; i++ {
		r, kind := turnRequest(fmt.Sprint("t", i), "", "x", "1000000"), 0
		if i%continuedEvery == 0 {
			r, kind = turnRequest(fmt.Sprint("t", i), "first", "x", "1000000"), 1
		}
		r.header["Program"] = fmt.Sprint("p", i)
		warm := time.Since(begin) < span/4 // The limit is not known yet, or not divided.
		g.Go(func() error {
			code, _ := b.send(r)
			if !warm {
				offered[kind].Add(1)
			}
			if !warm && code == http.StatusOK {
				served[kind].Add(1)
			}
			return nil
		})
		time.Sleep(interval)
	}
	_ = g.Wait() // The goroutines always return nil.
	t.Logf("%d of %d first turns served, %d of %d that continue another one", served[0].Load(), offered[0].Load(), served[1].Load(), offered[1].Load())
	if served[0].Load() == 0 {
		t.Error("no first turn was served")
	}
	if n, most := offered[1].Load()-served[1].Load(), offered[1].Load()/10; n > most {
		t.Errorf("%d of %d turns that continue another one were refused beside %d first turns that were served, want at most %d", n, offered[1].Load(), served[0].Load(), most)
	}
}
