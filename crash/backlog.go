package crash

import (
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// backlog holds what a process has reported and nobody has decoded yet, without a bound: a process that waits until its reports are
// decoded would write to its disk at the pace of the one that follows it.
type backlog struct {
	mu    sync.Mutex
	more  sync.Cond // signaled when data or ended changes; its L is mu
	data  bytes.Buffer
	ended bool
}

func newBacklog() *backlog {
	b := &backlog{}
	b.more.L = &b.mu
	return b
}

// fill reads from a pipe until its end.
func (b *backlog) fill(pipe io.Reader) error {
	buffer := make([]byte, pipeBytes)
	for {
		n, err := pipe.Read(buffer)
		b.mu.Lock()
		b.data.Write(buffer[:n])
		b.ended = err != nil
		b.more.Signal()
		b.mu.Unlock()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "crash: read the log of operations")
		}
	}
}

// Read implements [io.Reader]. It waits for data.
func (b *backlog) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.data.Len() == 0 && !b.ended {
		b.more.Wait()
	}
	return b.data.Read(p) // io.EOF at the end.
}
