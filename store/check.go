package store

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// CheckLog returns [ErrCorrupt] if the log in directory dir lacks a file that each crash leaves,
// or, if mustExist is set, has not been created. It does not read the log.
func CheckLog(dir string, mustExist bool) error {
	segments, err := listSegments(dir)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if mustExist && len(segments) == 0 {
		return errors.Wrap(ErrCorrupt, "the log is missing")
	}
	return checkLog(dir, segments)
}

// checkLog returns [ErrCorrupt] if a file is missing that each crash leaves. [Log.Reset] makes a
// snapshot durable before the segment that follows it, which is never the first one, and the
// first frame of that before it removes earlier segments.
func checkLog(dir string, segments []uint64) error {
	_, err := os.Stat(filepath.Join(dir, snapshotName))
	hasSnapshot := err == nil
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "store: stat snapshot")
	}
	if len(segments) == 0 {
		if hasSnapshot {
			return errors.Wrap(ErrCorrupt, "the log after the snapshot is missing")
		}
		return nil
	}
	if !hasSnapshot && segments[len(segments)-1] > 1 {
		return errors.Wrap(ErrCorrupt, "the snapshot before the log is missing")
	}
	if len(segments) > 1 || segments[0] == 1 {
		return nil
	}
	path := (&Log{dir: dir}).segmentPath(segments[0])
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(err, "store: stat segment")
	}
	if info.Size() < frameHeaderBytes {
		return errors.Wrapf(ErrCorrupt, "%s lacks its first frame", filepath.Base(path))
	}
	return nil
}
