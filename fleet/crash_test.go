package fleet_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/banyanspur/banyanspur/crash"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// soleAddress is the address of a control host that is the only seed.
const soleAddress = "127.0.0.1:1"

func soleControl(disk store.Disk, dir string, allowBootstrap bool) *fleet.Control {
	return &fleet.Control{
		Address: soleAddress, Seeds: []string{soleAddress}, AllowBootstrap: allowBootstrap, Dir: dir, Disk: disk,
		Peers: &wire.Pool{}, Clock: types.NewClock(),
	}
}

// controlState is what a control host has told others, or has in its directory.
type controlState struct {
	id quorum.ReplicaID
	// former is an identity that must not be used any more.
	former       quorum.ReplicaID
	bootstrapped bool
	mayBootstrap bool
}

// restartControl starts a control host that is not allowed to bootstrap, up to the time at which
// it has read its identity, and returns its state.
func restartControl(disk store.Disk, dir string) (controlState, error) {
	var s controlState
	ended, end := context.WithCancel(context.Background())
	end()
	if err := soleControl(disk, dir, false).Run(ended); err != nil {
		return s, err
	}
	return readControl(dir)
}

func readControl(dir string) (controlState, error) {
	id, err := os.ReadFile(filepath.Join(dir, "config", "identity"))
	if err != nil {
		return controlState{}, err
	}
	s := controlState{id: quorum.ReplicaID(id)}
	_, markerErr := os.Stat(filepath.Join(dir, "founding"))
	s.bootstrapped, _, err = quorum.ReadMembers(filepath.Join(dir, "config"))
	s.mayBootstrap = markerErr == nil && !s.bootstrapped
	return s, err
}

func checkControl(acknowledged, found controlState) error {
	switch {
	case acknowledged.id != "" && found.id != acknowledged.id,
		acknowledged.former != "" && found.id == acknowledged.former,
		acknowledged.bootstrapped && (!found.bootstrapped || found.mayBootstrap):
		return errors.Newf("found %+v, acknowledged %+v", found, acknowledged)
	}
	return nil
}

// runSole runs a control host until it is a member of its group.
func runSole(disk store.Disk, dir string, allowBootstrap bool, joined func() error) error {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	control := soleControl(disk, dir, allowBootstrap)
	var g errgroup.Group
	g.Go(func() error { return control.Run(ctx) })
	err := types.Poll(ctx, time.Millisecond, func(context.Context) (bool, error) {
		s, err := readControl(dir)
		_, markerErr := os.Stat(filepath.Join(dir, "founding"))
		return err == nil && s.bootstrapped && markerErr != nil, nil
	})
	if err == nil && ctx.Err() == nil {
		err = joined()
	}
	cancel()
	return errors.CombineErrors(g.Wait(), err)
}

// TestControlSurvivesPowerLoss guards against a control host that is back after a loss of power
// under another identity, without its group, or ready to create a second one, and, after its
// files were corrupt, under the identity that it had before.
func TestControlSurvivesPowerLoss(t *testing.T) {
	s := crash.Search[controlState]{
		Dir: t.TempDir(), Check: checkControl, States: 24, ContinuedShare: 0.15,
		Open: func(disk store.Disk, root string) (controlState, error) {
			return restartControl(disk, filepath.Join(root, "data"))
		},
	}
	err := s.Run(func(disk store.Disk, root string, acknowledge func(controlState)) error {
		dir := filepath.Join(root, "data")
		var state controlState
		for _, allowBootstrap := range []bool{true, false} {
			err := runSole(disk, dir, allowBootstrap, func() (err error) {
				state, err = readControl(dir)
				acknowledge(state)
				return err
			})
			if err != nil {
				return err
			}
		}
		acknowledge(controlState{})
		if err := disk.WriteFile(filepath.Join(dir, "config"), "snapshot", []byte("damaged")); err != nil {
			return err
		}
		acknowledge(controlState{former: state.id})
		found, err := restartControl(disk, dir)
		if err == nil {
			acknowledge(controlState{id: found.id, former: state.id})
		}
		return err
	})
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d states", s.Tried())
}

// TestControlWithoutFilesIsNew guards against a control host whose files were partly lost,
// whatever the file system has done, and that is back under its identity or ready to create a
// second group.
func TestControlWithoutFilesIsNew(t *testing.T) {
	for _, c := range []struct {
		name, lost string
		earlier    bool // an earlier build has created the identity
	}{
		{"all", "config", false},
		{"snapshot", "config/snapshot", false},
		{"log", "config/log-0000000000000002", false},
		{"snapshot of an earlier build", "config/snapshot", true},
		{"log of an earlier build", "config/log-0000000000000002", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "data")
			var before controlState
			err := runSole(store.Disk{}, dir, true, func() (err error) {
				before, err = readControl(dir)
				return err
			})
			if err != nil {
				t.Fatal(err)
			}
			if c.earlier {
				before.id = soleAddress + "/0123456789abcdef01234567"
				if err := store.WriteFile(filepath.Join(dir, "config"), "identity", []byte(before.id)); err != nil {
					t.Fatal(err)
				}
			}
			if err := os.RemoveAll(filepath.Join(dir, c.lost)); err != nil {
				t.Fatal(err)
			}
			after, err := restartControl(store.Disk{}, dir)
			if err != nil || after.id == before.id || after.bootstrapped || after.mayBootstrap {
				t.Errorf("%+v, %v, before %+v; want another identity without a group", after, err, before)
			}
		})
	}
}

// TestIdentityIsToldOnceDurable guards against a group that is created with a voter that never
// exists: a host tells the seeds an identity that its disk has refused, and creates another one
// with the next attempt.
func TestIdentityIsToldOnceDurable(t *testing.T) {
	f := newFleet(t, 3)
	refused := make(chan struct{}, 1000)
	f.disk = []store.Disk{{Sync: func(file *os.File) error {
		if filepath.Base(file.Name()) != "identity.new" {
			return file.Sync()
		}
		refused <- struct{}{}
		return unix.EIO
	}}}
	f.controls[0].run()
	_, peers := f.client("entry-1")
	for range 2 { // The second attempt follows the end of the first one.
		select {
		case <-refused:
		case <-time.After(stepTimeout):
			t.Fatal("no identity was written")
		}
	}
	waitFor(t, "a connection", func() bool {
		_, err := hello(peers, f.controls[0].address)
		return err == nil || types.IsCode(err, types.CodeUnavailable)
	})
	if r, err := hello(peers, f.controls[0].address); err == nil {
		t.Errorf("told identity %s, which is not durable", r.ID)
	}
}
