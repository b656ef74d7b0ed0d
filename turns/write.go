package turns

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// pendingWrite is a list of records that waits for the disk. The error of the
// write, or nil, is sent to done.
type pendingWrite struct {
	// ctx ends when nobody waits for a live write any longer.
	ctx      context.Context //nolint:containedctx // The write waits in a queue.
	kind     writeKind
	slack    slack // of the shard, for copies
	queuedAt time.Time
	records  []record
	// skipKnown leaves out turns that the store already has when the write begins.
	skipKnown bool
	done      chan<- error
}

// Run performs the writes to disk until ctx ends. The first thing it does is to start a segment: the
// first requests would wait for that, which takes three syncs.
func (s *Store) Run(ctx context.Context) error {
	defer s.journal.Close()
	if err := s.journal.Prepare(); err != nil {
		s.Log.Write(event.DiskIOFailed, event.Fields{"error": err.Error(), "step": "rotate"}) // The first write tries again.
	}
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	g.Go(func() error {
		s.createSpares(ctx)
		return nil
	})
	defer func() {
		cancel()
		_ = g.Wait() // The goroutine always returns nil.
	}()
	s.wantSpare()
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-s.queue:
			s.writeNext(w)
		case <-s.copiesReady:
			s.writeNext()
		case unused := <-s.compactions:
			unused <- s.compact()
		}
		if s.journal.Size() > maxSegmentBytes {
			if err := s.rotate(); err != nil {
				s.Log.Write(event.DiskIOFailed, event.Fields{"error": err.Error(), "step": "rotate"})
			}
		}
	}
}

// writeNext writes the next batch, if any write waits. A live write may have been received already.
func (s *Store) writeNext(live ...pendingWrite) {
	if batch := s.collectBatch(nil, live...); len(batch) > 0 {
		_ = s.writeBatch(batch, nil) // It reports to the writes.
	}
}

// createSpares creates segments ahead until ctx ends.
func (s *Store) createSpares(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.spareWanted:
		}
		if err := s.journal.CreateSpare(); err != nil {
			s.Log.Write(event.DiskIOFailed, event.Fields{"error": err.Error(), "step": "rotate"}) // The rotation tries again.
		}
	}
}

// wantSpare lets a segment be created ahead.
func (s *Store) wantSpare() {
	select {
	case s.spareWanted <- struct{}{}:
	default:
	}
}

// rewrite is a record that is written again, so that its segment can be removed.
type rewrite struct {
	encoded []byte
	// moved is called with the new location once the record is durable. The caller holds mu.
	moved func(store.Location)
}

// writeBatch appends all records of a batch, and rewrites, to the journal with one sync, adds
// them to the index and reports the outcome to each write.
func (s *Store) writeBatch(batch []pendingWrite, rewrites []rewrite) error {
	begun := time.Now()
	records, kinds := s.recordsToWrite(batch)
	for range rewrites {
		kinds = append(kinds, rewriteKind)
	}
	encoded := make([][]byte, 0, len(records)+len(rewrites))
	for _, r := range records {
		encoded = append(encoded, types.Encode(r))
	}
	for _, r := range rewrites {
		encoded = append(encoded, r.encoded)
	}
	batchWrites.Update(float64(len(batch)))
	sizes := sizesOf(kinds, encoded)
	sizes.record()
	startedAt := time.Now()
	locations, err := s.journal.Append(encoded)
	appendSeconds.UpdateDuration(startedAt)
	if took := time.Since(startedAt); took > slowWrite {
		fields := sizes.fields()
		fields["ms"], fields["writes"], fields["longestWaitMs"] = took.Milliseconds(), len(batch), longestWait(batch).Milliseconds()
		fields["copyBound"], fields["copiesWaiting"] = s.diskTimes.bound, s.copies.queued()
		s.Log.Write(event.StoreWriteSlow, fields)
	}
	if err != nil {
		s.Log.Write(event.DiskIOFailed, event.Fields{"error": err.Error(), "records": len(encoded)})
	} else {
		s.mu.Lock()
		for i, r := range records {
			s.index.add(r, locations[i], s.retained)
		}
		for i, r := range rewrites {
			r.moved(locations[len(records)+i])
		}
		s.mu.Unlock()
	}
	s.diskTimes.add(sizes.bytes[copyKind]+sizes.bytes[rewriteKind], time.Since(begun))
	for _, w := range batch {
		if w.kind == liveKind {
			liveWriteSeconds.UpdateDuration(w.queuedAt)
		}
		w.done <- err
	}
	return err
}

// slowWrite is how long a write of a batch takes at least to be logged.
const slowWrite = 250 * time.Millisecond

// recordsToWrite returns the records of a batch, and the kind of each. Requests that are repeated while the
// disk stalls wait for it together with the first ones: their turns are written once.
func (s *Store) recordsToWrite(batch []pendingWrite) (records []record, kinds []writeKind) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	added := map[turnKey]bool{}
	for _, w := range batch {
		for _, r := range w.records {
			if r.Turn != nil {
				key := turnKey{r.Turn.Account, r.Turn.ID}
				if w.skipKnown && (added[key] || s.index.hasTurn(*r.Turn)) {
					continue
				}
				added[key] = true
			}
			records = append(records, r)
			kinds = append(kinds, w.kind)
		}
	}
	return records, kinds
}
