package store

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// ReadSnapshot returns the payload of the snapshot in folder dir, or nil if
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

func writeSnapshot(dir string, snapshot []byte) error {
	return WriteFile(dir, snapshotName, appendFrame(nil, snapshot))
}

// WriteFile replaces the file name in folder dir by one that holds b, so that
// after a crash either the old or the new content is there, whole. It returns
// once the new content is durable.
func WriteFile(dir, name string, b []byte) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return errors.Wrap(err, "store: make folder")
	}
	path := filepath.Join(dir, name)
	if err := writeSynced(path+".new", b); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return errors.Wrap(err, "store: rename")
	}
	return syncFolder(dir)
}

func writeSynced(path string, b []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "store: create")
	}
	defer f.Close()
	if _, err := f.Write(b); err != nil {
		return errors.Wrap(err, "store: write")
	}
	return errors.Wrap(f.Sync(), "store: sync")
}

func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "store: open folder")
	}
	defer d.Close()
	return errors.Wrap(d.Sync(), "store: sync folder")
}
