//go:build crowd

package crowd_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/host"
)

// TestTurnsBesideSilentStore guards against an entry host that runs out of memory since it keeps large turns, which
// a majority of the stores has, for a store that stands still.
func TestTurnsBesideSilentStore(t *testing.T) {
	const callers, still, calm = 8, 3 * time.Second, 3 * time.Second
	f := newFleet(t, deploymentFiles)
	var stops []func()
	for _, p := range f.hosts[6:] {
		for _, key := range []string{"key-rash", "key-calm"} { // An account may hold one turn of this size at a time, two may hold two.
			head := func() string { return header(http.MethodPost, "/turn/", key) }
			stops = append(stops, crowd(t, fmt.Sprintf("%s:%d", p.address, callerPort), callers, whole(head, wholeBody)))
		}
	}
	for _, p := range f.hosts[3:6] {
		f.signal(p, syscall.SIGSTOP)
		time.Sleep(still)
		f.signal(p, syscall.SIGCONT)
		time.Sleep(calm)
	}
	for _, stop := range stops {
		stop()
	}
	f.serveOrdinary(f.first(host.NodeEntry), "afterwards")
	f.check()
}

// signal sends a signal to a process.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		f.t.Errorf("%s: %v", p.name, err)
	}
}
