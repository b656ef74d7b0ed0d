package host

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/intake"
)

// TestChecksAreAnsweredBesideCallers guards against entry hosts that the balancer takes out, all at
// once, since requests of callers that are being handled leave no memory to readiness checks.
func TestChecksAreAnsweredBesideCallers(t *testing.T) {
	n := &Node{received: intake.NewBudget(intake.Bytes(88))}
	for {
		request := n.received.Open("a", func() {})
		request.SetPhase(intake.Working)
		defer request.Close()
		if request.Add(1<<10) != nil {
			break
		}
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	if err := n.serve(ctx, &g, address, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})); err != nil {
		t.Fatal(err)
	}
	client := http.Client{Timeout: 5 * time.Second}
	status := 0
	resp, err := client.Get("http://" + address)
	if err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	if diff := cmp.Diff(http.StatusOK, status); diff != "" {
		t.Errorf("%v, status -want +got:\n%s", err, diff)
	}
	cancel()
	_ = g.Wait()
}
