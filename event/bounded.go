package event

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
)

// BoundedWriter is an asynchronous writer that never blocks its callers. It places
// lines in a queue of limited length, from which [BoundedWriter.Run] writes them
// to Out. Lines that arrive while the queue is full are dropped and counted in
// banyanspur_event_dropped_lines_total. Create it with [NewBoundedWriter] and pass
// it to [New]. It is safe for concurrent use.
type BoundedWriter struct {
	// Out receives the queued lines. It must not change while Run is running.
	Out io.Writer

	queue chan []byte
}

// maxQueuedLines is the capacity of the queue.
const maxQueuedLines = 4096

var droppedLines = metrics.NewCounter("banyanspur_event_dropped_lines_total")

// NewBoundedWriter returns a writer with an empty queue that writes to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	return &BoundedWriter{Out: out, queue: make(chan []byte, maxQueuedLines)}
}

// Write queues a copy of line, or drops the line if the queue is full. It never
// returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		droppedLines.Inc()
	}
	return len(line), nil
}

// Run writes queued lines to Out until ctx ends. It then writes the lines that
// are still queued and returns nil.
func (b *BoundedWriter) Run(ctx context.Context) error {
	for {
		select {
		case line := <-b.queue:
			b.write(line)
		case <-ctx.Done():
			b.drain()
			return nil
		}
	}
}

// drain writes queued lines until the queue is empty.
func (b *BoundedWriter) drain() {
	for {
		select {
		case line := <-b.queue:
			b.write(line)
		default:
			return
		}
	}
}

// write writes line, together with the lines queued behind it, in a single
// call of Out.Write.
func (b *BoundedWriter) write(line []byte) {
	for len(line) < maxBatchBytes {
		select {
		case next := <-b.queue:
			line = append(line, next...)
			continue
		default:
		}
		break
	}
	if _, err := b.Out.Write(line); err != nil {
		droppedLines.Inc() // The error cannot be logged, since this is the log.
	}
}

// maxBatchBytes is the batch size, in bytes, from which write adds no further
// lines.
const maxBatchBytes = 64 << 10

// flushTimeout bounds how long the stop of [NewAsync] waits for the lines that are still
// queued. A reader that takes longer has stopped reading.
const flushTimeout = time.Second

// NewAsync returns a log that writes to out by a [BoundedWriter], so that a reader of out that
// is slow, or reads no more, holds up no caller. stop writes the lines that are still queued,
// for at most a second.
func NewAsync(out io.Writer) (log Log, stop func()) {
	w := NewBoundedWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(ended)
		return w.Run(ctx)
	})
	return New(w), func() {
		cancel()
		timer := time.NewTimer(flushTimeout)
		defer timer.Stop()
		select {
		case <-ended:
		case <-timer.C: // The write under way ends with the process.
		}
	}
}
