package intake_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/intake"
)

// TestCallersAreServedBesideCrowds guards against callers that need dozens of attempts for a place
// beside a crowd that takes all places and connects again as soon as it loses one.
func TestCallersAreServedBesideCrowds(t *testing.T) {
	const (
		// As in the rows of package crowd: places of 400 descriptors.
		places, members, callers = 150, 450, 20
		pause                    = 50 * time.Millisecond
		// most is a few attempts: the place of a caller must last until its request is read.
		most    = 5
		request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
	)
	for name, send := range map[string]string{"silent": "", "part of a header": "GET / HT", "idle": request} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, places)
			ctx, cancel := context.WithCancel(t.Context())
			var g errgroup.Group
			defer func() {
				cancel()
				_ = g.Wait() // Members return no errors.
			}()
			for range members {
				g.Go(func() error {
					for ctx.Err() == nil {
						attempt(ctx, address, send)
						time.Sleep(pause)
					}
					return nil
				})
			}
			time.Sleep(time.Second)
			var attempts []int
			for i := range callers {
				time.Sleep(pause) // Callers come at all times between the waves of the crowd.
				n := 1
				for ; n < 1000 && ordinary(address, request) != http.StatusOK; n++ {
					time.Sleep(pause)
				}
				attempts = append(attempts, n)
				if n > most {
					t.Errorf("caller %d is served at attempt %d, want at most %d", i, n, most)
				}
			}
			t.Logf("served at attempts %v", attempts)
		})
	}
}

// serve runs an HTTP server with a number of places until the test ends, and returns its address.
func serve(t *testing.T, places int) (address string) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := intake.Listen(inner, intake.NewBudget(16*mib), func() intake.Limits {
		return intake.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second}
	})
	l.MaxConns = places
	server := &http.Server{Handler: http.HandlerFunc(respond), ConnState: intake.SetState, ReadHeaderTimeout: 30 * time.Second}
	var g errgroup.Group
	g.Go(func() error { return server.Serve(l) })
	t.Cleanup(func() {
		_ = server.Close()
		_ = g.Wait() // It returns that it was closed.
	})
	return inner.Addr().String()
}

// attempt connects, sends what it is given, and holds the connection until it ends.
func attempt(ctx context.Context, address, send string) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	_, _ = io.WriteString(c, send)
	_, _ = io.Copy(io.Discard, c)
}

// ordinary makes a request on a connection of its own, and returns the status, or 0 if the
// connection ends without one.
func ordinary(address, request string) int {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprint(c, request); err != nil {
		return 0
	}
	return status(c)
}
