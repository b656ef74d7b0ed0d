package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/gate"
)

// TestRequestsBesideEndOfGate guards against a process that ends by the panic of a WaitGroup, with
// all its requests in flight, since requests end, settle claims and probe targets while the gate
// ends.
func TestRequestsBesideEndOfGate(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for round := range 150 {
		g := &gate.Gate{
			Host: "entry-1", Zone: "zone-a", HeaderNames: headerNames, Fleet: b.fleet, Clock: b.fleet.clock, MaxPlanStaleness: time.Minute, Turns: b.gate.Turns,
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running, requests errgroup.Group
		running.Go(func() error { return g.Run(ctx) })
		for i := range 4 {
			requests.Go(func() error {
				req := httptest.NewRequest(http.MethodPost, "/chat/", strings.NewReader("input"))
				req.Host = "a.example"
				for name, value := range map[string]string{
					"Id": fmt.Sprintf("%d-%d", round, i), "Authorization": "Bearer choir-key", "Program": fmt.Sprint(round), "Budget": "1000", "Tokens": "100,40",
				} {
					req.Header.Set(name, value)
				}
				resp := httptest.NewRecorder()
				g.ServeHTTP(resp, req)
				if resp.Code != http.StatusBadGateway && resp.Code != http.StatusServiceUnavailable {
					return fmt.Errorf("status %d: %s", resp.Code, resp.Body)
				}
				return nil
			})
		}
		time.Sleep(time.Duration(round%10) * 200 * time.Microsecond)
		cancel()
		_ = running.Wait() // It ends with ctx.
		if err := requests.Wait(); err != nil {
			t.Fatal(err)
		}
	}
}
