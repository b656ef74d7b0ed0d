package store

import (
	"path/filepath"
	"sync"
)

// RememberingSyncs returns a disk like d that does not sync a directory again to make a name
// durable that it finds there, if it has synced the directory since it last changed a name in it.
// Names that earlier processes have left there are durable then. Without it, each step of a start
// would sync the same directories, which takes long on slow disks. Each process that uses a
// directory needs a disk of its own.
func (d Disk) RememberingSyncs() Disk {
	d.synced = &syncedDirs{dirs: map[string]dirState{}}
	return d
}

// syncedDirs records the directories in which all names are durable. A nil syncedDirs records
// nothing. It is safe for concurrent use.
type syncedDirs struct {
	mu   sync.Mutex
	dirs map[string]dirState
}

type dirState struct {
	// changes counts the changes of names, before and after each, so that a sync beside one of
	// them does not count.
	changes int
	synced  bool // since the last change
}

// change records that a name in dir is about to be changed, or was.
func (s *syncedDirs) change(dir string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	dir = filepath.Clean(dir)
	s.dirs[dir] = dirState{changes: s.dirs[dir].changes + 1}
}

// changesOf returns the number of changes so far, for record.
func (s *syncedDirs) changesOf(dir string) int {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dirs[filepath.Clean(dir)].changes
}

// record records a sync of dir that has begun after the given number of changes.
func (s *syncedDirs) record(dir string, changes int) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	dir = filepath.Clean(dir)
	if s.dirs[dir].changes != changes {
		return
	}
	s.dirs[dir] = dirState{changes: changes, synced: true}
}

// has reports whether all names in dir are durable.
func (s *syncedDirs) has(dir string) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dirs[filepath.Clean(dir)].synced
}

// syncFoundDir makes the names durable that were found in a directory.
func (d Disk) syncFoundDir(dir string) error {
	if d.synced.has(dir) {
		return nil
	}
	return d.syncDir(dir)
}

// changesName reports whether the operation changes a name in the directory of its path.
func (o Op) changesName() bool {
	return o.Kind == OpMkdir || o.Kind == OpCreate || o.Kind == OpRename || o.Kind == OpRemove
}
