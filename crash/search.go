package crash

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/store"
)

// Search runs a history of operations and looks for states after a loss of power, or after a
// process was killed, in which something is missing that was acknowledged before. S describes
// what is acknowledged, or what was found. Set the exported fields, then call [Search.Run].
type Search[S any] struct {
	// Dir is a directory for the histories and the states. No other use may be made of it.
	Dir string
	// Open opens what root contains, as a new process does, and returns what it finds. It must
	// close all files. It is called for each state.
	Open func(disk store.Disk, root string) (S, error)
	// Check returns an error if found lacks something of acknowledged.
	Check func(acknowledged, found S) error
	// States bounds the states that are tried after each operation. The default is 64.
	States int
	// ContinuedShare is the part of the states that are continued, selected at random: the
	// operations of the process that opens them are followed as well. These are states after
	// a loss of power and those after the process was killed while something was not durable.
	ContinuedShare float64
	// Rand selects states if there are too many.
	Rand *rand.Rand

	tried int
	dirs  int
	err   error // the first one
}

const defaultStates = 64

// Run calls history with a disk and a directory. history calls acknowledge whenever it has
// acknowledged more; no operation may be under way at that time. After each operation, and
// each time that more is acknowledged, Run tries the states that a loss of power may leave.
func (s *Search[S]) Run(history func(disk store.Disk, root string, acknowledge func(S)) error) error {
	if s.Rand == nil {
		s.Rand = rand.New(rand.NewPCG(1, 1))
	}
	if s.States == 0 {
		s.States = defaultStates
	}
	root := s.newDir()
	m := &Model{Root: root}
	if err := m.Load(); err != nil {
		return err
	}
	var zero S
	f := &follower[S]{search: s, model: m, acknowledged: zero, depth: 1}
	err := history(f.disk(), root, f.acknowledge)
	return errors.CombineErrors(errors.CombineErrors(s.err, m.Err()), err)
}

// Tried returns the number of states that were tried, once Run has returned.
func (s *Search[S]) Tried() int { return s.tried }

func (s *Search[S]) newDir() string {
	s.dirs++
	return filepath.Join(s.Dir, strconv.Itoa(s.dirs))
}

// follower tries the states after the operations of one process.
type follower[S any] struct {
	mu           sync.Mutex // held while the states after an operation are tried
	search       *Search[S]
	model        *Model
	acknowledged S
	depth        int // how many more processes may follow this one
	last         store.Op
}

func (f *follower[S]) disk() store.Disk {
	return store.Disk{Sync: noSync, Observe: func(op store.Op) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.model.Observe(op)
		f.last = op
		f.try()
	}}
}

// noSync leaves out the sync itself, since the model alone decides about what is durable.
func noSync(*os.File) error { return nil }

func (f *follower[S]) acknowledge(acknowledged S) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acknowledged = acknowledged
	f.try()
}

// try opens the states that a loss of power may leave now, and continues some of them. The
// caller must hold mu.
func (f *follower[S]) try() {
	s := f.search
	limit := s.States
	if f.depth == 0 {
		limit = max(limit/8, 4)
	}
	states := f.model.States(s.Rand, limit)
	for _, fate := range states {
		if s.err != nil {
			return
		}
		f.tryState(fate, f.isContinued())
	}
	writes, names := f.model.Pending()
	if writes+names > 0 && s.err == nil && f.isContinued() {
		f.continueKilled()
	}
}

// isContinued reports, at random, whether the operations of the next process are followed.
func (f *follower[S]) isContinued() bool {
	return f.depth > 0 && f.search.Rand.Float64() < f.search.ContinuedShare
}

// tryState opens one state, and follows the operations of the process that opens it if
// restarted is set.
func (f *follower[S]) tryState(fate func(bool) Fate, restarted bool) {
	s := f.search
	dir := s.newDir()
	defer os.RemoveAll(dir)
	s.tried++
	if err := f.model.LosePower(dir, fate); err != nil {
		s.err = err
		return
	}
	model, disk := &Model{Root: dir}, store.Disk{Sync: noSync}
	next := &follower[S]{search: s, model: model, acknowledged: f.acknowledged}
	if restarted {
		if err := model.Load(); err != nil {
			s.err = err
			return
		}
		disk = next.disk()
	}
	f.open(next, disk, dir, restarted, "a loss of power")
}

// continueKilled opens the directory as it is, as the process does that follows a killed one.
func (f *follower[S]) continueKilled() {
	s := f.search
	dir := s.newDir()
	defer os.RemoveAll(dir)
	model, err := f.model.Clone(dir)
	if err != nil {
		s.err = err
		return
	}
	next := &follower[S]{search: s, model: model, acknowledged: f.acknowledged}
	f.open(next, next.disk(), dir, true, "a kill")
}

// open opens a directory and compares what it has with what is acknowledged. What a process
// has found it may also tell others.
func (f *follower[S]) open(next *follower[S], disk store.Disk, dir string, followed bool, fault string) {
	s := f.search
	found, err := s.Open(disk, dir)
	if err == nil {
		err = s.Check(f.acknowledged, found)
	}
	if err != nil {
		if s.err == nil {
			s.err = errors.Wrapf(err, "crash: %s after %s %s: %sstate", fault, f.last.Kind, f.last.Path, f.model)
		}
		return
	}
	if followed && s.err == nil {
		next.acknowledge(found)
		if err := next.model.Err(); err != nil && s.err == nil {
			s.err = err
		}
	}
}
