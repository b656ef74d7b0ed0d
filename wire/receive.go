package wire

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// errFrameTimeout marks the end of a connection whose peer has begun a frame and not
	// finished it in time.
	errFrameTimeout = errors.New("wire: a frame was not received in time")
	// errFrameBudget marks the end of a connection whose frame was the largest when there was
	// no memory for all that were being received.
	errFrameBudget = errors.New("wire: too many large frames at once")
)

// frame is a received frame. It holds a part of the budget until it is released.
type frame struct {
	peer   string // IP address of the sender
	bytes  []byte
	cancel context.CancelCauseFunc // ends the receipt

	// The fields below are guarded by the mu of the budget.

	reserved int
	waiting  bool // for memory
}

// frameBudget bounds the memory of the frames that a process is receiving. A frame for which
// there is none left waits for frameWait, or until no frame can go on. Then the receipt of the
// largest frame of the peer that has most ends, so that hosts that send without end do not keep
// out the frames of others. It is safe for concurrent use.
type frameBudget struct {
	mu       sync.Mutex
	free     int // negative if the budget was reduced below what is held
	limit    int
	holders  map[*frame]struct{}
	released chan struct{} // closed with the next release
}

func newFrameBudget(size int) *frameBudget {
	return &frameBudget{free: size, limit: size, holders: map[*frame]struct{}{}, released: make(chan struct{})}
}

// setLimit changes the size of the budget.
func (b *frameBudget) setLimit(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += size - b.limit
	b.limit = size
}

// take reserves n bytes for a further part of f.
func (b *frameBudget) take(ctx context.Context, f *frame, n int) error {
	timer := time.NewTimer(frameWait)
	defer timer.Stop()
	for late := false; ; {
		released, victim := b.tryTake(f, n, late)
		switch {
		case released == nil:
			return nil
		case victim == f:
			return errFrameBudget
		case victim != nil:
			victim.cancel(errFrameBudget)
		}
		select {
		case <-released:
		case <-timer.C:
			late = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryTake reserves n bytes for f. If there are none, it returns a channel that is closed once some
// are released, and the frame whose receipt must end, if f has waited for long enough or no frame
// can go on.
func (b *frameBudget) tryTake(f *frame, n int, late bool) (released chan struct{}, victim *frame) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f.waiting = false
	if b.free >= n {
		b.free -= n
		f.reserved += n
		b.holders[f] = struct{}{}
		return nil, nil
	}
	f.waiting = true
	peers := map[string]int{f.peer: f.reserved}
	for o := range b.holders {
		if !o.waiting && !late {
			return b.released, nil
		}
		if o != f {
			peers[o.peer] += o.reserved
		}
	}
	victim = f
	for o := range b.holders {
		if peers[o.peer] > peers[victim.peer] || o.peer == victim.peer && o.reserved > victim.reserved {
			victim = o
		}
	}
	return b.released, victim
}

// release returns what f holds. It may be called more than once.
func (b *frameBudget) release(f *frame) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.reserved == 0 {
		return
	}
	b.free += f.reserved
	f.reserved = 0
	delete(b.holders, f)
	close(b.released)
	b.released = make(chan struct{})
}

// readFrame reads one frame, which must be released. It takes memory for what has been
// received, not for what the peer announces.
func (s *stream) readFrame(ctx context.Context) (*frame, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	_, r, err := s.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	timer := time.AfterFunc(s.frameTimeout, func() { cancel(errFrameTimeout) })
	defer timer.Stop()
	f := &frame{peer: s.peer, cancel: cancel}
	if err := f.read(ctx, r, s.budget, s.liveness.received); err != nil {
		s.budget.frames.release(f)
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
			err = cause
		}
		return nil, err
	}
	return f, nil
}

// read reads a frame in parts, each as large as all before it up to chunkBytes, which it joins
// once the frame is complete. It calls progress for each large part.
func (f *frame) read(ctx context.Context, r io.Reader, b *Budget, progress func()) error {
	var parts [][]byte
	for size, partSize := 0, freePartBytes; ; {
		if size > 0 { // The first part is as small as the buffers of a connection.
			if err := b.frames.take(ctx, f, partSize); err != nil {
				return err
			}
		}
		part := make([]byte, partSize)
		n, err := io.ReadFull(r, part)
		parts, size = append(parts, part[:n]), size+n
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			f.bytes = b.join(parts, size)
			return nil
		}
		if err != nil {
			return err
		}
		partSize = min(size, chunkBytes)
		if partSize == chunkBytes {
			progress()
		}
	}
}

// join returns parts in one buffer. One frame after another is joined, since its memory is taken
// twice meanwhile.
func (b *Budget) join(parts [][]byte, size int) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	b.joinMu.Lock()
	defer b.joinMu.Unlock()
	joined := make([]byte, 0, size)
	for i, p := range parts {
		joined = append(joined, p...)
		parts[i] = nil
	}
	return joined
}
