package store

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// ReadSnapshot returns the payload of the snapshot in directory dir, or nil if
// there is none. It returns [ErrCorrupt] if the snapshot is damaged.
func ReadSnapshot(dir string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(dir, snapshotName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "store: read snapshot")
	}
	payload, rest, err := readFrame(b)
	if err != nil || len(rest) != 0 {
		return nil, errors.Wrap(ErrCorrupt, snapshotName)
	}
	return payload, nil
}

// writeSnapshot durably replaces the snapshot in directory dir.
func (d Disk) writeSnapshot(dir string, snapshot []byte) error {
	return d.WriteFile(dir, snapshotName, appendFrame(nil, snapshot))
}

// WriteFile is [Disk.WriteFile] of the zero Disk.
func WriteFile(dir, name string, b []byte) error { return Disk{}.WriteFile(dir, name, b) }

// WriteFile atomically replaces the content of file name in directory dir by b
// and returns once it is durable. After a crash the file has either the old or
// the new content. The directory is created if needed.
func (d Disk) WriteFile(dir, name string, b []byte) error {
	if _, err := os.Stat(dir); err != nil {
		if err := d.MakeDir(dir); err != nil {
			return err
		}
	}
	path := filepath.Join(dir, name)
	if err := d.writeAndSync(path+".new", b); err != nil {
		return err
	}
	if err := d.rename(path+".new", path); err != nil {
		return err
	}
	return d.syncDir(dir)
}

// ReadFile returns the content of file name in directory dir that [Disk.WriteFile] has written. It
// makes the name durable first, since a process that was killed may have renamed the file and not
// synced the directory. The error wraps [os.ErrNotExist] if there is no such file.
func (d Disk) ReadFile(dir, name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return nil, errors.Wrap(err, "store: read file")
	}
	return b, d.syncFoundDir(dir)
}

// writeAndSync writes b to a new or truncated file and syncs it.
func (d Disk) writeAndSync(path string, b []byte) error {
	f, err := d.openFile(path, os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return errors.Wrap(err, "store: create file")
	}
	defer f.Close()
	if err := d.write(f, b); err != nil {
		return errors.Wrap(err, "store: write file")
	}
	return errors.Wrap(d.sync(f), "store: sync file")
}

// syncPath syncs a file that an earlier process may have written and not synced. What was read
// from it may be in the kernel's cache only, and must not count as durable before. Empty files
// need no sync.
func (d Disk) syncPath(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "store: open file to sync")
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() == 0 {
		return nil
	}
	return errors.Wrap(d.sync(f), "store: sync file")
}

// syncDir syncs a directory, so that files created or renamed in it survive a
// crash.
func (d Disk) syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "store: open directory")
	}
	defer f.Close()
	return errors.Wrap(d.syncAs(f, OpSyncDir), "store: sync directory")
}
