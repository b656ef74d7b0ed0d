package quorum

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

const identityFile = "identity"

// logRecord is the payload of one frame in the store.
type logRecord struct {
	Hard    *HardState `json:"hard,omitempty"`
	Entries []Entry    `json:"entries,omitempty"`
}

// LoadOrCreateID is [LoadOrCreateIDOn] of the zero [store.Disk].
func LoadOrCreateID(dir string, host types.HostID) (ReplicaID, error) {
	return LoadOrCreateIDOn(store.Disk{}, dir, host)
}

// loggedPrefix begins the random part of an ID that was stored after its log had been created,
// so that an ID without a log is one that has lost it. Earlier builds stored the ID first.
const loggedPrefix = "l-"

// LoadOrCreateIDOn returns the ID stored in a replica's directory. If there is
// none, it generates and stores one for a replica on the given host. It returns
// [store.ErrCorrupt] if the replica's log is missing, or a part of it: the replica may have
// voted, and must not do so again under its ID. [RemoveOn] removes it.
func LoadOrCreateIDOn(disk store.Disk, dir string, host types.HostID) (ReplicaID, error) {
	if err := disk.MakeDir(dir); err != nil {
		return "", err
	}
	b, err := disk.ReadFile(dir, identityFile)
	if err == nil {
		id := ReplicaID(b)
		_, random, _ := strings.Cut(string(id), "/")
		err = store.CheckLog(dir, strings.HasPrefix(random, loggedPrefix))
		return id, errors.Wrapf(err, "quorum: replica %s", id)
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", errors.Wrap(err, "quorum: read identity")
	}
	l, _, err := disk.Open(dir)
	if err != nil {
		return "", err
	}
	if err := l.Close(); err != nil {
		return "", err
	}
	id := ReplicaID(string(host) + "/" + loggedPrefix + types.RandomID())
	return id, disk.WriteFile(dir, identityFile, []byte(id))
}

// RemoveOn removes the replica in dir, whose ID is not used any more.
func RemoveOn(disk store.Disk, dir string) error { return disk.RemoveAll(dir, identityFile) }

// ReadMembers reports whether the replica in dir belongs to a group, and returns
// the group's membership as of the replica's last snapshot. A replica that joined
// the group has no snapshot, and so no membership here, until its log is compacted.
func ReadMembers(dir string) (bool, Members, error) {
	b, err := store.ReadSnapshot(dir)
	if err != nil {
		return false, Members{}, err
	}
	if b == nil {
		joined, err := store.HasFrames(dir)
		if err != nil || !joined {
			return false, Members{}, err
		}
		// BootstrapOn, which another goroutine may have called meanwhile, writes the snapshot first.
		if b, err = store.ReadSnapshot(dir); err != nil || b == nil {
			return err == nil, Members{}, err
		}
	}
	s, err := types.DecodeStored[Snapshot](b)
	return err == nil, s.Members, err
}

// Bootstrap is [BootstrapOn] of the zero [store.Disk].
func Bootstrap(dir string, members Members) error { return BootstrapOn(store.Disk{}, dir, members) }

// BootstrapOn stores the group's initial membership for the replica in dir. It
// returns an error if the replica already belongs to a group.
func BootstrapOn(disk store.Disk, dir string, members Members) error {
	l, recovered, err := disk.Open(dir)
	if err != nil {
		return err
	}
	defer l.Close()
	if recovered.Snapshot != nil || len(recovered.Frames) > 0 {
		return errors.New("quorum: the replica already belongs to a group")
	}
	return l.Reset(types.Encode(Snapshot{Members: members}), types.Encode(logRecord{Hard: &HardState{}}))
}

// openStore opens the replica's directory and restores the state machine and the
// core from it.
func (r *Replica[C, R]) openStore() error {
	id, err := LoadOrCreateIDOn(r.Disk, r.Dir, r.Host)
	var l *store.Log
	var recovered store.Recovered
	if err == nil {
		l, recovered, err = r.Disk.Open(r.Dir)
	}
	if err != nil {
		if errors.Is(err, store.ErrCorrupt) {
			r.Log.Write(event.LogCorrupt, event.Fields{"group": r.Group, "error": err.Error()})
		}
		return err
	}
	if recovered.TruncatedBytes > 0 {
		r.Log.Write(event.LogTruncated, event.Fields{"group": r.Group, "bytes": recovered.TruncatedBytes})
	}
	o, err := recoverOptions(recovered)
	if err != nil {
		return err
	}
	if err := r.restoreSnapshot(o.Snapshot); err != nil {
		return err
	}
	o.ID, o.Timing, o.Start, o.Rand = id, r.Timing, r.Clock(), newRand()
	r.core = NewCore(o)
	r.durableHard, r.logBytes, r.snapshotBytes = o.HardState, l.Size(), int64(len(recovered.Snapshot))
	r.writer = startWriter(l, r.Clock)
	r.publishStatus()
	return nil
}

// recoverOptions rebuilds the core's initial state from the stored snapshot and
// frames.
func recoverOptions(recovered store.Recovered) (Options, error) {
	var o Options
	if recovered.Snapshot != nil {
		s, err := types.DecodeStored[Snapshot](recovered.Snapshot)
		if err != nil {
			return o, err
		}
		o.Snapshot = s
	}
	for _, frame := range recovered.Frames {
		rec, err := types.DecodeStored[logRecord](frame)
		if err != nil {
			return o, errors.Mark(err, store.ErrCorrupt)
		}
		if rec.Hard != nil {
			o.HardState = *rec.Hard
		}
		if o.Entries, err = mergeEntries(o.Entries, rec.Entries, o.Snapshot.Index); err != nil {
			return o, err
		}
	}
	// The first write after a snapshot of the leader may have failed. Entries of an earlier
	// term than the snapshot's do not follow it, and would make the log end with a term that
	// is too low.
	if len(o.Entries) > 0 && o.Entries[0].Term < o.Snapshot.Term {
		o.Entries = nil
	}
	return o, nil
}

// mergeEntries returns log with the entries of one record added. From their first
// index on, they replace the entries of earlier records. Entries up to base, the
// index of the snapshot, are skipped.
func mergeEntries(log, entries []Entry, base Index) ([]Entry, error) {
	for i, e := range entries {
		if e.Index <= base {
			continue
		}
		keep := int(e.Index - base - 1)
		if keep > len(log) {
			return nil, errors.Wrapf(store.ErrCorrupt, "gap in the log: entry %d follows entry %d", e.Index, int(base)+len(log))
		}
		return append(log[:keep], entries[i:]...), nil
	}
	return log, nil
}

// restoreSnapshot restores the state machine from s, if s has any data.
func (r *Replica[C, R]) restoreSnapshot(s Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = s.Index
	if s.Data == nil {
		return nil
	}
	return r.Machine.Restore(s.Data)
}
