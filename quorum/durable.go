package quorum

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

const identityName = "identity"

// record is the content of one frame of the log.
type record struct {
	Hard    *HardState `json:"hard,omitempty"`
	Entries []Entry    `json:"entries,omitempty"`
}

// Identity returns the identity kept in a replica's folder, and makes a new one
// if the folder holds none.
func Identity(dir string, host types.HostID) (ReplicaID, error) {
	b, err := os.ReadFile(filepath.Join(dir, identityName))
	if err == nil {
		return ReplicaID(b), nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", errors.Wrap(err, "quorum: read identity")
	}
	id := NewReplicaID(host)
	return id, store.WriteFile(dir, identityName, []byte(id))
}

// Formed reports whether the replica in dir belongs to a group already.
func Formed(dir string) (bool, Members, error) {
	b, err := store.ReadSnapshot(dir)
	if err != nil || b == nil {
		return false, Members{}, err
	}
	s, err := types.Decode[Snapshot](b)
	return err == nil, s.Members, err
}

// Form makes the replica in dir, which must not belong to a group, a founding
// member of one.
func Form(dir string, members Members) error {
	l, found, err := store.Open(dir)
	if err != nil {
		return err
	}
	defer l.Close()
	if found.Snapshot != nil {
		return errors.New("quorum: the replica belongs to a group already")
	}
	return l.Reset(types.Encode(Snapshot{Members: members}), types.Encode(record{Hard: &HardState{}}))
}

func (r *Replica[C, R]) open() error {
	id, err := Identity(r.Dir, r.Host)
	if err != nil {
		return err
	}
	l, found, err := store.Open(r.Dir)
	if err != nil {
		if errors.Is(err, store.ErrCorrupt) {
			r.Log.Write(event.StoreCorrupt, event.Fields{"group": r.Group, "error": err.Error()})
		}
		return err
	}
	if found.Cut > 0 {
		r.Log.Write(event.TailCut, event.Fields{"group": r.Group, "bytes": found.Cut})
	}
	o, err := replay(found)
	if err != nil {
		return err
	}
	if err := r.restore(o.Snapshot); err != nil {
		return err
	}
	o.ID, o.Timing, o.Start, o.Rand = id, r.Timing, r.Clock(), seedRand()
	r.store = l
	r.core = NewCore(o)
	r.snapSize = int64(len(found.Snapshot))
	r.publish()
	return nil
}

// replay rebuilds what the core starts from out of snapshot and frames.
func replay(found store.Recovered) (Options, error) {
	var o Options
	if found.Snapshot != nil {
		s, err := types.Decode[Snapshot](found.Snapshot)
		if err != nil {
			return o, err
		}
		o.Snapshot = s
	}
	for _, frame := range found.Frames {
		rec, err := types.Decode[record](frame)
		if err != nil {
			return o, errors.Mark(err, store.ErrCorrupt)
		}
		if rec.Hard != nil {
			o.HardState = *rec.Hard
		}
		if o.Entries, err = mergeRecord(o.Entries, rec.Entries, o.Snapshot.Index); err != nil {
			return o, err
		}
	}
	return o, nil
}

// mergeRecord adds the entries of one record, which replace earlier ones of
// the same indices on. Entries that the snapshot covers are skipped.
func mergeRecord(log, entries []Entry, base Index) ([]Entry, error) {
	for i, e := range entries {
		if e.Index <= base {
			continue
		}
		keep := int(e.Index - base - 1)
		if keep > len(log) {
			return nil, errors.Wrapf(store.ErrCorrupt, "entry %d follows entry %d", e.Index, int(base)+len(log))
		}
		return append(log[:keep], entries[i:]...), nil
	}
	return log, nil
}

func (r *Replica[C, R]) restore(s Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = s.Index
	if s.Data == nil {
		return nil
	}
	return r.Machine.Restore(s.Data)
}

func (r *Replica[C, R]) persist(out Output) error {
	if out.HardState == nil && len(out.Entries) == 0 {
		return nil
	}
	return r.store.Append(types.Encode(record{Hard: out.HardState, Entries: out.Entries}))
}

// install replaces log and state by a snapshot from the leader.
func (r *Replica[C, R]) install(s Snapshot) error {
	hard := r.core.HardState()
	b := types.Encode(s)
	if err := r.store.Reset(b, types.Encode(record{Hard: &hard})); err != nil {
		return err
	}
	r.snapSize = int64(len(b))
	r.Log.Write(event.SnapshotInstalled, event.Fields{"group": r.Group, "index": s.Index})
	return r.restore(s)
}

// compact writes a snapshot once the log has grown larger than the last one,
// so that the cost of snapshots stays in proportion to that of the log.
func (r *Replica[C, R]) compact() error {
	if r.store.Size() < max(minCompactBytes, r.snapSize) || r.applied == 0 {
		return nil
	}
	s := r.core.SnapshotAt(r.applied)
	s.Data = r.Machine.Snapshot()
	rest := r.core.Compact(s)
	hard := r.core.HardState()
	b := types.Encode(s)
	if err := r.store.Reset(b, types.Encode(record{Hard: &hard, Entries: rest})); err != nil {
		return err
	}
	r.snapSize = int64(len(b))
	r.Log.Write(event.SnapshotWritten, event.Fields{"group": r.Group, "index": s.Index, "bytes": len(b)})
	return nil
}
