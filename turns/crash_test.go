package turns_test

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/banyanspur/banyanspur/crash"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// storeState is what a store has acknowledged, or has in its directory.
type storeState struct {
	id turns.StoreID
	// former is an ID that must not be used any more.
	former turns.StoreID
	turns  []turns.TurnID
}

// journalRecord is a record of a store's journal.
type journalRecord struct {
	Turn    *turns.Turn    `json:"turn,omitempty"`
	Program *turns.Program `json:"program,omitempty"`
}

// reopenStore opens a store as a new process does, and returns its ID and the turns and the
// settled claims that its journal has then. The claim of a turn has the ID of the turn.
func reopenStore(disk store.Disk, dir string) (storeState, error) {
	s := &turns.Store{Dir: dir, Disk: disk, Clock: types.NewClock()}
	id, err := s.Open()
	if err != nil {
		return storeState{}, err
	}
	ended, end := context.WithCancel(context.Background())
	end()
	if err := s.Run(ended); err != nil { // Closes the journal.
		return storeState{}, err
	}
	found, claims := storeState{id: id}, map[turns.TurnID]bool{}
	j, err := disk.OpenJournalOf(store.JournalOwner{ID: string(id)}, filepath.Join(dir, "journal"), func(_ store.Location, b []byte) error {
		r, err := types.Decode[journalRecord](b)
		if r.Turn != nil {
			found.turns = append(found.turns, r.Turn.ID)
		}
		if r.Program != nil {
			for _, c := range r.Program.Claims {
				claims[turns.TurnID(c.Attempt)] = c.Settled
			}
		}
		return err
	})
	if err != nil {
		return found, err
	}
	found.turns = slices.DeleteFunc(found.turns, func(t turns.TurnID) bool { return !claims[t] })
	return found, j.Close()
}

func checkStore(acknowledged, found storeState) error {
	missing := slices.ContainsFunc(acknowledged.turns, func(t turns.TurnID) bool { return !slices.Contains(found.turns, t) })
	if missing || acknowledged.id != "" && found.id != acknowledged.id || acknowledged.former != "" && found.id == acknowledged.former {
		return errors.Newf("found %+v, acknowledged %+v", found, acknowledged)
	}
	return nil
}

// newSoleStore runs a store in a directory, the only one of its shards, in virtual time.
func newSoleStore(t *testing.T, disk store.Disk, dir string) *cluster {
	t.Helper()
	c := &cluster{t: t, peers: newPeers(), virtual: true}
	startCluster(c, 0)
	s := &testStore{dir: dir, disk: disk}
	c.startStore(s)
	c.stores = append(c.stores, s)
	m := &turns.Map{Members: map[turns.StoreID]turns.Member{s.id: c.member(0)}}
	for range turns.ShardCount {
		m.Shards = append(m.Shards, turns.Placement{Epoch: 1, Current: []turns.StoreID{s.id}})
	}
	c.setMap(m)
	c.setRetention(time.Minute)
	return c
}

// TestStoreSurvivesPowerLoss guards against a store that is back after a loss of power under its
// ID without a turn or a claim that it has acknowledged, or under another ID, as if it had lost
// its disk; also while it removes expired turns, and, after its files were corrupt, under the ID
// that it had before.
func TestStoreSurvivesPowerLoss(t *testing.T) {
	s := crash.Search[storeState]{
		Dir: t.TempDir(), Check: checkStore, States: 6, ContinuedShare: 0.06,
		Open: func(disk store.Disk, root string) (storeState, error) {
			return reopenStore(disk, filepath.Join(root, "data", "turns"))
		},
	}
	err := s.Run(func(disk store.Disk, root string, acknowledge func(storeState)) error {
		dir := filepath.Join(root, "data", "turns")
		c := newSoleStore(t, disk, dir)
		state := storeState{id: c.stores[0].id}
		acknowledge(state)
		write := func(ids ...turns.TurnID) {
			for _, id := range ids {
				writeTurn(t, c.client(), "choir", types.ProgramID(id), id, "")
				state.turns = append(slices.Clone(state.turns), id)
				acknowledge(state)
			}
		}
		write("one", "two")
		c.advance(time.Minute)
		write("three")
		state.turns = state.turns[2:] // They expire, and their segment is removed.
		acknowledge(state)
		c.advance(time.Minute)
		write("four")
		c.stores[0].shutDown()
		c.restartStore(0)
		write("five")
		c.stores[0].shutDown()
		acknowledge(storeState{})
		if err := disk.WriteFile(filepath.Join(dir, "journal"), "segments", []byte("damaged")); err != nil {
			return err
		}
		acknowledge(storeState{former: state.id})
		found, err := reopenStore(disk, dir)
		if err == nil {
			acknowledge(storeState{id: found.id, former: state.id})
		}
		return err
	})
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d states", s.Tried())
}

// TestCorruptStoreOfEarlierBuildIsRemoved guards against a store that is back under its ID after a
// loss of power, with a part of its journal, which was being removed since it was corrupt. The
// journal of an earlier build does not tell that segments are missing.
func TestCorruptStoreOfEarlierBuildIsRemoved(t *testing.T) {
	const id = "0123456789abcdef01234567"
	s := crash.Search[storeState]{
		Dir: t.TempDir(), Check: checkStore, States: 8, ContinuedShare: 0.05,
		Open: func(disk store.Disk, root string) (storeState, error) {
			return reopenStore(disk, filepath.Join(root, "turns"))
		},
	}
	err := s.Run(func(disk store.Disk, root string, acknowledge func(storeState)) error {
		dir := filepath.Join(root, "turns")
		journal := filepath.Join(dir, "journal")
		j, err := disk.OpenJournal(journal, nil)
		if err != nil {
			return err
		}
		for range 2 {
			for range 2 {
				if _, err := j.Append([][]byte{types.Encode(journalRecord{Turn: &turns.Turn{ID: "one"}})}); err != nil {
					return err
				}
			}
			if err := j.Rotate(); err != nil {
				return err
			}
		}
		segment := filepath.Join(journal, "log-0000000000000001")
		b, err := os.ReadFile(segment)
		if err != nil {
			return err
		}
		b[30] ^= 1
		err = errors.CombineErrors(j.Close(), disk.RemoveFile(filepath.Join(journal, "segments")))
		err = errors.CombineErrors(err, disk.WriteFile(journal, filepath.Base(segment), b))
		if err = errors.CombineErrors(err, disk.WriteFile(dir, "identity", []byte(id))); err != nil {
			return err
		}
		acknowledge(storeState{former: id})
		_, err = reopenStore(disk, dir)
		return err
	})
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d states", s.Tried())
}

// TestStoreWithoutJournalIsNew guards against a store that is back under its ID without its
// journal, or a part of it, whatever the file system has done: it would answer that turns do not
// exist which it has acknowledged.
func TestStoreWithoutJournalIsNew(t *testing.T) {
	for _, lost := range []string{"journal", "journal/log-0000000000000001", "journal/segments"} {
		t.Run(lost, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "turns")
			c := newSoleStore(t, store.Disk{}, dir)
			writeTurn(t, c.client(), "choir", "p", "one", "")
			c.stores[0].shutDown()
			if s, err := reopenStore(store.Disk{}, dir); err != nil || s.id != c.stores[0].id || len(s.turns) != 1 {
				t.Fatalf("%+v, %v before the loss", s, err)
			}
			if err := os.RemoveAll(filepath.Join(dir, lost)); err != nil {
				t.Fatal(err)
			}
			if s, err := reopenStore(store.Disk{}, dir); err != nil || s.id == c.stores[0].id {
				t.Errorf("%+v, %v; want another ID than %s", s, err, c.stores[0].id)
			}
		})
	}
}

// TestStoreOfEarlierBuildOpens guards against a directory of an earlier build, whose journal has
// no list of segments, that counts as a lost disk.
func TestStoreOfEarlierBuildOpens(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "turns")
	c := newSoleStore(t, store.Disk{}, dir)
	writeTurn(t, c.client(), "choir", "p", "one", "")
	c.stores[0].shutDown()
	if err := os.Remove(filepath.Join(dir, "journal", "segments")); err != nil {
		t.Fatal(err)
	}
	const id = "0123456789abcdef01234567"
	for name, b := range map[string][]byte{"identity": []byte(id), "journal/log-0000000000000002": nil} {
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, turn := range []turns.TurnID{"two", "three"} {
		c := newSoleStore(t, store.Disk{}, dir)
		writeTurn(t, c.client(), "choir", types.ProgramID(turn), turn, "")
		c.stores[0].shutDown()
	}
	s, err := reopenStore(store.Disk{}, dir)
	if err != nil || s.id != id || len(s.turns) != 3 {
		t.Errorf("%+v, %v; want three turns of %s", s, err, id)
	}
}

// TestStoreOpensOnFullDisk guards against a store that does not start, and serves no reads, while
// its disk refuses writes.
func TestStoreOpensOnFullDisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "turns")
	c := newSoleStore(t, store.Disk{}, dir)
	writeTurn(t, c.client(), "choir", "p", "one", "")
	c.stores[0].shutDown()
	full := store.Disk{Write: func(*os.File, []byte) (int, error) { return 0, unix.ENOSPC }}
	c = newSoleStore(t, full, dir)
	c.requireChain("one", []turns.TurnID{"one"})
}

// TestMissingJournalIsNotCreatedForEarlierID guards against a store of an earlier build that has
// lost its journal, and keeps its ID if the process ends while it opens the directory.
func TestMissingJournalIsNotCreatedForEarlierID(t *testing.T) {
	const former = "0123456789abcdef01234567"
	s := crash.Search[storeState]{
		Dir: t.TempDir(), Check: checkStore,
		Open: func(disk store.Disk, root string) (storeState, error) {
			return reopenStore(disk, filepath.Join(root, "turns"))
		},
	}
	err := s.Run(func(disk store.Disk, root string, acknowledge func(storeState)) error {
		dir := filepath.Join(root, "turns")
		if err := disk.WriteFile(dir, "identity", []byte(former)); err != nil {
			return err
		}
		acknowledge(storeState{former: former})
		_, err := reopenStore(disk, dir)
		return err
	})
	if err != nil {
		t.Error(err)
	}
}
