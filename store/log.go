package store

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrCorrupt tells that a frame before the end of the log is damaged.
var ErrCorrupt = errors.New("store: log is corrupt")

const (
	segmentPrefix = "log-"
	snapshotName  = "snapshot"
	folderMode    = 0o700
	fileMode      = 0o600
)

// Recovered is what [Open] found.
type Recovered struct {
	// Snapshot is the last snapshot written, or nil.
	Snapshot []byte
	// Frames holds the payloads of all frames since the log's last reset, in
	// the order in which they were written.
	Frames [][]byte
	// Cut is the number of bytes of an unfinished frame that were cut from
	// the end.
	Cut int
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	dir     string
	file    *os.File
	segment uint64
	size    int64
	err     error // the first failure; sticky, since a failed sync proves nothing afterwards
}

// Open opens the log in folder dir and makes the folder if it is missing. It
// returns [ErrCorrupt] if a frame other than an unfinished last one is
// damaged.
func Open(dir string) (*Log, Recovered, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, Recovered{}, errors.Wrap(err, "store: make folder")
	}
	segments, err := listSegments(dir)
	if err != nil {
		return nil, Recovered{}, err
	}
	l := &Log{dir: dir}
	r, err := l.recover(segments)
	if err != nil {
		return nil, Recovered{}, err
	}
	if err := l.openLast(segments); err != nil {
		return nil, Recovered{}, err
	}
	return l, r, nil
}

// recover reads the snapshot and all frames, and cuts an unfinished last one.
func (l *Log) recover(segments []uint64) (Recovered, error) {
	var r Recovered
	var err error
	if r.Snapshot, err = ReadSnapshot(l.dir); err != nil {
		return r, err
	}
	for i, segment := range segments {
		last := i == len(segments)-1
		frames, cut, err := readSegment(l.path(segment), last)
		if err != nil {
			return r, err
		}
		r.Frames = append(r.Frames, frames...)
		r.Cut += cut
	}
	return r, nil
}

// readSegment returns the frames of one segment. Only in the last segment may
// the end be unfinished; it is then cut off.
func readSegment(path string, last bool) (frames [][]byte, cut int, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "store: read segment")
	}
	rest := b
	for len(rest) > 0 {
		var payload []byte
		payload, rest, err = readFrame(rest)
		if err != nil {
			break
		}
		frames = append(frames, payload)
	}
	if len(rest) == 0 {
		return frames, 0, nil
	}
	at := len(b) - len(rest)
	if !last || hasFrame(rest[1:]) {
		return nil, 0, errors.Wrapf(ErrCorrupt, "%s at byte %d", filepath.Base(path), at)
	}
	if err := truncate(path, int64(at)); err != nil {
		return nil, 0, err
	}
	return frames, len(rest), nil
}

func truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "store: open to cut")
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return errors.Wrap(err, "store: cut")
	}
	return errors.Wrap(f.Sync(), "store: sync after cut")
}

func (l *Log) openLast(segments []uint64) error {
	l.segment = 1
	if len(segments) > 0 {
		l.segment = segments[len(segments)-1]
	}
	return l.openSegment()
}

func (l *Log) openSegment() error {
	f, err := os.OpenFile(l.path(l.segment), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "store: open segment")
	}
	info, err := f.Stat()
	if err != nil {
		return errors.Wrap(err, "store: stat segment")
	}
	l.file = f
	l.size = info.Size()
	return syncFolder(l.dir)
}

// Append writes payload as one frame and returns once it is durable. After an
// error the log accepts nothing more.
func (l *Log) Append(payload []byte) error {
	if l.err != nil {
		return l.err
	}
	l.err = l.write(payload)
	return l.err
}

func (l *Log) write(payload []byte) error {
	if len(payload) > MaxFrameBytes {
		return errors.Newf("store: frame of %d bytes is larger than %d", len(payload), MaxFrameBytes)
	}
	frame := appendFrame(make([]byte, 0, frameHeaderBytes+len(payload)), payload)
	if _, err := l.file.Write(frame); err != nil {
		return errors.Wrap(err, "store: write")
	}
	l.size += int64(len(frame))
	return errors.Wrap(l.file.Sync(), "store: sync")
}

// Size returns the number of bytes in the current segment.
func (l *Log) Size() int64 { return l.size }

// Reset makes snapshot durable, starts a new segment whose first frame is
// first, and removes the segments before it. The first frame must therefore
// restate all that the removed ones said and that the snapshot does not. After
// an error the log accepts nothing more.
func (l *Log) Reset(snapshot, first []byte) error {
	if l.err != nil {
		return l.err
	}
	l.err = l.reset(snapshot, first)
	return l.err
}

func (l *Log) reset(snapshot, first []byte) error {
	if err := writeSnapshot(l.dir, snapshot); err != nil {
		return err
	}
	old := l.file
	l.segment++
	if err := l.openSegment(); err != nil {
		return err
	}
	_ = old.Close() // Every frame in it is synced already.
	if err := l.write(first); err != nil {
		return err
	}
	return l.removeBefore(l.segment)
}

func (l *Log) removeBefore(segment uint64) error {
	segments, err := listSegments(l.dir)
	if err != nil {
		return err
	}
	for _, s := range segments {
		if s >= segment {
			continue
		}
		if err := os.Remove(l.path(s)); err != nil {
			return errors.Wrap(err, "store: remove segment")
		}
	}
	return syncFolder(l.dir)
}

// Close closes the log. All that was appended is durable already.
func (l *Log) Close() error {
	if l.err == nil {
		l.err = errors.New("store: log is closed")
	}
	return errors.Wrap(l.file.Close(), "store: close")
}

func (l *Log) path(segment uint64) string {
	return filepath.Join(l.dir, fmt.Sprintf("%s%016d", segmentPrefix, segment))
}

func listSegments(dir string) ([]uint64, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "store: list folder")
	}
	var segments []uint64
	for _, e := range entries {
		name, ok := strings.CutPrefix(e.Name(), segmentPrefix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(name, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(ErrCorrupt, "unexpected file %s", e.Name())
		}
		segments = append(segments, n)
	}
	slices.Sort(segments)
	return segments, nil
}
