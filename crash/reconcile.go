package crash

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/store"
)

// Reconcile makes the model hold the content of Root, which must not be in use. It applies the
// operations that lead there, none of them durable, and returns their number.
func (m *Model) Reconcile() (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reconcile(m.tree(), m.Root)
}

// reconcile reconciles a directory and all below it.
func (m *Model) reconcile(dir *node, path string) (count int, err error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return 0, errors.Wrap(err, "crash: list directory")
	}
	gone := maps.Clone(dir.current) // names that the directory does not have
	for _, e := range entries {
		if n := dir.current[e.Name()]; n != nil && n.isDir == e.IsDir() {
			delete(gone, e.Name())
		}
	}
	for _, e := range entries {
		child, n := filepath.Join(path, e.Name()), 0
		if e.IsDir() {
			if dir.current[e.Name()] == nil {
				count++
				if err := m.apply(store.Op{Kind: store.OpMkdir, Path: child}); err != nil {
					return count, err
				}
			}
			n, err = m.reconcile(dir.current[e.Name()], child)
		} else {
			n, err = m.reconcileFile(dir, child, gone)
		}
		if count += n; err != nil {
			return count, err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(gone)) {
		count++
		if err := m.apply(store.Op{Kind: store.OpRemove, Path: filepath.Join(path, name)}); err != nil {
			return count, err
		}
	}
	return count, nil
}

// reconcileFile reconciles a file in dir. It takes one of the names that are gone for the
// file's former name if that had its content.
func (m *Model) reconcileFile(dir *node, path string, gone map[string]*node) (int, error) {
	n := dir.current[filepath.Base(path)]
	if m.isKnown(n, path) {
		return 0, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return 0, errors.Wrap(err, "crash: read file")
	}
	var have []byte
	if n != nil {
		if have = n.all(); bytes.Equal(have, b) {
			return 0, nil
		}
	}
	for name, former := range gone {
		if !former.isDir && bytes.Equal(former.all(), b) {
			delete(gone, name)
			return 1, m.apply(store.Op{Kind: store.OpRename, Path: filepath.Join(filepath.Dir(path), name), To: path})
		}
	}
	var ops []store.Op
	if n == nil {
		ops = append(ops, store.Op{Kind: store.OpCreate, Path: path})
	}
	common := 0
	for common < min(len(have), len(b)) && have[common] == b[common] {
		common++
	}
	if common < len(have) {
		ops = append(ops, store.Op{Kind: store.OpTruncate, Path: path, Size: int64(common)})
	}
	if common < len(b) {
		ops = append(ops, store.Op{Kind: store.OpAppend, Path: path, Data: b[common:]})
	}
	for _, op := range ops {
		if err := m.apply(op); err != nil {
			return 0, err
		}
	}
	return len(ops), nil
}

// isKnown reports whether a file surely has the content of a node without a look into it. The program only appends to
// files, or truncates them, so that an operation which it has not reported leaves another size.
func (m *Model) isKnown(n *node, path string) bool {
	if n == nil || n.isDir || len(n.writes) > 0 {
		return false
	}
	info, err := os.Stat(path)
	return err == nil && info.Size() == n.size && info.ModTime().Before(m.observedUntil)
}

// all returns the content of a file with all writes.
func (n *node) all() []byte { return n.written(func(*write) Fate { return Kept }) }
