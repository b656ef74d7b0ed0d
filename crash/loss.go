package crash

import (
	"maps"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// LosePower replaces the content of dir, which must not be in use, by the state after a loss of
// power. fate decides about each pending write and name. The model does not change.
func (m *Model) LosePower(dir string, fate func(isName bool) Fate) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decide(fate)
	if err := os.RemoveAll(dir); err != nil {
		return errors.Wrap(err, "crash: remove the former state")
	}
	return m.tree().writeTo(dir)
}

// decide sets the fates of all pending writes and names. The caller must hold mu.
func (m *Model) decide(fate func(isName bool) Fate) {
	for _, n := range m.nodes() {
		for _, w := range n.writes {
			w.fate = fate(false)
		}
		for _, c := range n.changes {
			c.fate = fate(true)
		}
	}
}

// namesLeft returns the names of a directory that a loss of power leaves.
func (n *node) namesLeft() map[string]*node {
	names := maps.Clone(n.names)
	for _, c := range n.changes {
		if c.fate != Lost {
			c.applyTo(names)
		}
	}
	return names
}

func (n *node) writeTo(path string) error {
	if !n.isDir {
		return errors.Wrap(os.WriteFile(path, n.written(func(w *write) Fate { return w.fate }), 0o600), "crash: write file")
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return errors.Wrap(err, "crash: create directory")
	}
	for name, child := range n.namesLeft() {
		if err := child.writeTo(filepath.Join(path, name)); err != nil {
			return err
		}
	}
	return nil
}

// LosePowerInPlace is [Model.LosePower] for Root itself, which must hold the current content. All that is left is durable then, in the
// model as well. It writes only what the loss changes, so that hosts with much on their disks are back soon. It returns what was
// pending, as [Model.String] does.
func (m *Model) LosePowerInPlace(fate func(isName bool) Fate) (pending string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decide(fate)
	pending = m.pending()
	if err := os.MkdirAll(m.Root, 0o700); err != nil {
		return pending, errors.Wrap(err, "crash: create directory")
	}
	settled := settledNodes{nodes: map[*node]bool{}}
	if err := m.tree().settle(m.Root, &settled); err != nil || !settled.shared {
		return pending, err
	}
	n, err := load(m.Root)
	if err == nil {
		m.root = n
	}
	return pending, err
}

// settledNodes are the nodes that hold what a loss of power has left. shared is set if one of them has two names, since a rename was lost
// and a later one of the same file was not: these are two files from then on.
type settledNodes struct {
	nodes  map[*node]bool
	shared bool
}

// settle makes a node, and what its path holds, what a loss of power leaves.
func (n *node) settle(path string, settled *settledNodes) error {
	if settled.nodes[n] {
		settled.shared = true
		return n.writeTo(path)
	}
	settled.nodes[n] = true
	if !n.isDir {
		if len(n.writes) == 0 {
			return nil
		}
		n.content, n.writes = n.written(func(w *write) Fate { return w.fate }), nil
		n.size = int64(len(n.content))
		return n.writeTo(path)
	}
	names := n.namesLeft()
	for name, child := range n.current {
		if names[name] == child {
			continue
		}
		if err := os.RemoveAll(filepath.Join(path, name)); err != nil {
			return errors.Wrap(err, "crash: remove what the loss takes")
		}
	}
	for name, child := range names {
		below := filepath.Join(path, name)
		if n.current[name] != child {
			if err := child.writeTo(below); err != nil {
				return err
			}
		}
		if err := child.settle(below, settled); err != nil {
			return err
		}
	}
	n.names, n.current, n.changes = names, maps.Clone(names), nil
	return nil
}
