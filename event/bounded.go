package event

import (
	"context"
	"io"

	"github.com/VictoriaMetrics/metrics"
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
