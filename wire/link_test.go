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

// question asks for an answer after a while.
type question struct {
	Number int           `json:"number"`
	After  time.Duration `json:"after"`
}

const echo wire.Kind = "echo"

// dial starts a server that echoes numbers, and a link to it.
func dial(t *testing.T, secret string) *wire.Link {
	t.Helper()
	s := &wire.Server{Secret: "the-secret-of-the-server"}
	wire.Handle(s, echo, func(_ context.Context, q question) (int, error) {
		time.Sleep(q.After)
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

func up(t *testing.T, l *wire.Link) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !l.Up(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the link does not come up")
		}
	}
}

// TestOwnAnswers asks many questions at once whose answers come out of order,
// and some too late: everyone gets the answer to the own question or none.
func TestOwnAnswers(t *testing.T) {
	l := dial(t, "the-secret-of-the-server")
	up(t, l)
	var g errgroup.Group
	for i := range 300 {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(5+i%3*1000)*time.Millisecond)
			defer cancel()
			got, err := wire.Call[question, int](ctx, l, echo, question{Number: i, After: time.Duration(20+i%7*5) * time.Millisecond})
			if i%3 == 0 && types.IsCode(err, types.CodeDeadline) {
				return nil
			}
			if err == nil && got != i {
				err = fmt.Errorf("question %d was answered %d", i, got)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	_, err := wire.Call[question, int](t.Context(), l, echo, question{Number: -1})
	if diff := cmp.Diff(types.NewFault(types.CodeBadRequest, "-1 is negative"), types.AsFault(err)); diff != "" {
		t.Errorf("fault (-want +got):\n%s", diff)
	}
}

// TestWrongSecret finds that a stranger gets no connection.
func TestWrongSecret(t *testing.T) {
	l := dial(t, "another-secret")
	time.Sleep(200 * time.Millisecond)
	_, err := wire.Call[question, int](t.Context(), l, echo, question{})
	if f := types.AsFault(err); f.Code != types.CodeUnavailable || f.Ran != types.NotRun {
		t.Errorf("%v", err)
	}
}
