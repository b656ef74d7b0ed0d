package store

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/types"
)

// segmentListName is the name of the file that lists a journal's segments.
const segmentListName = "segments"

// segmentList is the content of that file. A segment is created before it is listed, and
// listed before it has a record. It is removed from the list before its file is.
type segmentList struct {
	Owner string `json:"owner"`
	// Segments are in ascending order. The list is nil if there is no file: an earlier build
	// has written the journal, or it is new.
	Segments []listedSegment `json:"segments"`
}

// listedSegment is a segment that is still needed.
type listedSegment struct {
	Number uint64 `json:"number"`
	// Size is the size of the frames that were durable when the list was written, or 0 for
	// the segment that was the current one.
	Size int64 `json:"size"`
}

// readSegmentList returns the zero list if there is no file.
func readSegmentList(dir string) (segmentList, error) {
	b, err := os.ReadFile(filepath.Join(dir, segmentListName))
	if errors.Is(err, os.ErrNotExist) {
		return segmentList{}, nil
	}
	if err != nil {
		return segmentList{}, errors.Wrap(err, "store: read list of segments")
	}
	payload, rest, err := readFrame(b)
	if err != nil || len(rest) != 0 {
		return segmentList{}, errors.Wrap(ErrCorrupt, segmentListName)
	}
	list, err := types.DecodeStored[segmentList](payload)
	if err != nil || len(list.Segments) == 0 {
		return segmentList{}, errors.Wrap(ErrCorrupt, segmentListName)
	}
	return list, nil
}

// writeSegmentList durably replaces the list.
func (d Disk) writeSegmentList(dir string, list segmentList) error {
	return d.WriteFile(dir, segmentListName, appendFrame(nil, types.Encode(list)))
}

// check returns [ErrCorrupt] if the list is that of another owner, or missing although it must
// exist, or if a segment on it is missing or shorter than it was, unless the list is outdated.
func (l segmentList) check(dir string, owner JournalOwner) error {
	if l.Segments == nil {
		if owner.MustExist {
			return errors.Wrap(ErrCorrupt, "the journal is missing")
		}
		return nil
	}
	if l.Owner != owner.ID {
		return errors.Wrapf(ErrCorrupt, "the journal belongs to %q", l.Owner)
	}
	if outdated, err := l.isOutdated(dir); err != nil || outdated {
		return err
	}
	for _, s := range l.Segments {
		path := (&Journal{dir: dir}).segmentPath(s.Number)
		info, err := os.Stat(path)
		if errors.Is(err, os.ErrNotExist) {
			return errors.Wrapf(ErrCorrupt, "%s is missing", filepath.Base(path))
		}
		if err != nil {
			return errors.Wrap(err, "store: stat segment")
		}
		if info.Size() < s.Size {
			return errors.Wrapf(ErrCorrupt, "%s has %d of %d bytes", filepath.Base(path), info.Size(), s.Size)
		}
	}
	return nil
}

// isOutdated reports whether an earlier build, which removes segments without a change of the
// list, has written to the journal after the list: a segment after the last one on it has
// content. Since that build the list does not tell which segments are needed.
func (l segmentList) isOutdated(dir string) (bool, error) {
	segments, err := listSegments(dir)
	if err != nil {
		return false, err
	}
	last := l.Segments[len(l.Segments)-1].Number
	for _, n := range segments {
		if n <= last {
			continue
		}
		info, err := os.Stat((&Journal{dir: dir}).segmentPath(n))
		if err != nil {
			return false, errors.Wrap(err, "store: stat segment")
		}
		if info.Size() > 0 {
			return true, nil
		}
	}
	return false, nil
}

// removed reports whether a segment that exists has been removed from the journal. Segments
// after the last one on the list were not: an earlier build may have written them.
func (l segmentList) removed(number uint64) bool {
	return len(l.Segments) > 0 && number < l.Segments[len(l.Segments)-1].Number && !l.contains(number)
}

func (l segmentList) contains(number uint64) bool {
	return slices.ContainsFunc(l.Segments, func(s listedSegment) bool { return s.Number == number })
}

// durableSize returns the size of the frames of a segment that are known to be durable, or 0.
func (l segmentList) durableSize(number uint64) int64 {
	for _, s := range l.Segments {
		if s.Number == number {
			return s.Size
		}
	}
	return 0
}
