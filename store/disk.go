package store

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Disk performs the operations on files and directories of logs, journals and single
// files. The zero value uses the operating system's. Tests set the fields to delay, to fail
// or to record operations.
type Disk struct {
	// Write writes b at the end of f. The default is [os.File.Write].
	Write func(f *os.File, b []byte) (int, error)
	// Sync makes the content of the file or directory f durable. The default is
	// [os.File.Sync].
	Sync func(f *os.File) error
	// Observe, if it is not nil, is called after each operation that has changed or
	// synced a file or directory, before its caller continues. It may be called by several
	// goroutines at once.
	Observe func(op Op)
	synced  *syncedDirs // nil unless [Disk.RememberingSyncs] has returned the disk
}

// Op is an operation that a [Disk] has performed.
type Op struct {
	Kind OpKind `json:"kind"`
	// Path is the file or directory.
	Path string `json:"path"`
	// To is the new path of a renamed file.
	To string `json:"to,omitempty"`
	// Data holds the bytes that were appended. It is valid only during the call of Observe.
	Data []byte `json:"data,omitempty"`
	// Size is the size to which a file was truncated.
	Size int64 `json:"size,omitempty"`
}

// OpKind is the kind of an [Op].
type OpKind string

// The kinds of operations.
const (
	OpMkdir    OpKind = "mkdir"    // a directory was created
	OpCreate   OpKind = "create"   // an empty file was created, or an existing one emptied
	OpAppend   OpKind = "append"   // Data was written at the end of a file
	OpTruncate OpKind = "truncate" // a file was truncated to Size
	OpSync     OpKind = "sync"     // a file was synced
	OpSyncDir  OpKind = "syncDir"  // a directory was synced
	OpRename   OpKind = "rename"   // a file was renamed to To, in place of another one if there was one
	OpRemove   OpKind = "remove"   // a file or an empty directory was removed
)

func (d Disk) observe(op Op) {
	if op.changesName() {
		d.synced.change(filepath.Dir(op.Path))
	}
	if d.Observe != nil {
		d.Observe(op)
	}
}

func (d Disk) write(f *os.File, b []byte) error {
	write := (*os.File).Write
	if d.Write != nil {
		write = d.Write
	}
	n, err := write(f, b)
	if n > 0 {
		d.observe(Op{Kind: OpAppend, Path: f.Name(), Data: b[:n]})
	}
	return err
}

// sync syncs the file f.
func (d Disk) sync(f *os.File) error { return d.syncAs(f, OpSync) }

func (d Disk) syncAs(f *os.File, kind OpKind) error {
	sync := (*os.File).Sync
	if d.Sync != nil {
		sync = d.Sync
	}
	changes := d.synced.changesOf(f.Name())
	err := sync(f)
	if err == nil && kind == OpSyncDir {
		d.synced.record(f.Name(), changes)
	}
	if err == nil {
		d.observe(Op{Kind: kind, Path: f.Name()})
	}
	return err
}

// openFile opens a file with the given flags besides [os.O_WRONLY].
func (d Disk) openFile(path string, flags int) (*os.File, error) {
	_, statErr := os.Lstat(path)
	if errors.Is(statErr, os.ErrNotExist) {
		d.synced.change(filepath.Dir(path))
	}
	f, err := os.OpenFile(path, flags|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	if flags&os.O_TRUNC != 0 || errors.Is(statErr, os.ErrNotExist) {
		d.observe(Op{Kind: OpCreate, Path: path})
	}
	return f, nil
}

// MakeDir creates a directory and those above it that do not exist, and makes its name durable,
// also if an earlier process has created the directory and has ended before it synced the one
// above. Processes call it at their start for each directory that they create.
func (d Disk) MakeDir(dir string) error {
	if info, err := os.Stat(dir); err == nil && info.IsDir() {
		return d.syncFoundName(dir)
	}
	if parent := filepath.Dir(dir); parent != dir {
		if err := d.MakeDir(parent); err != nil {
			return err
		}
	}
	d.synced.change(filepath.Dir(dir))
	if err := os.Mkdir(dir, dirMode); err != nil && !errors.Is(err, os.ErrExist) {
		return errors.Wrap(err, "store: create directory")
	}
	d.observe(Op{Kind: OpMkdir, Path: dir})
	return d.syncDir(filepath.Dir(dir))
}

// syncFoundName makes the name of a directory durable that existed. The one above it need not
// belong to this process: if it cannot be opened, or synced at all, its owner has created the
// directory and is responsible for its name.
func (d Disk) syncFoundName(dir string) error {
	if d.synced.has(filepath.Dir(dir)) {
		return nil
	}
	f, err := os.Open(filepath.Dir(dir))
	if err != nil {
		return nil
	}
	defer f.Close()
	err = d.syncAs(f, OpSyncDir)
	if errors.IsAny(err, os.ErrPermission, unix.EROFS, unix.EINVAL, unix.ENOTSUP) {
		return nil
	}
	return errors.Wrap(err, "store: sync directory")
}

// OpenAppend opens a file to append to, and creates it if there is none. Neither the file nor its
// name is synced.
func (d Disk) OpenAppend(path string) (*os.File, error) {
	f, err := d.openFile(path, os.O_CREATE|os.O_APPEND)
	return f, errors.Wrap(err, "store: open file")
}

// Clear removes the content of a file, without a sync.
func (d Disk) Clear(f *os.File) error { return d.truncate(f, 0) }

func (d Disk) truncate(f *os.File, size int64) error {
	if err := f.Truncate(size); err != nil {
		return errors.Wrap(err, "store: truncate file")
	}
	d.observe(Op{Kind: OpTruncate, Path: f.Name(), Size: size})
	return nil
}

func (d Disk) rename(from, to string) error {
	d.synced.change(filepath.Dir(to))
	if err := os.Rename(from, to); err != nil {
		return errors.Wrap(err, "store: rename file")
	}
	d.observe(Op{Kind: OpRename, Path: from, To: to})
	return nil
}

func (d Disk) remove(path string) error {
	d.synced.change(filepath.Dir(path))
	if err := os.Remove(path); err != nil {
		return errors.Wrap(err, "store: remove file")
	}
	d.observe(Op{Kind: OpRemove, Path: path})
	return nil
}

// RemoveFile durably removes a file. It is no error if there is none, or no directory; a process
// that was killed may have removed it and not synced the directory.
func (d Disk) RemoveFile(path string) error {
	_, err := os.Lstat(path)
	if !errors.Is(err, os.ErrNotExist) {
		err = d.remove(path)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	err = d.syncFoundDir(filepath.Dir(path))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// RemoveAll durably removes a directory with all that it contains. The files whose names are given
// are removed first, and durably, so that no crash leaves an identity with a part of what belongs
// to it. It is no error if there is no such directory or file.
func (d Disk) RemoveAll(dir string, first ...string) error {
	for _, name := range first {
		if err := d.RemoveFile(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	if _, err := os.Stat(dir); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err := d.removeTree(dir); err != nil {
		return err
	}
	return d.syncDir(filepath.Dir(dir))
}

func (d Disk) removeTree(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "store: list directory")
	}
	for _, e := range entries {
		path := filepath.Join(dir, e.Name())
		if e.IsDir() {
			err = d.removeTree(path)
		} else {
			err = d.remove(path)
		}
		if err != nil {
			return err
		}
	}
	return d.remove(dir)
}
