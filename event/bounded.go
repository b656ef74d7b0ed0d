package event

import (
	"context"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Bounded is a writer that never makes its callers wait: lines wait in a queue
// of bounded length for [Bounded.Run] to write them, and those that find it full
// are dropped and counted. Set Out, then use it with [New]; it is safe for
// concurrent use.
type Bounded struct {
	// Out is where lines go.
	Out io.Writer

	queue chan []byte
}

// boundedLines is how many lines may wait.
const boundedLines = 4096

var droppedLines = metrics.NewCounter("banyanspur_event_dropped_lines_total")

// NewBounded returns a writer to out.
func NewBounded(out io.Writer) *Bounded {
	return &Bounded{Out: out, queue: make(chan []byte, boundedLines)}
}

// Write queues one line. It always succeeds.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		droppedLines.Inc()
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that still wait.
func (b *Bounded) Run(ctx context.Context) error {
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

// drain writes what waits.
func (b *Bounded) drain() {
	for {
		select {
		case line := <-b.queue:
			b.write(line)
		default:
			return
		}
	}
}

// write writes a line and those that wait behind it in one piece.
func (b *Bounded) write(line []byte) {
	for len(line) < maxPiece {
		select {
		case next := <-b.queue:
			line = append(line, next...)
			continue
		default:
		}
		break
	}
	if _, err := b.Out.Write(line); err != nil {
		droppedLines.Inc() // There is nowhere left to say so.
	}
}

// maxPiece bounds what is written in one piece, in bytes.
const maxPiece = 64 << 10
