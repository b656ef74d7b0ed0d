package host_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/fakes"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// TestIdentitiesCreatedOnce queries the replicas of a starting control host many
// times concurrently. All replies must contain the same identities; a host that
// created them in each query would reply with different ones.
func TestIdentitiesCreatedOnce(t *testing.T) {
	for range 20 {
		list := []config.ControlHost{{Host: "control-0", Address: fakes.FreeAddresses(1)[0]}}
		settings := config.Settings{
			Host: "control-0", Zone: "z", Roles: []config.Role{config.RoleControl}, Groups: 4,
			DataDir: t.TempDir(), PeerListen: list[0].Address, Control: list,
		}
		ctx, cancel := context.WithCancel(t.Context())
		g, ctx := errgroup.WithContext(ctx)
		p := &host.Process{Settings: settings, Secret: "a-secret-of-this-test"}
		link := &wire.Link{Address: list[0].Address, Secret: "a-secret-of-this-test"}
		g.Go(func() error { return p.Run(ctx) })
		g.Go(func() error { return link.Run(ctx) })
		replies := make([]map[types.GroupID]string, 16)
		var queries errgroup.Group
		for i := range replies {
			queries.Go(func() error {
				for {
					r, err := wire.Call[ctrl.GroupsRequest, ctrl.GroupsReply](ctx, link, ctrl.KindGroups, ctrl.GroupsRequest{})
					if err != nil {
						continue
					}
					replies[i] = map[types.GroupID]string{}
					for id, replica := range r.Groups {
						replies[i][id] = string(replica.ID)
					}
					return nil
				}
			})
		}
		_ = queries.Wait()
		cancel()
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
		for _, r := range replies[1:] {
			if diff := cmp.Diff(replies[0], r); diff != "" {
				t.Fatalf("(-first +other):\n%s", diff)
			}
		}
	}
}
