package store

import (
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"
)

// Location is the position of a record in a [Journal].
type Location struct {
	Segment uint64
	Offset  int64
	Length  int32
	// Checksum is the CRC-32C of the record. [Journal.Read] verifies it.
	Checksum uint32
}

// Journal is a log of records that are read by their [Location] and removed in
// whole segments. Unlike a [Log], it continues after a failed
// write, in a new segment. Records of the failed write may or may not be found
// when the journal is opened again. [Journal.Read] is safe for concurrent use.
// All other methods must be called from one goroutine.
//
// A list names the segments of the journal. Segments that are removed from it do not come back,
// whatever a crash does to their names, and a segment that is on it and missing is corruption.
type Journal struct {
	disk        Disk
	dir         string
	owner       string
	file        *os.File // the current segment, or nil until the first append or rotation
	segment     uint64   // the current segment, or the last one that was found
	size        int64
	writeFailed bool // the end of the current segment is unknown
	// listed are the segments on the list in the directory, the current one last. If the last
	// attempt to write the list has failed, the directory may have that one.
	listed []listedSegment
	// next is a new segment that is not on the list yet, or nil.
	next       *os.File
	nextNumber uint64
}

// JournalOwner identifies whose journal is opened.
type JournalOwner struct {
	// ID is the name of the owner. The journal of another owner counts as corrupt.
	ID string
	// MustExist is set if the owner has used the journal with this build or a later one, so
	// that a missing journal counts as corrupt.
	MustExist bool
}

// OpenJournal is [Disk.OpenJournal] of the zero Disk.
func OpenJournal(dir string, visit func(at Location, record []byte) error) (*Journal, error) {
	return Disk{}.OpenJournal(dir, visit)
}

// OpenJournal is [Disk.OpenJournalOf] for a journal without an owner.
func (d Disk) OpenJournal(dir string, visit func(at Location, record []byte) error) (*Journal, error) {
	return d.OpenJournalOf(JournalOwner{}, dir, visit)
}

// OpenJournalOf opens the journal in directory dir, which it creates if needed, and
// calls visit for each record found, in the order in which they were written. The first append
// starts a new segment, unless [Journal.Prepare] has, so that a journal can be read while the disk
// refuses writes. It returns [ErrCorrupt] if a damaged frame is followed by an intact one in its
// segment, if a segment is missing or shorter than it was, or if the journal belongs to another
// owner.
func (d Disk) OpenJournalOf(owner JournalOwner, dir string, visit func(at Location, record []byte) error) (*Journal, error) {
	// The list is checked before the directory is created: the next process would take an empty
	// directory for a journal of an earlier build.
	list, err := readSegmentList(dir)
	if err == nil {
		err = list.check(dir, owner)
	}
	if err != nil {
		return nil, err
	}
	if err := d.MakeDir(dir); err != nil {
		return nil, err
	}
	segments, err := listSegments(dir)
	if err != nil {
		return nil, err
	}
	j := &Journal{disk: d, dir: dir, owner: owner.ID}
	if len(segments) > 0 {
		err = j.replayAll(segments, list, visit)
	} else if err = j.Rotate(); err != nil && j.next != nil {
		_ = j.next.Close() // It is empty.
	}
	return j, err
}

// replayAll calls visit for the records of all segments that have not been removed, makes what
// was found durable, and removes the files of the others. Segments that were closed when the list
// was written are durable: there may be dozens, and on a slow disk their syncs would delay the
// start by many seconds.
func (j *Journal) replayAll(segments []uint64, list segmentList, visit func(Location, []byte) error) error {
	var unused []uint64
	for _, n := range segments {
		j.segment = n
		if list.removed(n) {
			unused = append(unused, n)
			continue
		}
		size, err := j.replay(n, visit)
		if err == nil && size != list.durableSize(n) {
			err = j.disk.syncPath(j.segmentPath(n))
		}
		if err != nil {
			return err
		}
		if size > 0 || list.contains(n) {
			j.listed = append(j.listed, listedSegment{Number: n, Size: size})
		} else {
			unused = append(unused, n)
		}
	}
	if err := j.disk.syncFoundDir(j.dir); err != nil {
		return err
	}
	return j.removeFiles(unused)
}

// replay calls visit for the records of one segment, and returns the size of its frames. Only
// its last frame may be incomplete, which is then skipped.
func (j *Journal) replay(segment uint64, visit func(Location, []byte) error) (size int64, err error) {
	b, err := os.ReadFile(j.segmentPath(segment))
	if err != nil {
		return 0, errors.Wrap(err, "store: read segment")
	}
	rest := b
	for len(rest) > 0 {
		payload, next, err := readFrame(rest)
		if err != nil {
			if containsFrame(rest[1:]) {
				return 0, errors.Wrapf(ErrCorrupt, "%s at byte %d", filepath.Base(j.segmentPath(segment)), len(b)-len(rest))
			}
			break
		}
		payloadOffset := int64(len(b)-len(rest)) + frameHeaderBytes
		if err := forEachRecord(segment, payloadOffset, payload, visit); err != nil {
			return 0, err
		}
		rest = next
	}
	return int64(len(b) - len(rest)), nil
}

// forEachRecord calls visit for each record in a frame's payload, in which every
// record is preceded by its length. payloadOffset is the offset of the payload
// in its segment.
func forEachRecord(segment uint64, payloadOffset int64, payload []byte, visit func(Location, []byte) error) error {
	for offset := 0; offset < len(payload); {
		if len(payload)-offset < lengthBytes {
			return errors.Wrap(ErrCorrupt, "record without a complete length field")
		}
		n := int(decodeLength(payload[offset:]))
		offset += lengthBytes
		if n > len(payload)-offset {
			return errors.Wrap(ErrCorrupt, "record longer than its frame")
		}
		record := payload[offset : offset+n]
		location := Location{Segment: segment, Offset: payloadOffset + int64(offset), Length: int32(n), Checksum: crc32.Checksum(record, castagnoli)}
		if err := visit(location, record); err != nil {
			return err
		}
		offset += n
	}
	return nil
}

// Append writes records as one frame and returns their locations once they are
// durable. After an error, each of them may or may not be durable.
func (j *Journal) Append(records [][]byte) ([]Location, error) {
	if j.writeFailed || j.file == nil {
		if err := j.Rotate(); err != nil {
			return nil, err
		}
	}
	var payload []byte
	locations := make([]Location, len(records))
	for i, r := range records {
		payload = appendLength(payload, uint32(len(r)))
		locations[i] = Location{
			Segment: j.segment, Offset: j.size + frameHeaderBytes + int64(len(payload)),
			Length: int32(len(r)), Checksum: crc32.Checksum(r, castagnoli),
		}
		payload = append(payload, r...)
	}
	frame := appendFrame(make([]byte, 0, frameHeaderBytes+len(payload)), payload)
	if err := j.write(frame); err != nil {
		j.writeFailed = true
		return nil, err
	}
	j.size += int64(len(frame))
	return locations, nil
}

func (j *Journal) write(frame []byte) error {
	if err := j.disk.write(j.file, frame); err != nil {
		return errors.Wrap(err, "store: write frame")
	}
	return errors.Wrap(j.disk.sync(j.file), "store: sync segment")
}

// Read returns the record at a location. It returns [ErrCorrupt] if the record
// is damaged, and an error that wraps [os.ErrNotExist] if its segment was
// removed.
func (j *Journal) Read(location Location) ([]byte, error) {
	f, err := os.Open(j.segmentPath(location.Segment))
	if err != nil {
		return nil, errors.Wrap(err, "store: open segment")
	}
	defer f.Close()
	b := make([]byte, location.Length)
	if _, err := f.ReadAt(b, location.Offset); err != nil {
		return nil, errors.Wrap(err, "store: read record")
	}
	if crc32.Checksum(b, castagnoli) != location.Checksum {
		return nil, errors.Wrap(ErrCorrupt, "record")
	}
	return b, nil
}

// Segment returns the number of the current segment. Later segments have higher
// numbers.
func (j *Journal) Segment() uint64 { return j.segment }

// Size returns the number of bytes in the current segment.
func (j *Journal) Size() int64 { return j.size }

// Prepare starts a new segment unless there is a current one, so that the next append need not.
func (j *Journal) Prepare() error {
	if j.file != nil {
		return nil
	}
	return j.Rotate()
}

// Rotate starts a new segment.
func (j *Journal) Rotate() error {
	if err := j.createNext(); err != nil {
		return err
	}
	closed, empty := j.closedSegments()
	list := append(closed, listedSegment{Number: j.nextNumber})
	if err := j.disk.writeSegmentList(j.dir, segmentList{Owner: j.owner, Segments: list}); err != nil {
		return err
	}
	if j.file != nil {
		_ = j.file.Close() // Every acknowledged frame is already synced.
	}
	j.file, j.segment, j.size, j.writeFailed, j.listed = j.next, j.nextNumber, 0, false, list
	j.next = nil
	_ = j.removeFiles(empty) // They are not on the list any more, so that the next start removes them.
	return nil
}

// createNext creates the next segment and makes its name durable, unless an earlier call of
// Rotate has, which failed later.
func (j *Journal) createNext() error {
	if j.next == nil {
		f, err := j.disk.openFile(j.segmentPath(j.segment+1), os.O_CREATE|os.O_EXCL|os.O_APPEND)
		if err != nil {
			return errors.Wrap(err, "store: open segment")
		}
		j.next, j.nextNumber = f, j.segment+1
	}
	return j.disk.syncDir(j.dir)
}

// closedSegments returns the segments on the list with their sizes, and the numbers of those
// without an acknowledged frame.
func (j *Journal) closedSegments() (closed []listedSegment, empty []uint64) {
	for _, s := range j.listed {
		if j.file != nil && s.Number == j.segment {
			s.Size = j.size
		}
		if s.Size == 0 {
			empty = append(empty, s.Number)
			continue
		}
		closed = append(closed, s)
	}
	return closed, empty
}

// Segments returns the numbers of all segments, including the current one, in
// ascending order.
func (j *Journal) Segments() ([]uint64, error) { return listSegments(j.dir) }

// Remove durably removes segments. The current segment is always kept.
func (j *Journal) Remove(segments ...uint64) error {
	segments = slices.DeleteFunc(slices.Clone(segments), func(n uint64) bool { return n == j.segment })
	if len(segments) == 0 {
		return nil
	}
	if j.file == nil {
		if err := j.Rotate(); err != nil { // The list has at least the current segment.
			return err
		}
	}
	list := slices.DeleteFunc(slices.Clone(j.listed), func(s listedSegment) bool { return slices.Contains(segments, s.Number) })
	if len(list) < len(j.listed) {
		if err := j.disk.writeSegmentList(j.dir, segmentList{Owner: j.owner, Segments: list}); err != nil {
			return err
		}
		j.listed = list
	}
	return j.removeFiles(segments)
}

// removeFiles removes the files of segments that are not on the list, as far as there are any.
// Their names need not be durably removed.
func (j *Journal) removeFiles(segments []uint64) error {
	for _, n := range segments {
		if err := j.disk.remove(j.segmentPath(n)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return nil
}

// Close closes the journal. All appended records are already durable.
func (j *Journal) Close() error {
	if j.next != nil {
		_ = j.next.Close() // It is empty.
	}
	if j.file == nil {
		return nil
	}
	return errors.Wrap(j.file.Close(), "store: close segment")
}

func (j *Journal) segmentPath(segment uint64) string {
	return filepath.Join(j.dir, fmt.Sprintf("%s%016d", segmentPrefix, segment))
}
