package store

import (
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

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
type Journal struct {
	disk        Disk
	dir         string
	file        *os.File
	segment     uint64
	size        int64
	writeFailed bool // the end of the current segment is unknown
}

// OpenJournal is [Disk.OpenJournal] of the zero Disk.
func OpenJournal(dir string, visit func(at Location, record []byte) error) (*Journal, error) {
	return Disk{}.OpenJournal(dir, visit)
}

// OpenJournal opens the journal in directory dir, which it creates if needed. It
// calls visit for each record found, in the order in which they were written,
// and then starts a new segment. It returns [ErrCorrupt] if a damaged frame is
// followed by an intact one in its segment.
func (d Disk) OpenJournal(dir string, visit func(at Location, record []byte) error) (*Journal, error) {
	if err := d.MakeDir(dir); err != nil {
		return nil, err
	}
	segments, err := listSegments(dir)
	if err != nil {
		return nil, err
	}
	j := &Journal{disk: d, dir: dir}
	for _, s := range segments {
		if err := j.replay(s, visit); err != nil {
			return nil, err
		}
		if err := d.syncPath(j.segmentPath(s)); err != nil {
			return nil, err
		}
		j.segment = s
	}
	return j, j.Rotate()
}

// replay calls visit for the records of one segment. Only its last frame may be
// incomplete, which is then skipped.
func (j *Journal) replay(segment uint64, visit func(Location, []byte) error) error {
	b, err := os.ReadFile(j.segmentPath(segment))
	if err != nil {
		return errors.Wrap(err, "store: read segment")
	}
	rest := b
	for len(rest) > 0 {
		payload, next, err := readFrame(rest)
		if err != nil {
			if containsFrame(rest[1:]) {
				return errors.Wrapf(ErrCorrupt, "%s at byte %d", filepath.Base(j.segmentPath(segment)), len(b)-len(rest))
			}
			return nil
		}
		payloadOffset := int64(len(b)-len(rest)) + frameHeaderBytes
		if err := forEachRecord(segment, payloadOffset, payload, visit); err != nil {
			return err
		}
		rest = next
	}
	return nil
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
	if j.writeFailed {
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

// Rotate starts a new segment.
func (j *Journal) Rotate() error {
	f, err := j.disk.openFile(j.segmentPath(j.segment+1), os.O_CREATE|os.O_EXCL|os.O_APPEND)
	if errors.Is(err, os.ErrExist) {
		j.segment++ // An earlier call created the file but failed to sync its directory.
		return j.Rotate()
	}
	if err != nil {
		return errors.Wrap(err, "store: open segment")
	}
	if err := j.disk.syncDir(j.dir); err != nil {
		_ = f.Close() // No frame has been written to it.
		return err
	}
	if j.file != nil {
		_ = j.file.Close() // Every acknowledged frame is already synced.
	}
	j.file, j.size, j.writeFailed = f, 0, false
	j.segment++
	return nil
}

// Segments returns the numbers of all segments, including the current one, in
// ascending order.
func (j *Journal) Segments() ([]uint64, error) { return listSegments(j.dir) }

// Remove removes a segment. The current segment is always kept.
func (j *Journal) Remove(segment uint64) error {
	if segment == j.segment {
		return nil
	}
	return j.disk.remove(j.segmentPath(segment))
}

// Close closes the journal. All appended records are already durable.
func (j *Journal) Close() error { return errors.Wrap(j.file.Close(), "store: close segment") }

func (j *Journal) segmentPath(segment uint64) string {
	return filepath.Join(j.dir, fmt.Sprintf("%s%016d", segmentPrefix, segment))
}
