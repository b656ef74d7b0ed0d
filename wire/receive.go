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

// received is the budget for large frames that this process is receiving.
var received = newFrameBudget(frameBudgetBytes)

// frame is a received frame. It holds a part of the budget until it is released.
type frame struct {
	bytes    []byte
	reserved int
	cancel   context.CancelCauseFunc // ends the receipt
}

// frameBudget bounds the memory of large frames. If there is none left, the receipt of the
// largest frame ends, so that hosts that send without end do not keep out the frames of
// others. It is safe for concurrent use.
type frameBudget struct {
	mu       sync.Mutex
	free     int
	holders  map[*frame]struct{}
	released chan struct{} // closed with the next release
}

func newFrameBudget(size int) *frameBudget {
	return &frameBudget{free: size, holders: map[*frame]struct{}{}, released: make(chan struct{})}
}

// take reserves memory for a further chunk of f.
func (b *frameBudget) take(ctx context.Context, f *frame) error {
	for {
		released, largest := b.tryTake(f)
		if released == nil {
			return nil
		}
		if largest == f {
			return errFrameBudget
		}
		largest.cancel(errFrameBudget)
		select {
		case <-released:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryTake reserves memory for a chunk of f. If there is none, it returns a channel that is
// closed once some is released, and the largest frame.
func (b *frameBudget) tryTake(f *frame) (released chan struct{}, largest *frame) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free >= chunkBytes {
		b.free -= chunkBytes
		f.reserved += chunkBytes
		b.holders[f] = struct{}{}
		return nil, nil
	}
	largest = f
	for o := range b.holders {
		if o.reserved > largest.reserved {
			largest = o
		}
	}
	return b.released, largest
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
	f := &frame{cancel: cancel}
	if err := f.read(ctx, r, s.liveness.received); err != nil {
		received.release(f)
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
			err = cause
		}
		return nil, err
	}
	return f, nil
}

// read reads a frame in chunks, which it joins once the frame is complete. It calls progress
// for each chunk.
func (f *frame) read(ctx context.Context, r io.Reader, progress func()) (err error) {
	f.bytes, err = io.ReadAll(io.LimitReader(r, chunkBytes))
	if err != nil || len(f.bytes) < chunkBytes {
		return err
	}
	chunks, size := [][]byte{f.bytes}, len(f.bytes)
	for {
		progress()
		if err := received.take(ctx, f); err != nil {
			return err
		}
		chunk := make([]byte, chunkBytes)
		n, err := io.ReadFull(r, chunk)
		chunks, size = append(chunks, chunk[:n]), size+n
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			f.bytes = make([]byte, 0, size)
			for _, c := range chunks {
				f.bytes = append(f.bytes, c...)
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}
