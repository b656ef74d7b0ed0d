package quorum_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/crash"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// durableState is what a replica has told others, or has in its directory.
type durableState struct {
	id           quorum.ReplicaID
	bootstrapped bool
	term         quorum.Term
	last         quorum.Index
}

// readDurable opens a replica's directory and returns its state.
func readDurable(disk store.Disk, dir string) (durableState, error) {
	var s durableState
	var err error
	if s.id, err = quorum.LoadOrCreateIDOn(disk, dir, "h0"); err != nil {
		return s, err
	}
	if s.bootstrapped, _, err = quorum.ReadMembers(dir); err != nil {
		return s, err
	}
	l, r, err := disk.Open(dir)
	if err != nil {
		return s, err
	}
	for _, b := range r.Frames {
		rec, err := types.Decode[record](b)
		if err != nil {
			return s, err
		}
		if rec.Hard != nil {
			s.term = rec.Hard.Term
		}
		if n := len(rec.Entries); n > 0 {
			s.last = rec.Entries[n-1].Index
		}
	}
	return s, l.Close()
}

// checkDurable returns an error if a replica has the ID that was acknowledged and less state.
func checkDurable(acknowledged, found durableState) error {
	switch {
	case acknowledged.id == "" || found.id == acknowledged.id &&
		(found.bootstrapped || !acknowledged.bootstrapped) && found.term >= acknowledged.term && found.last >= acknowledged.last:
		return nil
	case found.id != acknowledged.id:
		return errors.Newf("identity %s, acknowledged %s: the disk counts as lost", found.id, acknowledged.id)
	}
	return errors.Newf("found %+v, acknowledged %+v", found, acknowledged)
}

// TestReplicaSurvivesPowerLoss guards against a replica that is back after a loss of power under
// its identity with less than it has acknowledged, or under another one, as if it had lost its
// disk.
func TestReplicaSurvivesPowerLoss(t *testing.T) {
	s := crash.Search[durableState]{
		Dir: t.TempDir(), Check: checkDurable, States: 16, ContinuedShare: 0.7,
		Open: func(disk store.Disk, root string) (durableState, error) {
			return readDurable(disk, filepath.Join(root, "data", "config"))
		},
	}
	err := s.Run(func(disk store.Disk, root string, acknowledge func(durableState)) error {
		dir := filepath.Join(root, "data", "config")
		id, err := quorum.LoadOrCreateIDOn(disk, dir, "h0")
		if err != nil {
			return err
		}
		state := durableState{id: id}
		acknowledge(state)
		if err := quorum.BootstrapOn(disk, dir, quorum.Members{Voters: []quorum.Member{{ID: id, Host: "h0"}}}); err != nil {
			return err
		}
		state.bootstrapped = true
		acknowledge(state)
		r := &quorum.Replica[[]byte, int]{
			Dir: dir, Disk: disk, Host: "h0", Machine: &counter{}, Clock: types.NewClock(), Send: func(quorum.Message) {},
		}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		var g errgroup.Group
		g.Go(func() error { return r.Run(ctx) })
		for range 4 {
			if err := proposeUntilDone(ctx, r); err != nil {
				return err
			}
			state.term, state.last = r.Status().Term, r.Status().Applied
			acknowledge(state)
		}
		cancel()
		return g.Wait()
	})
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d states", s.Tried())
}

// proposeUntilDone proposes a command until the replica has applied it.
func proposeUntilDone(ctx context.Context, r *quorum.Replica[[]byte, int]) error {
	return types.Poll(ctx, 10*time.Millisecond, func(ctx context.Context) (bool, error) {
		_, err := r.Propose(ctx, []byte("command"))
		return err == nil, nil
	})
}

// TestReplicaWithoutLogIsLost guards against a replica that has voted and is back under its
// identity with a log that is missing, or of which a file is missing, whatever the file system
// has done.
func TestReplicaWithoutLogIsLost(t *testing.T) {
	for _, name := range []string{"snapshot", "log-0000000000000002"} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			id, err := quorum.LoadOrCreateID(dir, "h0")
			if err != nil {
				t.Fatal(err)
			}
			if err := quorum.Bootstrap(dir, quorum.Members{Voters: []quorum.Member{{ID: id, Host: "h0"}}}); err != nil {
				t.Fatal(err)
			}
			if again, err := quorum.LoadOrCreateID(dir, "h0"); err != nil || again != id {
				t.Fatalf("identity %s, %v; want %s", again, err, id)
			}
			if err := os.Remove(filepath.Join(dir, name)); err != nil {
				t.Fatal(err)
			}
			if _, err := quorum.LoadOrCreateID(dir, "h0"); !errors.Is(err, store.ErrCorrupt) {
				t.Errorf("identity without %s: %v, want that its log is corrupt", name, err)
			}
		})
	}
}

// TestReplicaOfEarlierBuildOpens guards against a directory of an earlier build, which wrote the
// identity before the log, that counts as one that has lost its log.
func TestReplicaOfEarlierBuildOpens(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "identity"), []byte("h0/0123456789abcdef"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		s, err := readDurable(store.Disk{}, dir)
		if err != nil || s.id != "h0/0123456789abcdef" {
			t.Fatalf("%+v, %v", s, err)
		}
	}
}
