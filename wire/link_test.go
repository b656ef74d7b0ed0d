package wire_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// echoRequest requests a reply with the same number after a delay.
type echoRequest struct {
	Number int           `json:"number"`
	Delay  time.Duration `json:"after"`
}

const echo wire.Kind = "echo"

// startEcho starts a server that echoes numbers and rejects negative ones, and
// returns a link to it that uses the given secret.
func startEcho(t *testing.T, secret string) *wire.Link {
	t.Helper()
	s := &wire.Server{Secret: "the-secret-of-the-server"}
	wire.Handle(s, echo, func(_ context.Context, q echoRequest) (int, error) {
		time.Sleep(q.Delay)
		if q.Number < 0 {
			return 0, types.NewFault(types.CodeBadRequest, "%d is negative", q.Number)
		}
		return q.Number, nil
	})
	server := httptest.NewServer(s)
	l := &wire.Link{Address: strings.TrimPrefix(server.URL, "http://"), Secret: secret}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return l.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
		server.Close()
	})
	return l
}

func waitConnected(t *testing.T, l *wire.Link) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !l.IsConnected(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the link does not connect within 10 s")
		}
	}
}

// TestRepliesMatchRequests sends many concurrent requests whose replies arrive
// out of order, some of them after the timeout. No call may return the reply to
// another one's request.
func TestRepliesMatchRequests(t *testing.T) {
	l := startEcho(t, "the-secret-of-the-server")
	waitConnected(t, l)
	var g errgroup.Group
	for i := range 300 {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(5+i%3*1000)*time.Millisecond)
			defer cancel()
			got, err := wire.Call[echoRequest, int](ctx, l, echo, echoRequest{Number: i, Delay: time.Duration(20+i%7*5) * time.Millisecond})
			if i%3 == 0 && types.IsCode(err, types.CodeDeadlineExceeded) {
				return nil
			}
			if err == nil && got != i {
				err = fmt.Errorf("request %d got reply %d", i, got)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	_, err := wire.Call[echoRequest, int](t.Context(), l, echo, echoRequest{Number: -1})
	if diff := cmp.Diff(types.NewFault(types.CodeBadRequest, "-1 is negative"), types.AsFault(err)); diff != "" {
		t.Errorf("fault (-want +got):\n%s", diff)
	}
}

// TestWrongSecret checks that a client with a wrong secret gets no connection,
// and that its request certainly did not run.
func TestWrongSecret(t *testing.T) {
	l := startEcho(t, "another-secret")
	time.Sleep(200 * time.Millisecond)
	_, err := wire.Call[echoRequest, int](t.Context(), l, echo, echoRequest{})
	if f := types.AsFault(err); f.Code != types.CodeUnavailable || f.Ran != types.NotRun {
		t.Errorf("%v", err)
	}
}
