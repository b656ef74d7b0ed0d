package soak_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestStopCompletesRelayedRequests guards against a planned stop that cuts requests of other
// entry hosts: those whose connections to targets go through the host that stops, and whose
// targets respond well within its grace period.
func TestStopCompletesRelayedRequests(t *testing.T) {
	c, tg := startServing(t, 43, 2, 2)
	entry, relaying := c.fleet.hosts[6], c.fleet.hosts[8]
	c.fleet.cutOff(c.fleet.hosts[6:8], cutRefuse)
	send := func(takes time.Duration) (*stopRequest, stopOutcome, error) {
		r := &stopRequest{path: "/charge/", takes: takes, id: c.newID()}
		o, err := r.send(fmt.Sprintf("%s:%d", c.fleet.address(entry), callerPort), func(time.Duration) {})
		return r, o, err
	}
	waitFor(t, "a relayed request", func() bool {
		_, o, err := send(0)
		return err == nil && o.code == http.StatusOK
	})
	var g errgroup.Group
	for range 5 {
		g.Go(func() error {
			r, o, err := send(stopGrace * 5 / 8)
			if err != nil {
				return err
			}
			if o.code != http.StatusOK || o.err != nil {
				t.Errorf("status %d, %d targets have run it; %v", o.code, len(tg.runsOf(r.id)), o.err)
			}
			return nil
		})
	}
	time.Sleep(300 * time.Millisecond) // Until the targets have the requests.
	_, exited := startStop(relaying)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if d := exited(); d >= stopGrace {
		t.Errorf("the process had to be killed after %v", d)
	}
}
