package fleet

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

const (
	// bootstrapInterval is the pause between rounds of hello requests to the
	// seeds.
	bootstrapInterval = 100 * time.Millisecond
	// helloTimeout bounds one hello request.
	helloTimeout = 500 * time.Millisecond
	// bootstrapMarker is the name of a file in data directories that were created
	// when all hosts started for the first time. A host without this file never
	// bootstraps a group.
	bootstrapMarker = "founding"
)

// awaitIdentity reads or creates the replica's identity. If all hosts are starting for the
// first time, it waits until the disk accepts the identity and the marker: the process that
// replaces this one is not told that it may bootstrap, and without this host, if it is a
// seed, the group is never created.
func (c *Control) awaitIdentity(ctx context.Context) error {
	logged := false
	return types.Poll(ctx, bootstrapInterval, func(context.Context) (bool, error) {
		err := c.loadIdentity()
		if err == nil || !c.AllowBootstrap {
			return err == nil, err
		}
		if !logged {
			c.Log.Write(event.DiskIOFailed, event.Fields{"path": c.Dir, "error": err.Error(), "step": "identity"})
			logged = true
		}
		return false, nil
	})
}

// loadIdentity reads the replica's identity, or creates it on the first start.
// If the replica's state is corrupt or a part of it is missing, loadIdentity deletes it, so that
// the replica joins the group under a new identity.
func (c *Control) loadIdentity() error {
	if _, err := os.Stat(c.dir()); errors.Is(err, os.ErrNotExist) && c.AllowBootstrap {
		if err := c.Disk.WriteFile(c.Dir, bootstrapMarker, []byte{1}); err != nil {
			return err
		}
	}
	id, err := c.readIdentity()
	if errors.Is(err, store.ErrCorrupt) {
		c.Log.Write(event.LogCorrupt, event.Fields{"folder": c.dir(), "error": err.Error()})
		if err := c.removeMarker(); err != nil { // What is removed may have been a group of this host.
			return err
		}
		if err := quorum.RemoveOn(c.Disk, c.dir()); err != nil {
			return errors.Wrap(err, "fleet: delete the corrupt replica")
		}
		id, err = c.readIdentity()
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.id = id
	c.mu.Unlock()
	return nil
}

func (c *Control) readIdentity() (quorum.ReplicaID, error) {
	if _, _, err := quorum.ReadMembers(c.dir()); err != nil {
		return "", err
	}
	return quorum.LoadOrCreateIDOn(c.Disk, c.dir(), types.HostID(c.Address))
}

// removeMarker makes sure that this host does not bootstrap a group any more.
func (c *Control) removeMarker() error {
	return c.Disk.RemoveFile(filepath.Join(c.Dir, bootstrapMarker))
}

func (c *Control) mayBootstrap() bool {
	_, err := os.Stat(filepath.Join(c.Dir, bootstrapMarker))
	return err == nil
}

// hello describes this host's replica. It fails until the replica's identity
// has been loaded.
func (c *Control) hello(context.Context, HelloRequest) (HelloReply, error) {
	c.mu.Lock()
	id := c.id
	c.mu.Unlock()
	if id == "" {
		return HelloReply{}, types.NewFault(types.CodeUnavailable, "the host has not loaded its replica's identity yet")
	}
	bootstrapped, members, err := quorum.ReadMembers(c.dir())
	if s := c.replica.Status(); len(s.Members.Voters) > 0 {
		members = s.Members
	}
	return HelloReply{ID: id, MayBootstrap: c.mayBootstrap(), Bootstrapped: bootstrapped, Members: members, Commands: ownCommandSet}, err
}

// bootstrap waits until this host's replica is a member of the group, or until
// it is certain that the group exists without this replica, which must then
// join as a learner.
//
// The group is created only once, with the seeds as its voters. The seed with
// the lowest address creates it as soon as every seed reports that it belongs
// to no group and that all hosts are starting for the first time. A replica
// that finds an existing group without itself never creates another.
//
// Once the group exists, the marker is removed, before this replica acknowledges anything: if
// all seeds lost their configuration and kept their markers, they would create a second group.
func (c *Control) bootstrap(ctx context.Context) error {
	if err := types.Poll(ctx, bootstrapInterval, c.tryBootstrap); err != nil || ctx.Err() != nil {
		return err
	}
	return c.removeMarker()
}

// tryBootstrap queries all seeds once. It reports whether bootstrapping is
// complete.
func (c *Control) tryBootstrap(ctx context.Context) (done bool, err error) {
	bootstrapped, _, err := quorum.ReadMembers(c.dir())
	if bootstrapped || err != nil {
		return bootstrapped, err
	}
	initialMembers := quorum.Members{}
	allReady := true
	seeds := c.bootstrapSeeds()
	for _, seed := range seeds {
		r, err := c.sendHello(ctx, seed)
		switch {
		case err != nil:
			allReady = false
		case r.Bootstrapped && r.Members.IsVoter(c.id):
			return true, quorum.BootstrapOn(c.Disk, c.dir(), r.Members)
		case r.Bootstrapped:
			return true, nil
		}
		allReady = allReady && r.MayBootstrap
		initialMembers.Voters = append(initialMembers.Voters, quorum.Member{ID: r.ID, Host: types.HostID(seed)})
	}
	if !allReady || c.Address != slices.Min(seeds) {
		return false, nil
	}
	slices.SortFunc(initialMembers.Voters, func(a, b quorum.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	c.Log.Write(event.GroupBootstrapped, event.Fields{"group": types.ConfigGroup, "voters": len(initialMembers.Voters)})
	return true, quorum.BootstrapOn(c.Disk, c.dir(), initialMembers)
}

func (c *Control) sendHello(ctx context.Context, address string) (HelloReply, error) {
	if address == c.Address {
		return c.hello(ctx, HelloRequest{})
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	link := c.Peers.Link(address)
	if !link.WaitConnected(ctx) {
		return HelloReply{}, types.NewFault(types.CodeUnavailable, "no connection to %s", address)
	}
	return wire.Call[HelloRequest, HelloReply](ctx, link, KindHello, HelloRequest{})
}
