package store

import (
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Place is where a record of a [Journal] lies.
type Place struct {
	Segment uint64
	Offset  int64
	Length  int32
	// Sum guards the record when it is read back.
	Sum uint32
}

// Journal is a log of records that are read back by their [Place] and
// forgotten by whole segments, oldest first. Unlike a [Log] it goes on after a
// failed write, in a new segment: what was not acknowledged may or may not be
// found again. [Journal.Read] is safe for concurrent use; all else is for one
// goroutine.
type Journal struct {
	dir     string
	file    *os.File
	segment uint64
	size    int64
	broken  bool // the current segment's end is unknown
}

// OpenJournal opens the journal in folder dir and makes the folder if it is
// missing. It calls visit for each record found, in the order in which they
// were written, and then starts a new segment. It returns [ErrCorrupt] if a
// frame is damaged that others follow.
func OpenJournal(dir string, visit func(at Place, record []byte) error) (*Journal, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, errors.Wrap(err, "store: make folder")
	}
	segments, err := listSegments(dir)
	if err != nil {
		return nil, err
	}
	j := &Journal{dir: dir}
	for _, s := range segments {
		if err := j.replay(s, visit); err != nil {
			return nil, err
		}
		j.segment = s
	}
	return j, j.Rotate()
}

// replay visits the records of one segment. A frame that was not finished may
// only be the last.
func (j *Journal) replay(segment uint64, visit func(Place, []byte) error) error {
	b, err := os.ReadFile(j.path(segment))
	if err != nil {
		return errors.Wrap(err, "store: read segment")
	}
	rest := b
	for len(rest) > 0 {
		payload, next, err := readFrame(rest)
		if err != nil {
			if hasFrame(rest[1:]) {
				return errors.Wrapf(ErrCorrupt, "%s at byte %d", filepath.Base(j.path(segment)), len(b)-len(rest))
			}
			return nil
		}
		start := int64(len(b)-len(rest)) + frameHeaderBytes
		if err := eachRecord(segment, start, payload, visit); err != nil {
			return err
		}
		rest = next
	}
	return nil
}

// eachRecord splits a frame's payload, which holds records with their lengths.
func eachRecord(segment uint64, start int64, payload []byte, visit func(Place, []byte) error) error {
	for at := 0; at < len(payload); {
		if len(payload)-at < lengthBytes {
			return errors.Wrap(ErrCorrupt, "record without a length")
		}
		n := int(getLength(payload[at:]))
		at += lengthBytes
		if n > len(payload)-at {
			return errors.Wrap(ErrCorrupt, "record longer than its frame")
		}
		record := payload[at : at+n]
		place := Place{Segment: segment, Offset: start + int64(at), Length: int32(n), Sum: crc32.Checksum(record, castagnoli)}
		if err := visit(place, record); err != nil {
			return err
		}
		at += n
	}
	return nil
}

// Append writes records as one frame and returns their places once they are
// durable. After an error none of them may be relied on.
func (j *Journal) Append(records [][]byte) ([]Place, error) {
	if j.broken {
		if err := j.Rotate(); err != nil {
			return nil, err
		}
	}
	var payload []byte
	places := make([]Place, len(records))
	for i, r := range records {
		payload = appendLength(payload, uint32(len(r)))
		places[i] = Place{
			Segment: j.segment, Offset: j.size + frameHeaderBytes + int64(len(payload)),
			Length: int32(len(r)), Sum: crc32.Checksum(r, castagnoli),
		}
		payload = append(payload, r...)
	}
	frame := appendFrame(make([]byte, 0, frameHeaderBytes+len(payload)), payload)
	if err := j.write(frame); err != nil {
		j.broken = true
		return nil, err
	}
	j.size += int64(len(frame))
	return places, nil
}

func (j *Journal) write(frame []byte) error {
	if _, err := j.file.Write(frame); err != nil {
		return errors.Wrap(err, "store: write")
	}
	return errors.Wrap(j.file.Sync(), "store: sync")
}

// Read returns the record at a place. It returns [ErrCorrupt] if the record is
// damaged, and an error that is [os.ErrNotExist] if its segment was forgotten.
func (j *Journal) Read(at Place) ([]byte, error) {
	f, err := os.Open(j.path(at.Segment))
	if err != nil {
		return nil, errors.Wrap(err, "store: open segment")
	}
	defer f.Close()
	b := make([]byte, at.Length)
	if _, err := f.ReadAt(b, at.Offset); err != nil {
		return nil, errors.Wrap(err, "store: read record")
	}
	if crc32.Checksum(b, castagnoli) != at.Sum {
		return nil, errors.Wrap(ErrCorrupt, "record")
	}
	return b, nil
}

// Segment returns the number of the current segment; it rises with time.
func (j *Journal) Segment() uint64 { return j.segment }

// Size returns the number of bytes in the current segment.
func (j *Journal) Size() int64 { return j.size }

// Rotate starts a new segment.
func (j *Journal) Rotate() error {
	f, err := os.OpenFile(j.path(j.segment+1), os.O_CREATE|os.O_EXCL|os.O_APPEND|os.O_WRONLY, fileMode)
	if errors.Is(err, os.ErrExist) {
		j.segment++ // An earlier try made the file and failed to sync its folder.
		return j.Rotate()
	}
	if err != nil {
		return errors.Wrap(err, "store: open segment")
	}
	if err := syncFolder(j.dir); err != nil {
		_ = f.Close() // Nothing was written to it.
		return err
	}
	if j.file != nil {
		_ = j.file.Close() // Every frame that counts is synced.
	}
	j.file, j.size, j.broken = f, 0, false
	j.segment++
	return nil
}

// Forget removes all segments before the given one.
func (j *Journal) Forget(before uint64) error {
	segments, err := listSegments(j.dir)
	if err != nil {
		return err
	}
	for _, s := range segments {
		if s >= min(before, j.segment) {
			continue
		}
		if err := os.Remove(j.path(s)); err != nil {
			return errors.Wrap(err, "store: remove segment")
		}
	}
	return nil
}

// Close closes the journal. All that was appended is durable already.
func (j *Journal) Close() error { return errors.Wrap(j.file.Close(), "store: close") }

func (j *Journal) path(segment uint64) string {
	return filepath.Join(j.dir, fmt.Sprintf("%s%016d", segmentPrefix, segment))
}
