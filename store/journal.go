package store

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"sync"

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
// when the journal is opened again. [Journal.Read], [Journal.Remove], [Journal.Segments] and
// [Journal.CreateSpare] are safe for concurrent use. All other methods must be called from one
// goroutine.
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

	// mu guards the fields below, and the list in the directory. The appending goroutine also holds
	// it while it changes file and segment.
	mu sync.Mutex
	// listed are the segments on the list in the directory, in ascending order, with the sizes of
	// those that were closed since it was written. If the last attempt to write the list has failed,
	// the directory may have that one.
	listed []listedSegment
	// next is a new segment, or nil. It is on the list if spare is set, and then durably there.
	next       *os.File
	nextNumber uint64
	spare      bool
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
// calls visit for each record found, in the order in which they were written; a record is valid until visit returns. The first append
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
	var buffer bytes.Buffer // Memory for each segment anew would let a host with little of it collect garbage half of the time.
	for _, n := range segments {
		j.segment = n
		if list.removed(n) {
			unused = append(unused, n)
			continue
		}
		size, err := j.replay(n, &buffer, visit)
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
// its last frame may be incomplete, which is then skipped. It replaces what buffer holds.
func (j *Journal) replay(segment uint64, buffer *bytes.Buffer, visit func(Location, []byte) error) (size int64, err error) {
	if err := readInto(buffer, j.segmentPath(segment)); err != nil {
		return 0, errors.Wrap(err, "store: read segment")
	}
	b := buffer.Bytes()
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

// readInto replaces what buffer holds by the content of a file.
func readInto(buffer *bytes.Buffer, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	buffer.Reset()
	if info, err := f.Stat(); err == nil {
		buffer.Grow(int(info.Size()) + bytes.MinRead) // Otherwise the end of the file is only seen once the buffer has grown.
	}
	_, err = buffer.ReadFrom(f)
	return err
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

// Rotate starts a new segment. It needs no sync if [Journal.CreateSpare] has created one.
func (j *Journal) Rotate() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file != nil { // Every acknowledged frame is already synced.
		if i := slices.IndexFunc(j.listed, func(s listedSegment) bool { return s.Number == j.segment }); i >= 0 {
			j.listed[i].Size = j.size
		}
	}
	if err := j.createSpare(); err != nil {
		return err
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file, j.segment, j.size, j.writeFailed = j.next, j.nextNumber, 0, false
	j.next, j.spare = nil, false
	return nil
}

// CreateSpare creates the segment that the next [Journal.Rotate] starts, unless there is one, so
// that appends need not wait for the syncs that this takes.
func (j *Journal) CreateSpare() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.createSpare()
}

func (j *Journal) createSpare() error {
	if j.spare {
		return nil
	}
	if err := j.createNext(); err != nil {
		return err
	}
	list, empty := j.neededSegments()
	list = append(list, listedSegment{Number: j.nextNumber})
	if err := j.disk.writeSegmentList(j.dir, segmentList{Owner: j.owner, Segments: list}); err != nil {
		return err
	}
	j.listed, j.spare = list, true
	_ = j.removeFiles(empty) // They are not on the list any more, so that the next start removes them.
	return nil
}

// createNext creates the next segment and makes its name durable, unless an earlier call has, and
// what followed has failed.
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

// neededSegments returns the segments on the list that are still needed, and the numbers of those
// that were closed without an acknowledged frame. The current one has no size unless it is being
// closed.
func (j *Journal) neededSegments() (needed []listedSegment, empty []uint64) {
	for _, s := range j.listed {
		if s.Size == 0 && (j.file == nil || s.Number != j.segment) {
			empty = append(empty, s.Number)
			continue
		}
		needed = append(needed, s)
	}
	return needed, empty
}

// Segments returns the numbers of all segments, including the current one, in
// ascending order.
func (j *Journal) Segments() ([]uint64, error) { return listSegments(j.dir) }

// Remove durably removes segments. The current segment is always kept, and a list without any
// other one.
func (j *Journal) Remove(segments ...uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	segments = slices.DeleteFunc(slices.Clone(segments), func(n uint64) bool { return n == j.segment || j.next != nil && n == j.nextNumber })
	if len(segments) == 0 {
		return nil
	}
	list := slices.DeleteFunc(slices.Clone(j.listed), func(s listedSegment) bool { return slices.Contains(segments, s.Number) })
	if len(list) == 0 {
		return nil // An empty list would stand for a journal of an earlier build.
	}
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
