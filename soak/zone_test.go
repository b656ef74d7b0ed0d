package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/platform"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// evacuationTime is the time after the acknowledgment of an order from which on the
	// targets of the zone get no requests.
	evacuationTime = 5 * time.Second
	// ackTime is the time within which a fleet without faults acknowledges an order.
	ackTime = 5 * time.Second
)

// evacuation is the time in which a zone is evacuated: from the acknowledgment of the
// order until it is withdrawn.
type evacuation struct {
	zone     string
	from, to time.Time
}

// requestEvacuation orders that a zone be evacuated (POST) or taken back (DELETE) at a
// random control host, and returns the status, or 0 if there is no response.
func (f *fleet) requestEvacuation(r *rand.Rand, method, zone string) int {
	code, _ := f.requestControl(r.IntN(f.size.controls), method, "/v1/evacuations/"+zone, nil, ackTime)
	return code
}

// orderEvacuation sends an order until it is acknowledged and returns when it was.
func (f *fleet) orderEvacuation(r *rand.Rand, method, zone string) time.Time {
	for deadline := time.Now().Add(waitTimeout); f.requestEvacuation(r, method, zone) != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Errorf("%s of the evacuation of %s is not acknowledged", method, zone)
			break
		}
	}
	return time.Now()
}

// evacuateRandomly evacuates one zone after another until ctx ends, and returns when.
func (f *fleet) evacuateRandomly(ctx context.Context, seed uint64) (list []evacuation) {
	r := rand.New(rand.NewPCG(seed, 8))
	for types.Sleep(ctx, time.Duration(r.IntN(1000))*time.Millisecond) {
		e := evacuation{zone: fmt.Sprint("zone-", r.IntN(3))}
		e.from = f.orderEvacuation(r, http.MethodPost, e.zone)
		types.Sleep(ctx, evacuationTime+time.Duration(r.IntN(2000))*time.Millisecond)
		e.to = time.Now()
		f.orderEvacuation(r, http.MethodDelete, e.zone)
		list = append(list, e)
	}
	return list
}

// checkEvacuations checks that no target in an evacuated zone got a request later than
// evacuationTime after the acknowledgment. A host that was started or had a fault since
// then is excused for that: it may not have been in contact with the control hosts.
func checkEvacuations(t *testing.T, c *callers, tg *targets, list []evacuation) {
	t.Helper()
	entries := map[string]string{} // by request ID
	for _, a := range c.attempts {
		entries[a.id] = a.entry
	}
	disturbedAt := map[string]time.Time{}
	for _, h := range c.fleet.hosts {
		disturbedAt[h.name] = h.disturbedAt
	}
	zones := map[string]any{} // by target ID
	for _, entry := range tg.list {
		zones[entry["id"].(string)] = entry["zone"]
	}
	for _, e := range list {
		var last time.Duration // after the acknowledgment
		for id, runs := range tg.runs {
			for _, r := range runs {
				if zones[r.target] != e.zone || r.startedAt.Before(e.from) || r.startedAt.After(e.to) || disturbedAt[entries[id]].After(e.from) {
					continue
				}
				last = max(last, r.startedAt.Sub(e.from))
				if r.startedAt.Sub(e.from) > evacuationTime {
					t.Errorf("target %s in %s got %s from %s %v after the acknowledgment", r.target, e.zone, id, entries[id], r.startedAt.Sub(e.from))
				}
			}
		}
		t.Logf("%s evacuated for %v: the last request came %v after the acknowledgment", e.zone, e.to.Sub(e.from), last)
	}
}

// TestZoneIsEvacuated guards against orders that are acknowledged late, that hosts do not
// follow, or that are lost with the leader, all processes or a disk; against a zone that
// gets no requests after it was taken back; and against orders on zones that do not exist.
func TestZoneIsEvacuated(t *testing.T) {
	c, tg := startServing(t, 11, 4, 3) // t0, t3 and t6 are in zone-0.
	f, r := c.fleet, rand.New(rand.NewPCG(11, 8))
	ctx, cancel := context.WithCancel(context.Background())
	var load errgroup.Group
	for i := range uint64(concurrentPrograms) {
		load.Go(func() error { c.runPrograms(ctx, 1100+i); return nil })
	}
	order := func(method string) time.Time {
		begin := time.Now()
		acked := f.orderEvacuation(r, method, "zone-0")
		if took := acked.Sub(begin); took > ackTime {
			t.Errorf("%s was acknowledged after %v", method, took)
		} else {
			t.Logf("%s was acknowledged after %v", method, took)
		}
		return acked
	}
	waitFor(t, "a decision on an unknown zone", func() bool { return f.requestEvacuation(r, http.MethodPost, "zone-9") == http.StatusNotFound })
	first := evacuation{zone: "zone-0", from: order(http.MethodPost)}
	time.Sleep(500 * time.Millisecond)
	quietFrom := time.Now()
	f.killControlHosts(f.hosts[:3], 100*time.Millisecond)
	time.Sleep(2 * time.Second)
	f.losePower(f.hosts[1:2], 100*time.Millisecond) // All entry hosts start anew, too.
	time.Sleep(5 * time.Second)
	for _, h := range f.hosts[:3] {
		list, err := platform.ReadEvacuations(ctx, fmt.Sprintf("%s:%d", f.address(h), operatorPort))
		if err != nil || len(list) != 1 || list[0].Zone != "zone-0" {
			t.Errorf("%s lists the evacuations %+v, %v", h.name, list, err)
		}
	}
	first.to = time.Now()
	for _, id := range []string{"t0", "t3", "t6"} {
		if n := tg.arrivedSince(id, quietFrom); n > 0 {
			t.Errorf("target %s got %d requests while its zone was evacuated", id, n)
		}
	}
	backAt := order(http.MethodDelete)
	time.Sleep(3 * time.Second)
	for _, id := range []string{"t0", "t3", "t6"} {
		if tg.arrivedSince(id, backAt) == 0 {
			t.Errorf("target %s got no requests after its zone was taken back", id)
		}
	}
	second := evacuation{zone: "zone-0", from: order(http.MethodPost)}
	time.Sleep(evacuationTime + time.Second)
	second.to = time.Now()
	cancel()
	_ = load.Wait() // The goroutines always return nil.
	checkEvacuations(t, c, tg, []evacuation{first, second})
	checkRuns(t, c, tg)
}
