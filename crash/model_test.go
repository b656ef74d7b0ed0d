package crash_test

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/crash"
	"github.com/banyanspur/banyanspur/store"
)

// read returns the content of a directory by path, "dir" for directories.
func read(t *testing.T, root string) map[string]string {
	t.Helper()
	m := map[string]string{}
	err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		if err != nil || path == root {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if e.IsDir() {
			m[rel] = "dir"
			return nil
		}
		b, err := os.ReadFile(path)
		m[rel] = string(b)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// states returns all distinct states after a loss of power.
func states(t *testing.T, m *crash.Model) map[string]bool {
	t.Helper()
	set := map[string]bool{}
	for _, fate := range m.States(rand.New(rand.NewPCG(1, 1)), 1000) {
		dir := t.TempDir()
		if err := m.LosePower(dir, fate); err != nil {
			t.Fatal(err)
		}
		content := ""
		for path, text := range read(t, dir) {
			if text != "dir" {
				content += path + "=" + text
			}
		}
		set[content] = true
	}
	return set
}

// TestStates guards against a model that leaves out a state that a loss of power allows, or that
// takes what a sync has covered: the other tests of crashes would prove nothing.
func TestStates(t *testing.T) {
	dir := func(path string) string { return filepath.Join("/data", path) }
	created := []store.Op{
		{Kind: store.OpCreate, Path: dir("f")},
		{Kind: store.OpAppend, Path: dir("f"), Data: []byte("ab")},
		{Kind: store.OpSync, Path: dir("f")},
	}
	synced := append(created[:len(created):len(created)], store.Op{Kind: store.OpSyncDir, Path: "/data"})
	for _, c := range []struct {
		name string
		ops  []store.Op
		want []string
	}{
		{"a synced file has no durable name", created, []string{"", "f=ab"}},
		{"a synced file in a synced directory stays", synced, []string{"f=ab"}},
		{"unsynced writes are lost, kept or torn, each by itself", append(synced[:len(synced):len(synced)],
			store.Op{Kind: store.OpAppend, Path: dir("f"), Data: []byte("cd")},
			store.Op{Kind: store.OpAppend, Path: dir("f"), Data: []byte("ef")},
		), []string{"f=ab", "f=abc", "f=abcd", "f=abcdef", "f=abcde", "f=abc\x00ef", "f=abc\x00e", "f=ab\x00\x00ef", "f=ab\x00\x00e"}},
		{"a rename is kept or lost", append(synced[:len(synced):len(synced)], store.Op{Kind: store.OpRename, Path: dir("f"), To: dir("g")}), []string{"f=ab", "g=ab"}},
		{"a removed file may come back", append(synced[:len(synced):len(synced)], store.Op{Kind: store.OpRemove, Path: dir("f")}), []string{"", "f=ab"}},
		{"the name of a directory is lost with all below it", []store.Op{
			{Kind: store.OpMkdir, Path: dir("d")},
			{Kind: store.OpCreate, Path: dir("d/f")},
			{Kind: store.OpAppend, Path: dir("d/f"), Data: []byte("ab")},
			{Kind: store.OpSync, Path: dir("d/f")},
			{Kind: store.OpSyncDir, Path: dir("d")},
		}, []string{"", "d/f=ab"}},
		{"the root may be removed and created", append(synced[:len(synced):len(synced)],
			store.Op{Kind: store.OpRemove, Path: dir("f")},
			store.Op{Kind: store.OpRemove, Path: "/data"},
			store.Op{Kind: store.OpMkdir, Path: "/data"},
		), []string{"", "f=ab"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &crash.Model{Root: "/data"}
			for _, op := range c.ops {
				m.Observe(op)
			}
			if err := m.Err(); err != nil {
				t.Fatal(err)
			}
			want := map[string]bool{}
			for _, s := range c.want {
				want[s] = true
			}
			if diff := cmp.Diff(want, states(t, m)); diff != "" {
				t.Errorf("states (-want +got):\n%s", diff)
			}
		})
	}
}

// TestModelFollowsDisk guards against operations that a disk does not report, so that the model
// knows another state than the directory has.
func TestModelFollowsDisk(t *testing.T) {
	root, kept := t.TempDir(), t.TempDir()
	m := &crash.Model{Root: root}
	d := store.Disk{Observe: m.Observe}
	for _, b := range []string{"first", "second"} {
		if err := d.WriteFile(filepath.Join(root, "a", "b"), "file", []byte(b)); err != nil {
			t.Fatal(err)
		}
	}
	l, _, err := d.Open(filepath.Join(root, "log"))
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(l.Append([]byte("one")), l.Reset([]byte("snapshot"), []byte("two")), l.Append([]byte("three")), l.Close()); err != nil {
		t.Fatal(err)
	}
	j, err := d.OpenJournal(filepath.Join(root, "journal"), func(store.Location, []byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := j.Append([][]byte{[]byte("record")}); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(j.Rotate(), j.Remove(1), j.Close(), d.RemoveAll(filepath.Join(root, "a"), "file")); err != nil {
		t.Fatal(err)
	}
	if err := m.LosePower(kept, func(bool) crash.Fate { return crash.Kept }); err != nil {
		t.Fatal(err)
	}
	if err := m.Err(); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(read(t, root), read(t, kept)); diff != "" {
		t.Errorf("content of the directory and of the model (-directory +model):\n%s", diff)
	}
}
