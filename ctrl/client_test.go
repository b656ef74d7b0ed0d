package ctrl_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// TestUnknownOutcomeAfterHostLoss lets a control host receive a command, send no
// reply and shut down. Retries then fail to connect, so they certainly do not
// run, but the client must still report that the command may have run.
func TestUnknownOutcomeAfterHostLoss(t *testing.T) {
	const secret = "the-secret-of-this-test"
	received := make(chan struct{}, 1)
	s := &wire.Server{Secret: secret}
	wire.Handle(s, ctrl.KindLedger, func(ctx context.Context, _ ctrl.LedgerRequest) (ledger.Result, error) {
		received <- struct{}{}
		<-ctx.Done()
		return ledger.Result{}, ctx.Err()
	})
	serverCtx, stopServer := context.WithCancel(t.Context())
	server := httptest.NewUnstartedServer(s)
	server.Config.BaseContext = func(net.Listener) context.Context { return serverCtx }
	server.Start()
	c := &ctrl.Client{
		Hosts:  []config.ControlHost{{Host: "control-0", Address: strings.TrimPrefix(server.URL, "http://")}},
		Secret: secret, Groups: 1,
	}
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return c.Run(ctx) })
	g.Go(func() error {
		<-received
		stopServer()
		return server.Listener.Close()
	})
	callCtx, stop := context.WithTimeout(ctx, 3*time.Second)
	defer stop()
	_, err := c.SubmitCommand(callCtx, "choir", ledger.Command{End: &ledger.End{Account: "choir", Program: "p"}})
	if f := types.AsFault(err); f.Code != types.CodeUnavailable || f.Ran != types.MayHaveRun {
		t.Errorf("%v", err)
	}
	cancel()
	_ = g.Wait()
}
