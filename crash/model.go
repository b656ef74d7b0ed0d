package crash

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/store"
)

// Model is the state of a directory and of all below it, with what is durable and what is
// not. Set Root, and use [Model.Observe] as [store.Disk.Observe]. The methods are safe for
// concurrent use.
type Model struct {
	// Root is the directory. It is durable itself. Operations outside of it are ignored.
	Root string

	mu   sync.Mutex
	root *node
	err  error // of the first operation that does not fit the state
	// observedUntil is the time until which only operations that the model has observed changed files. It is zero if that
	// is not known.
	observedUntil time.Time
}

// node is a file or a directory.
type node struct {
	isDir bool

	// content of a file is what its last sync covered, writes are those since then, in order,
	// and size is its size with all of them.
	content []byte
	writes  []*write
	size    int64

	// names of a directory are those that its last sync covered, changes are those since then,
	// in order, and current are its names with all of them.
	names, current map[string]*node
	changes        []*change
}

// write is an append to a file, or a truncation if data is nil.
type write struct {
	at   int64 // offset, or the new size
	data []byte
	fate Fate
}

// change is a change of the names in a directory. It sets name to target, which is nil if the
// name was removed, and removes from, unless that is empty.
type change struct {
	name, from string
	target     *node
	fate       Fate
}

// Fate is what a loss of power does to a write or to a name that is not durable.
type Fate int

// The fates of a write or a name.
const (
	Lost Fate = iota
	Kept
	// Torn keeps a part of a write, half of its bytes. Names are not torn.
	Torn
)

func newDir() *node {
	return &node{isDir: true, names: map[string]*node{}, current: map[string]*node{}}
}

// tree returns the root. The caller must hold mu.
func (m *Model) tree() *node {
	if m.root == nil {
		m.root = newDir()
	}
	return m.root
}

// Err returns an error if an operation did not fit the state: the directory has been changed by
// other means.
func (m *Model) Err() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}

// Observe records an operation.
func (m *Model) Observe(op store.Op) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.apply(op); err != nil && m.err == nil {
		m.err = errors.Wrapf(err, "crash: %s %s", op.Kind, op.Path)
	}
}

var errNoEntry = errors.New("no such file or directory")

// find returns the directory that holds a path, the last element of the path and what it names
// now, or nil. It returns no directory if the path is outside of the root.
func (m *Model) find(path string) (dir *node, name string, n *node, err error) {
	rel, err := filepath.Rel(m.Root, path)
	if err != nil || !filepath.IsLocal(rel) {
		return nil, "", nil, nil
	}
	if rel == "." {
		return nil, "", m.tree(), nil
	}
	dir = m.tree()
	for _, element := range splitPath(filepath.Dir(rel)) {
		dir = dir.current[element]
		if dir == nil || !dir.isDir {
			return nil, "", nil, errNoEntry
		}
	}
	name = filepath.Base(rel)
	return dir, name, dir.current[name], nil
}

// splitPath returns the elements of a relative path.
func splitPath(path string) []string {
	if path == "." {
		return nil
	}
	return append(splitPath(filepath.Dir(path)), filepath.Base(path))
}

func (m *Model) apply(op store.Op) error {
	dir, name, n, err := m.find(op.Path)
	if err != nil || dir == nil && n == nil {
		return err
	}
	switch op.Kind {
	case store.OpMkdir, store.OpCreate:
		if n == nil {
			n = &node{}
			if op.Kind == store.OpMkdir {
				n = newDir()
			}
			dir.change(&change{name: name, target: n})
		} else if !n.isDir {
			n.truncate(0)
		}
		return nil
	case store.OpRename:
		to, toName, _, err := m.find(op.To)
		if err != nil || n == nil || to != dir {
			return errors.CombineErrors(err, errNoEntry)
		}
		dir.change(&change{name: toName, from: name, target: n})
		return nil
	}
	if n == nil {
		return errNoEntry
	}
	switch op.Kind {
	case store.OpAppend:
		n.writes = append(n.writes, &write{at: n.size, data: slices.Clone(op.Data)})
		n.size += int64(len(op.Data))
	case store.OpTruncate:
		n.truncate(op.Size)
	case store.OpSync:
		n.sync()
	case store.OpSyncDir:
		n.names, n.changes = maps.Clone(n.current), nil
	case store.OpRemove:
		if dir != nil { // The root is empty then, and stays.
			dir.change(&change{name: name})
		}
	default:
		return errors.Newf("unknown operation %q", op.Kind)
	}
	return nil
}

func (n *node) truncate(size int64) {
	n.writes = append(n.writes, &write{at: size})
	n.size = size
}

// sync makes all writes to a file part of its content, in place as far as they are appends.
func (n *node) sync() {
	for i, w := range n.writes {
		if w.data == nil || w.at != int64(len(n.content)) {
			n.writes = n.writes[i:]
			n.content, n.writes = n.all(), nil
			return
		}
		n.content = append(n.content, w.data...)
	}
	n.writes = nil
}

func (n *node) change(c *change) {
	n.changes = append(n.changes, c)
	c.applyTo(n.current)
}

func (c *change) applyTo(names map[string]*node) {
	if c.from != "" {
		delete(names, c.from)
	}
	if c.target == nil {
		delete(names, c.name)
		return
	}
	names[c.name] = c.target
}

// written returns the content of a file with the writes that are kept or torn. A lost write
// before another one that is kept leaves zeros.
func (n *node) written(fate func(*write) Fate) []byte {
	b := n.content
	for _, w := range n.writes {
		data := w.data
		switch fate(w) {
		case Lost:
			continue
		case Torn:
			data = data[:len(data)/2]
		}
		if w.data == nil {
			b = resize(b, w.at)
			continue
		}
		b = append(resize(b, max(w.at, int64(len(b))))[:w.at:w.at], data...)
	}
	return b
}

// resize returns b with a size, filled with zeros beyond the bytes it has.
func resize(b []byte, size int64) []byte {
	if size <= int64(len(b)) {
		return b[:size:size]
	}
	return append(b[:len(b):len(b)], make([]byte, size-int64(len(b)))...)
}

// Pending returns the number of writes and of names that are not durable.
func (m *Model) Pending() (writes, names int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes() {
		writes, names = writes+len(n.writes), names+len(n.changes)
	}
	return writes, names
}

// nodes returns all files and directories that may exist after a loss of power, always in the
// same order. The caller must hold mu.
func (m *Model) nodes() []*node {
	list, seen := []*node{m.tree()}, map[*node]bool{m.tree(): true}
	for i := 0; i < len(list); i++ {
		next := make([]*node, 0, len(list[i].names)+len(list[i].changes))
		for _, name := range slices.Sorted(maps.Keys(list[i].names)) {
			next = append(next, list[i].names[name])
		}
		for _, c := range list[i].changes {
			next = append(next, c.target)
		}
		for _, n := range next {
			if n != nil && !seen[n] {
				seen[n] = true
				list = append(list, n)
			}
		}
	}
	return list
}

// Clone writes the current content to dir, with all that is not durable, as after the end of the
// processes, and returns a model of it.
func (m *Model) Clone(dir string) (*Model, error) {
	if err := m.LosePower(dir, func(bool) Fate { return Kept }); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Model{Root: dir, root: m.tree().clone(map[*node]*node{}), err: m.err}, nil
}

// clone copies a node and all below it. copies are those made before, by their original.
func (n *node) clone(copies map[*node]*node) *node {
	if n == nil || copies[n] != nil {
		return copies[n]
	}
	c := &node{isDir: n.isDir, content: slices.Clone(n.content), size: n.size}
	copies[n] = c
	for _, w := range n.writes {
		c.writes = append(c.writes, &write{at: w.at, data: w.data})
	}
	if n.isDir {
		c.names, c.current = map[string]*node{}, map[string]*node{}
	}
	for name, child := range n.names {
		c.names[name] = child.clone(copies)
	}
	for name, child := range n.current {
		c.current[name] = child.clone(copies)
	}
	for _, ch := range n.changes {
		c.changes = append(c.changes, &change{name: ch.name, from: ch.from, target: ch.target.clone(copies)})
	}
	return c
}

// Load makes the model hold the content of Root, all of it durable.
func (m *Model) Load() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, err := load(m.Root)
	if err == nil {
		m.root, m.err = n, nil
	}
	return err
}

func load(path string) (*node, error) {
	dir := newDir()
	entries, err := os.ReadDir(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, errors.Wrap(err, "crash: list directory")
	}
	for _, e := range entries {
		child := &node{}
		if e.IsDir() {
			child, err = load(filepath.Join(path, e.Name()))
		} else {
			child.content, err = os.ReadFile(filepath.Join(path, e.Name()))
			child.size = int64(len(child.content))
		}
		if err != nil {
			return nil, errors.Wrap(err, "crash: read file")
		}
		dir.names[e.Name()], dir.current[e.Name()] = child, child
	}
	return dir, nil
}

// String returns the pending writes and names, for messages of tests.
func (m *Model) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pending()
}

// pending is String for a caller that holds mu.
func (m *Model) pending() string {
	s := ""
	for _, n := range m.nodes() {
		for _, w := range n.writes {
			s += fmt.Sprintf("write of %d bytes at %d: %s; ", len(w.data), w.at, w.fate)
		}
		for _, c := range n.changes {
			s += fmt.Sprintf("name %s from %q, removed %t: %s; ", c.name, c.from, c.target == nil, c.fate)
		}
	}
	return s
}

// String returns the fate in words.
func (f Fate) String() string { return [...]string{"lost", "kept", "torn"}[f] }
