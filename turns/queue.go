package turns

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Live writes, whose callers wait, have a queue of their own and go first. Copies, which arrive in megabytes, fill the
// rest of a batch up to a bound that [diskTimes] sets, so that a live write waits for the batch under way and its own
// one, and not for all that is copied.

// copyQueue holds the writes of copies that wait for the disk, in an order by slack. The zero value is empty. It is
// safe for concurrent use.
type copyQueue struct {
	mu     sync.Mutex
	writes []pendingWrite
	bytes  int // of all writes
}

// push adds writes, and signals ready, a channel with a capacity of 1.
func (q *copyQueue) push(ready chan<- struct{}, writes ...pendingWrite) {
	q.mu.Lock()
	for _, w := range writes {
		q.bytes += w.bytes()
		i := indexBySlack(q.writes, w.slack, func(w pendingWrite) slack { return w.slack })
		q.writes = slices.Insert(q.writes, i, w)
	}
	q.mu.Unlock()
	signal(ready)
}

// take removes the first writes, up to a number of bytes but at least one write, and signals ready if others remain.
func (q *copyQueue) take(ready chan<- struct{}, most int) (taken []pendingWrite) {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := 0
	for len(q.writes) > 0 {
		next := q.writes[0].bytes()
		if len(taken) > 0 && size+next > most {
			break
		}
		size += next
		taken, q.writes = append(taken, q.writes[0]), q.writes[1:]
	}
	q.bytes -= size
	if len(q.writes) > 0 {
		signal(ready)
	} else {
		q.writes = nil
	}
	return taken
}

// queued returns the bytes that wait.
func (q *copyQueue) queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes
}

// signal sends to a channel with a capacity of 1 unless it has an element.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// bytes estimates the size of the records of a write.
func (w pendingWrite) bytes() (n int) {
	for _, r := range w.records {
		n += r.estimatedBytes()
	}
	return n
}

// Sizes of records beside inputs and outputs, in bytes: IDs, and the fields of a claim.
const (
	recordOverhead = 200
	claimBytes     = 100
)

// estimatedBytes estimates the size of the encoded record.
func (r record) estimatedBytes() int {
	if r.Turn != nil {
		return recordOverhead + r.Turn.dataBytes()
	}
	return recordOverhead + claimBytes*len(r.Program.Claims)
}

// collectBatch returns the given live write, if any, and those in the queue, up to [maxBatchBytes], so that they share
// one sync, and as many copies as the batch has room for beside these and the given rewrites.
func (s *Store) collectBatch(rewrites []rewrite, live ...pendingWrite) []pendingWrite {
	batch := s.collectLive(live...)
	queued := s.copies.queued()
	if queued == 0 {
		return batch
	}
	most := min(s.diskTimes.copyBytes(queued, len(batch) > 0), max(maxBatchBytes-estimateBytes(batch), minCopyBatchBytes))
	for _, r := range rewrites {
		most -= len(r.encoded)
	}
	if most <= 0 {
		return batch
	}
	return append(batch, s.copies.take(s.copiesReady, most)...)
}

// estimateBytes estimates the size of the records of a batch.
func estimateBytes(batch []pendingWrite) (n int) {
	for _, w := range batch {
		n += w.bytes()
	}
	return n
}

// collectLive returns the given writes and the live ones in the queue, up to [maxBatchBytes]. It leaves out those that nobody
// waits for any longer: a store that writes them as well is later with each write that follows, and never in time again.
func (s *Store) collectLive(first ...pendingWrite) (batch []pendingWrite) {
	size := 0
	add := func(w pendingWrite) {
		if w.ctx.Err() != nil {
			expiredWrites.Inc()
			return
		}
		batch = append(batch, w)
		size += w.bytes()
	}
	for _, w := range first {
		add(w)
	}
	for size < maxBatchBytes {
		select {
		case w := <-s.queue:
			add(w)
		default:
			return batch
		}
	}
	return batch
}

// persist writes records of a live turn to the journal and returns once they are durable.
func (s *Store) persist(ctx context.Context, records ...record) error {
	return s.enqueue(ctx, pendingWrite{records: records})
}

// enqueue queues a live write and returns once it is durable.
func (s *Store) enqueue(ctx context.Context, w pendingWrite) error {
	done := make(chan error, 1)
	w.ctx, w.done, w.queuedAt = ctx, done, time.Now()
	select {
	case s.queue <- w:
	case <-ctx.Done():
		return errOverloaded
	}
	return awaitWrite(ctx, done)
}

// enqueueCopies queues records of copies of a shard, in writes that leave room for others in a batch, and returns once all are
// durable. Turns that the store already has when they are written are left out.
func (s *Store) enqueueCopies(ctx context.Context, of slack, records []record) error {
	var writes []pendingWrite
	begin, size := 0, 0
	for i, r := range records {
		if n := r.estimatedBytes(); i > begin && size+n > minCopyBatchBytes {
			writes = append(writes, pendingWrite{records: records[begin:i]})
			begin, size = i, n
		} else {
			size += n
		}
	}
	if begin < len(records) {
		writes = append(writes, pendingWrite{records: records[begin:]})
	}
	done := make(chan error, len(writes))
	for i := range writes {
		writes[i].kind, writes[i].slack, writes[i].skipKnown, writes[i].done, writes[i].queuedAt = copyKind, of, true, done, time.Now()
	}
	s.copies.push(s.copiesReady, writes...)
	for range writes {
		if err := awaitWrite(ctx, done); err != nil {
			return err
		}
	}
	return nil
}

// awaitWrite returns the outcome of a write that is queued.
func awaitWrite(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		if err != nil {
			return errDiskFailed
		}
		return nil
	case <-ctx.Done():
		return errOverloaded.WithRan(types.MayHaveRun)
	}
}
