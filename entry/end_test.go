package entry_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/entry"
	"github.com/banyanspur/banyanspur/types"
)

// TestCallsBesideEndOfEntry guards against a process that ends by the panic of a WaitGroup, with
// all its requests in flight, since calls end and are recorded while the entry ends, and against
// calls without an answer then.
func TestCallsBesideEndOfEntry(t *testing.T) {
	f := newFleet(t)
	for round := range 20 {
		program := fmt.Sprint("p", round)
		f.openProgram(program)
		e := &entry.Entry{Host: "entry-9", Zone: "zone-a", Client: f.client, Clock: types.NewClock()}
		ctx, cancel := context.WithCancel(context.Background())
		var running, requests errgroup.Group
		running.Go(func() error { return e.Run(ctx) })
		f.eventually("a lease", func() error {
			if !e.Ready() {
				return errors.New("the entry is not ready")
			}
			return nil
		})
		for i := range 4 {
			requests.Go(func() error {
				req := httptest.NewRequest(http.MethodPost, fmt.Sprintf("/v1/programs/%s/calls/%d%s", program, 1+i, chatPath), strings.NewReader(chatBody))
				req.Header.Set("Authorization", "Bearer "+choirKey)
				resp := httptest.NewRecorder()
				e.Handler().ServeHTTP(resp, req)
				if resp.Body.Len() == 0 {
					return fmt.Errorf("no answer, status %d", resp.Code)
				}
				return nil
			})
		}
		time.Sleep(time.Duration(round%5) * 2 * time.Millisecond)
		cancel()
		_ = running.Wait() // It ends with ctx.
		if err := requests.Wait(); err != nil {
			t.Fatal(err)
		}
	}
}
