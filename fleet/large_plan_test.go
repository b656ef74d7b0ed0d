package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// TestLargePlans guards against a plan that is committed and then too large for a message to
// the hosts that lack it: it must be refused. The largest one that is allowed reaches a
// control host that joins later.
func TestLargePlans(t *testing.T) {
	f := newFleet(t, 3)
	f.runAll()
	c, peers := f.client("entry-1")
	f.waitForVoters(peers, 3, f.controls...)
	put := func(version types.Version, size int) error {
		req := planRequest(version, "choir")
		req.Document.Body = make([]byte, size)
		ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
		defer cancel()
		for { // As an operator does: an order without a clear response is sent again.
			_, err := c.Put(ctx, req)
			if !types.IsCode(err, types.CodeUnavailable) || !types.Sleep(ctx, 100*time.Millisecond) {
				return err
			}
		}
	}
	if err := put(1, 15<<20); err != nil {
		t.Fatal(err)
	}
	if err := put(2, 16<<20); !types.IsCode(err, types.CodePayloadTooLarge) {
		t.Errorf("a plan beyond the limit: %v", err)
	}
	joined := f.addControl()
	joined.run()
	f.waitForVoters(peers, 4, joined)
	reply, err := c.Read(t.Context())
	if err != nil || reply.Version != 1 || len(reply.Body) != 15<<20 {
		t.Errorf("version %d with %d bytes is read back, %v", reply.Version, len(reply.Body), err)
	}
}
