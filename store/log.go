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

// ErrCorrupt is returned if stored data is damaged, other than by an incomplete
// write at the end of a log.
var ErrCorrupt = errors.New("store: data is corrupt")

const (
	segmentPrefix = "log-"
	snapshotName  = "snapshot"
	dirMode       = 0o700
	fileMode      = 0o600
)

// Recovered is the state that [Open] read from the directory.
type Recovered struct {
	// Snapshot is the last snapshot written, or nil.
	Snapshot []byte
	// Frames contains the payloads of all frames since the log's last reset, in
	// the order in which they were written.
	Frames [][]byte
	// TruncatedBytes is the size of the incomplete last frame that was removed from
	// the end of the log, or 0.
	TruncatedBytes int
}

// Log is an append-only log of frames. It is not safe for concurrent use.
type Log struct {
	disk    Disk
	dir     string
	file    *os.File
	segment uint64
	size    int64
	err     error // the first error; permanent, since a sync after a failed one proves nothing
}

// Open is [Disk.Open] of the zero Disk.
func Open(dir string) (*Log, Recovered, error) { return Disk{}.Open(dir) }

// Open opens the log in directory dir, which it creates if needed, and returns
// the log and its content. It returns [ErrCorrupt] if the snapshot or a frame
// other than an incomplete last one is damaged.
func (d Disk) Open(dir string) (*Log, Recovered, error) {
	if err := d.MakeDir(dir); err != nil {
		return nil, Recovered{}, err
	}
	segments, err := listSegments(dir)
	if err != nil {
		return nil, Recovered{}, err
	}
	if err := checkLog(dir, segments); err != nil {
		return nil, Recovered{}, err
	}
	l := &Log{disk: d, dir: dir}
	r, err := l.recover(segments)
	if err != nil {
		return nil, Recovered{}, err
	}
	if err := l.openLastSegment(segments); err != nil {
		return nil, Recovered{}, err
	}
	return l, r, nil
}

// HasFrames reports whether the log in directory dir contains anything, without
// opening it. The directory need not exist.
func HasFrames(dir string) (bool, error) {
	segments, err := listSegments(dir)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	l := &Log{dir: dir}
	for _, segment := range segments {
		info, err := os.Stat(l.segmentPath(segment))
		if err != nil && !errors.Is(err, os.ErrNotExist) { // Removed meanwhile by a reset.
			return false, errors.Wrap(err, "store: stat segment")
		}
		if err == nil && info.Size() > 0 {
			return true, nil
		}
	}
	return false, nil
}

// recover reads the snapshot and all frames, and removes an incomplete last
// frame.
func (l *Log) recover(segments []uint64) (Recovered, error) {
	var r Recovered
	var err error
	if r.Snapshot, err = ReadSnapshot(l.dir); err != nil {
		return r, err
	}
	for i, segment := range segments {
		last := i == len(segments)-1
		frames, truncated, err := l.disk.readSegment(l.segmentPath(segment), last)
		if err != nil {
			return r, err
		}
		if err := l.disk.syncPath(l.segmentPath(segment)); err != nil {
			return r, err
		}
		r.Frames = append(r.Frames, frames...)
		r.TruncatedBytes += truncated
	}
	return r, nil
}

// readSegment returns the payloads of the frames in one segment. In the last
// segment, it removes an incomplete frame from the end and returns its size as
// truncated. In any other segment, an incomplete frame is corruption.
func (d Disk) readSegment(path string, last bool) (frames [][]byte, truncated int, err error) {
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
	offset := len(b) - len(rest)
	if !last || containsFrame(rest[1:]) {
		return nil, 0, errors.Wrapf(ErrCorrupt, "%s at byte %d", filepath.Base(path), offset)
	}
	if err := d.truncatePath(path, int64(offset)); err != nil {
		return nil, 0, err
	}
	return frames, len(rest), nil
}

// truncatePath truncates a file to size and syncs it.
func (d Disk) truncatePath(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "store: open segment to truncate")
	}
	defer f.Close()
	if err := d.truncate(f, size); err != nil {
		return err
	}
	return errors.Wrap(d.sync(f), "store: sync truncated segment")
}

// openLastSegment opens the last segment for appending, or the first one of a
// new log.
func (l *Log) openLastSegment(segments []uint64) error {
	l.segment = 1
	if len(segments) > 0 {
		l.segment = segments[len(segments)-1]
	}
	return l.openSegment()
}

// openSegment opens the segment l.segment for appending and creates it if
// needed.
func (l *Log) openSegment() error {
	f, err := l.disk.openFile(l.segmentPath(l.segment), os.O_CREATE|os.O_APPEND)
	if err != nil {
		return errors.Wrap(err, "store: open segment")
	}
	info, err := f.Stat()
	if err != nil {
		return errors.Wrap(err, "store: stat segment")
	}
	l.file = f
	l.size = info.Size()
	return l.disk.syncFoundDir(l.dir)
}

// Append writes payload as one frame and returns once it is durable. After an
// error, all further writes fail.
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
	if err := l.disk.write(l.file, frame); err != nil {
		return errors.Wrap(err, "store: write frame")
	}
	l.size += int64(len(frame))
	return errors.Wrap(l.disk.sync(l.file), "store: sync segment")
}

// Size returns the number of bytes in the current segment.
func (l *Log) Size() int64 { return l.size }

// Reset makes snapshot durable, starts a new segment with first as its first
// frame, and removes all earlier segments. Therefore first must contain
// everything in the removed frames that is not in the snapshot. After an error,
// all further writes fail.
func (l *Log) Reset(snapshot, first []byte) error {
	if l.err != nil {
		return l.err
	}
	l.err = l.reset(snapshot, first)
	return l.err
}

func (l *Log) reset(snapshot, first []byte) error {
	if err := l.disk.writeSnapshot(l.dir, snapshot); err != nil {
		return err
	}
	oldFile := l.file
	l.segment++
	if err := l.openSegment(); err != nil {
		return err
	}
	_ = oldFile.Close() // All its frames are already synced.
	if err := l.write(first); err != nil {
		return err
	}
	return l.removeBefore(l.segment)
}

// removeBefore removes all segments with a lower number.
func (l *Log) removeBefore(segment uint64) error {
	segments, err := listSegments(l.dir)
	if err != nil {
		return err
	}
	for _, s := range segments {
		if s >= segment {
			continue
		}
		if err := l.disk.remove(l.segmentPath(s)); err != nil {
			return err
		}
	}
	return l.disk.syncDir(l.dir)
}

// Close closes the log. All appended frames are already durable.
func (l *Log) Close() error {
	if l.err == nil {
		l.err = errors.New("store: log is closed")
	}
	return errors.Wrap(l.file.Close(), "store: close segment")
}

func (l *Log) segmentPath(segment uint64) string {
	return filepath.Join(l.dir, fmt.Sprintf("%s%016d", segmentPrefix, segment))
}

// listSegments returns the numbers of the segments in directory dir in ascending
// order.
func listSegments(dir string) ([]uint64, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "store: list directory")
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
