package relay_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/relay"
)

// errNoPath is the error of the dials of these tests.
var errNoPath = errors.New("no path")

// TestDialsBesideEndOfDialer guards against a process that ends by the panic of a WaitGroup, with
// all its requests in flight, since a request connects to a target while the dialer ends.
func TestDialsBesideEndOfDialer(t *testing.T) {
	for range 3000 {
		d := relay.Dialer{
			Direct: func(context.Context, string) (net.Conn, error) { return nil, errNoPath },
			Keep:   func(string, net.Conn) {},
		}
		d.SetHosts([]relay.Host{{ID: "entry-2", Address: "127.0.0.1:1"}})
		ctx, cancel := context.WithCancel(context.Background())
		dialCtx, cancelDials := context.WithCancel(context.Background())
		cancelDials() // The direct dial fails, and so does the relayed one.
		var running, requests errgroup.Group
		running.Go(func() error { return d.Run(ctx) })
		for range 4 {
			requests.Go(func() error {
				for range 4 {
					_, _ = d.Dial(dialCtx, "127.0.0.1:2")
				}
				return nil
			})
		}
		cancel()
		_ = running.Wait()  // Run always returns nil.
		_ = requests.Wait() // They always return nil.
	}
}

// TestDialAfterEndOfDialer guards against requests in flight that never end, or cannot reach their
// target, since they connect to it after the dialer has ended.
func TestDialAfterEndOfDialer(t *testing.T) {
	target := newTarget(t)
	host := newRelayingHost(t, "entry-2", true, target)
	d := newDialer(t, host)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	d.stop()
	for name, cut := range map[string]error{"direct": nil, "refused": errNoPath, "silent": errSilent} {
		t.Run(name, func(t *testing.T) {
			d.network.setCut(cut)
			c, err := d.Dial(ctx, target.address)
			if err != nil {
				t.Fatal(err)
			}
			_ = c.Close()
		})
	}
}
