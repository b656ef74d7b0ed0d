package quorum

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// slowWrite is the duration above which a write is logged once it has ended. It is about
	// half of the shortest lease in use, 360 ms, and far above the 1 to 5 ms of an idle disk.
	slowWrite = 200 * time.Millisecond
	// stalledWrite is the duration after which a write is logged that has not ended.
	stalledWrite = time.Second
	// maxStall is how long a replica may wait for a write before it counts as failed: as a
	// leader it then transfers its leadership, as a follower it confirms no contact, so that
	// it can be replaced. Syncs on busy disks take up to 2 s. A disk that takes longer may
	// hang for good, and the leader would keep all later entries in memory.
	maxStall = 10 * time.Second
	// stopTimeout bounds how long a stopping replica waits for the write under way.
	stopTimeout = 3 * time.Second
	// maxFrameEntryBytes is the size of entries from which on a frame takes no more, which
	// keeps the frames that follow a long stall well below [store.MaxFrameBytes].
	maxFrameEntryBytes = 16 << 20
)

var writeSeconds = metrics.NewHistogram("banyanspur_quorum_write_seconds")

// errWriteUnderWay is returned by [Replica.Run] if a write has not ended within stopTimeout.
var errWriteUnderWay = errors.New("quorum: a write to the disk does not end")

// write is a unit of work for the writer.
type write struct {
	// snapshot, if not nil, replaces the snapshot and the whole log before record is written.
	snapshot *Snapshot
	record   logRecord
}

// writeResult is the outcome of a [write].
type writeResult struct {
	err           error
	took          time.Duration
	logBytes      int64
	snapshotBytes int64 // set if the write had a snapshot
}

// writer performs writes one after the other, so that the loop of a replica need not wait for
// the disk. The loop hands over a write only after it has received the result of the previous
// one.
type writer struct {
	log     *store.Log // only used by the writer's goroutine
	clock   types.Clock
	writes  chan write
	results chan writeResult
	ended   chan struct{} // closed once the log is closed
	group   errgroup.Group
}

func startWriter(log *store.Log, clock types.Clock) *writer {
	w := &writer{
		log: log, clock: clock, writes: make(chan write, 1), results: make(chan writeResult, 1), ended: make(chan struct{}),
	}
	w.group.Go(w.run)
	return w
}

// run performs writes until the channel is closed, then closes the log.
func (w *writer) run() error {
	defer close(w.ended)
	for next := range w.writes {
		start := w.clock()
		result := w.perform(next)
		result.took, result.logBytes = w.clock().Sub(start), w.log.Size()
		w.results <- result
	}
	return w.log.Close()
}

func (w *writer) perform(next write) writeResult {
	first, rest := splitRecord(next.record)
	if next.snapshot == nil {
		return writeResult{err: w.appendAll(append([]logRecord{first}, rest...))}
	}
	b := types.Encode(*next.snapshot)
	if err := w.log.Reset(b, types.Encode(first)); err != nil {
		return writeResult{err: err}
	}
	return writeResult{err: w.appendAll(rest), snapshotBytes: int64(len(b))}
}

func (w *writer) appendAll(records []logRecord) error {
	for _, record := range records {
		if err := w.log.Append(types.Encode(record)); err != nil {
			return err
		}
	}
	return nil
}

// splitRecord returns records that together hold what r holds, none of them with many more
// than maxFrameEntryBytes of entries.
func splitRecord(r logRecord) (first logRecord, rest []logRecord) {
	size, start := 0, 0
	records := []logRecord{{Hard: r.Hard}}
	for i, e := range r.Entries {
		if size += len(e.Data); size > maxFrameEntryBytes && i > start {
			records[len(records)-1].Entries = r.Entries[start:i]
			records = append(records, logRecord{})
			size, start = len(e.Data), i
		}
	}
	records[len(records)-1].Entries = r.Entries[start:]
	return records[0], records[1:]
}

// stop makes the writer end after the write under way and waits for that, but not longer than
// stopTimeout.
func (w *writer) stop() error {
	close(w.writes)
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-w.ended:
		return errors.CombineErrors(w.lastError(), w.group.Wait())
	case <-timer.C:
		return errWriteUnderWay
	}
}

// lastError returns the error of a write whose result has not been received.
func (w *writer) lastError() error {
	select {
	case result := <-w.results:
		return result.err
	default:
		return nil
	}
}

// pendingOutput is what the loop keeps of a write that is under way.
type pendingOutput struct {
	startedAt  types.Mono
	hard       HardState // durable once the write has ended
	afterSync  []Message
	installed  Index     // index of the snapshot from the leader, or 0
	compaction *Snapshot // the snapshot of this replica's state, without Data, or nil
	logged     bool      // that the write takes long
}

// startWrite hands the queued outputs to the writer, as one write, unless a write is under
// way. If they contain nothing to make durable, it returns their messages, which may be sent.
func (r *Replica[C, R]) startWrite() []Message {
	if r.writing != nil {
		return nil
	}
	out := r.queued
	compact := out.Install == nil && r.compactionDue()
	r.queued = Output{}
	if !compact && !out.needsSync() {
		return out.AfterSync
	}
	p := &pendingOutput{startedAt: r.Clock(), hard: r.durableHard, afterSync: out.AfterSync}
	if out.HardState != nil {
		p.hard = *out.HardState
	}
	next := write{snapshot: out.Install, record: logRecord{Hard: out.HardState, Entries: out.Entries}}
	if out.Install != nil {
		p.installed = out.Install.Index
	}
	if compact {
		// All entries after the snapshot include those of out.
		s := r.core.SnapshotAt(r.applied)
		p.compaction = &s
		full := s
		full.Data = r.Machine.Snapshot()
		next.snapshot, next.record.Entries = &full, r.core.EntriesAfter(s.Index)
	}
	if next.snapshot != nil {
		next.record.Hard = &p.hard // The snapshot replaces the frame that has it.
	}
	r.writing = p
	r.writer.writes <- next
	return nil
}

// compactionDue reports whether the log is larger than the previous snapshot, so that the
// cost of snapshots stays proportional to that of the log, and the entries that follow the
// snapshot fit into one frame. Otherwise a crash between two frames would lose those that are
// acknowledged and only in the old log.
func (r *Replica[C, R]) compactionDue() bool {
	if r.logBytes < max(minCompactBytes, r.snapshotBytes) || r.applied <= r.core.snap.Index {
		return false
	}
	_, rest := splitRecord(logRecord{Entries: r.core.EntriesAfter(r.applied)})
	return len(rest) == 0
}

// completeWrite records the result of the write under way and, if it succeeded, sends the
// messages that waited for it.
func (r *Replica[C, R]) completeWrite(result writeResult) error {
	p := r.writing
	r.writing = nil
	r.lastWrite = result.took
	r.core.RecordWrite(result.took)
	writeSeconds.Update(result.took.Seconds())
	if result.took > slowWrite {
		r.logSlowWrite(result.took, false)
	}
	if result.err != nil {
		return result.err
	}
	r.recordVote(p.hard, result.took)
	r.durableHard, r.logBytes = p.hard, result.logBytes
	if result.snapshotBytes > 0 {
		r.snapshotBytes = result.snapshotBytes
	}
	if p.installed > 0 {
		r.Log.Write(event.SnapshotInstalled, event.Fields{"group": r.Group, "index": p.installed})
	}
	if p.compaction != nil {
		if p.compaction.Index > r.core.snap.Index { // It is less if the leader has sent a newer one meanwhile.
			r.core.Compact(*p.compaction)
		}
		r.Log.Write(event.SnapshotWritten, event.Fields{"group": r.Group, "index": p.compaction.Index, "bytes": result.snapshotBytes})
	}
	r.sendAll(p.afterSync)
	return nil
}

// writeTime returns for how long the write under way has lasted, or 0 if there is none.
func (r *Replica[C, R]) writeTime(now types.Mono) time.Duration {
	if r.writing == nil {
		return 0
	}
	return now.Sub(r.writing.startedAt)
}

// checkWrite logs a write that takes long, and transfers the leadership if it takes so long
// that the disk may hang for good.
func (r *Replica[C, R]) checkWrite(now types.Mono) {
	took := r.writeTime(now)
	if took > stalledWrite && !r.writing.logged {
		r.writing.logged = true
		r.logSlowWrite(took, true)
	}
	if took > maxStall && r.core.Role() == Leader {
		r.giveUpLeadership(now, "stalledDisk")
	}
}

func (r *Replica[C, R]) logSlowWrite(took time.Duration, underWay bool) {
	r.Log.Write(event.DiskSlow, event.Fields{
		"group": r.Group, "ms": took.Milliseconds(), "underWay": underWay, "leader": r.lastRole == Leader,
	})
}

// sendContacts tells leaders that they have been heard, if the replies to them have to wait
// for a write that takes longer than usual.
func (r *Replica[C, R]) sendContacts(replies []Message) {
	if took := r.writeTime(r.Clock()); took < r.tickInterval() || took > maxStall {
		return
	}
	for _, m := range replies {
		if contact, ok := m.Contact(); ok && m.Term == r.durableHard.Term {
			r.Send(contact)
		}
	}
}
