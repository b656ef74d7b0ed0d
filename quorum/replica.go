package quorum

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// Machine is a deterministic state machine over commands C with results R. All
// replicas apply the same commands in the same order and must arrive at the same
// state and results.
type Machine[C, R any] interface {
	// Apply applies one committed command and returns its result. The parameter at
	// is the log time of the command's entry.
	Apply(at types.LogTime, command C) R
	// Snapshot returns the encoded state.
	Snapshot() []byte
	// Restore replaces the state by one that Snapshot has encoded.
	Restore(snapshot []byte) error
	// CheckMemory returns an error if a snapshot of another replica takes too much memory for
	// its size.
	CheckMemory(snapshot []byte) error
}

// Host returns the host that the replica runs on.
func (id ReplicaID) Host() types.HostID {
	host, _, _ := strings.Cut(string(id), "/")
	return types.HostID(host)
}

// Replica runs one replica of a group. Set the exported fields, then call
// [Replica.Run]. The other methods are safe for concurrent use, also before Run
// is called.
type Replica[C, R any] struct {
	// Group identifies the group in log events.
	Group types.GroupID
	// Dir is the directory for this replica's durable state. No other replica may
	// use it.
	Dir string
	// Disk performs the operations on the files in Dir.
	Disk store.Disk
	// Host is the host that the replica runs on.
	Host types.HostID
	// Machine is the state machine. Access it through [Replica.Read] only.
	Machine Machine[C, R]
	// Send sends a message to another replica. It must not block. Messages may be
	// lost, delayed, duplicated or reordered.
	Send func(m Message)
	// Timing defaults to [DefaultTiming].
	Timing Timing
	// Clock is the process's monotonic clock.
	Clock types.Clock
	// Log receives events. The zero value discards them.
	Log event.Log

	once  sync.Once
	inbox chan func(now types.Mono)
	// mu guards Machine. Readers may hold it for long, so the loop acquires it only to change
	// the state.
	mu     sync.RWMutex
	status atomic.Pointer[Status] // nil until Run has opened the directory

	// Only the loop uses the fields below.
	core          *Core
	pending       map[Index]pendingProposal[R]
	applied       Index
	lastRole      Role
	transferCause string // why this replica has transferred its leadership, if it has
	candidacy     candidacy

	writer        *writer
	writing       *pendingOutput // the write under way, or nil
	queued        Output         // the outputs that follow it, without Immediate and Committed
	durableHard   HardState
	logBytes      int64         // size of the log's current segment
	snapshotBytes int64         // size of the stored snapshot
	lastWrite     time.Duration // how long the last write took
}

// pendingProposal is a proposal that is appended but not yet applied.
type pendingProposal[R any] struct {
	term  Term
	reply chan<- proposalResult[R]
}

type proposalResult[R any] struct {
	value R
	err   error
}

const (
	inboxSize = 4096
	// maxStepsPerSync bounds how many inputs share one sync.
	maxStepsPerSync = 1024
	// minCompactBytes is the log size below which no snapshot is written.
	minCompactBytes = 16 << 20
)

func (r *Replica[C, R]) init() {
	r.once.Do(func() {
		r.inbox = make(chan func(types.Mono), inboxSize)
		r.pending = map[Index]pendingProposal[R]{}
	})
}

// Run opens the replica's directory and takes part in the group until ctx ends
// or storage fails. If the directory is damaged, it returns [store.ErrCorrupt]
// without having served any request. If a write does not end, Run returns an error
// a few seconds after ctx has ended; then no other replica may use the directory
// as long as the process runs.
func (r *Replica[C, R]) Run(ctx context.Context) (err error) {
	r.init()
	if err := r.openStore(); err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, r.writer.stop()) }()
	defer r.failPending()
	ticker := time.NewTicker(r.tickInterval())
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return r.transferLeadership()
		case <-ticker.C:
			now := r.Clock()
			r.checkWrite(now)
			r.core.Tick(now)
		case step := <-r.inbox:
			step(r.Clock())
			r.drainInbox()
		case result := <-r.writer.results:
			err = r.completeWrite(result)
		}
		if err == nil {
			err = r.processOutputs()
		}
		if err != nil {
			r.Log.Write(event.StorageFailed, event.Fields{"group": r.Group, "error": err.Error()})
			return err
		}
	}
}

// tickInterval returns the time between two calls of [Core.Tick]. It is short
// enough for heartbeats and elections to start on time.
func (r *Replica[C, R]) tickInterval() time.Duration {
	if r.Timing == (Timing{}) {
		return DefaultTiming.Heartbeat / ticksPerHeartbeat
	}
	return r.Timing.Heartbeat / ticksPerHeartbeat
}

// ticksPerHeartbeat is the number of ticks per heartbeat interval.
const ticksPerHeartbeat = 3

// transferGracePeriod is how long a stopping replica waits for the network to send
// its last messages.
const transferGracePeriod = 50 * time.Millisecond

// transferLeadership transfers leadership to another replica, if this one leads,
// so that the group need not wait for an election timeout after a planned stop.
// It is best effort.
func (r *Replica[C, R]) transferLeadership() error {
	if r.core.Role() != Leader {
		return nil
	}
	r.giveUpLeadership(r.Clock(), "transfer")
	err := r.processOutputs()
	time.Sleep(transferGracePeriod)
	return err
}

// giveUpLeadership transfers leadership for the given cause.
func (r *Replica[C, R]) giveUpLeadership(now types.Mono, cause string) {
	r.transferCause = cause
	r.core.TransferLeadership(now)
	r.publishStatus() // End the lease before another replica can be elected.
}

// drainInbox processes the inputs that are already queued, so that they share one
// sync.
func (r *Replica[C, R]) drainInbox() {
	for range maxStepsPerSync {
		select {
		case step := <-r.inbox:
			step(r.Clock())
		default:
			return
		}
	}
}

// processOutputs handles the outputs of the core until none is left and publishes
// the status. It does not wait for the disk.
func (r *Replica[C, R]) processOutputs() error {
	for {
		if err := r.handleOutput(r.core.DrainOutput()); err != nil {
			return err
		}
		messages := r.startWrite()
		if len(messages) == 0 {
			break
		}
		r.sendAll(messages)
	}
	r.publishStatus()
	return nil
}

// handleOutput sends the messages of an output that need not wait, applies its
// committed entries and queues the rest for the disk.
func (r *Replica[C, R]) handleOutput(out Output) error {
	r.sendAll(out.Immediate)
	if out.Install != nil {
		if err := r.restoreSnapshot(*out.Install); err != nil {
			return err
		}
	}
	r.apply(out.Committed)
	r.sendContacts(out.AfterSync)
	out.Immediate, out.Committed = nil, nil
	r.queued.Merge(out)
	return nil
}

// sendAll sends messages. The core processes those to this replica itself
// immediately.
func (r *Replica[C, R]) sendAll(messages []Message) {
	for _, m := range messages {
		switch {
		case m.To == r.core.id:
			r.core.Step(r.Clock(), m)
		case m.Kind == MsgSnapshot:
			r.sendSnapshot(m)
		default:
			r.Send(m)
		}
	}
}

// sendSnapshot sends m with the stored snapshot, including the data that the core
// does not keep.
func (r *Replica[C, R]) sendSnapshot(m Message) {
	b, err := store.ReadSnapshot(r.Dir)
	if err != nil {
		return // The leader's own storage is damaged. The replica stops at the next write.
	}
	s, err := types.DecodeStored[Snapshot](b)
	if err != nil {
		return
	}
	m.Snapshot = &s
	r.Send(m)
}

// apply applies committed entries and completes the proposals that wait for them.
func (r *Replica[C, R]) apply(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		r.applied = e.Index
		if e.Kind != KindCommand {
			continue
		}
		r.applyCommand(e)
	}
}

func (r *Replica[C, R]) applyCommand(e Entry) {
	command, err := types.DecodeStored[C](e.Data) // Deliver has examined those of others.
	var result proposalResult[R]
	if err == nil {
		result.value = r.Machine.Apply(e.Time, command)
	}
	result.err = err
	p, ok := r.pending[e.Index]
	if !ok {
		return
	}
	delete(r.pending, e.Index)
	if p.term != e.Term {
		result = proposalResult[R]{err: errOutcomeUnknown}
	}
	p.reply <- result
}

// errOutcomeUnknown is the result of a proposal whose command may or may not be
// committed.
var errOutcomeUnknown = types.NewFault(types.CodeUnavailable, "the leader changed while the command was pending").
	WithRan(types.MayHaveRun).WithRetryAfter(electionRetryDelay)

// electionRetryDelay is the retry delay that faults suggest, which is how long an
// election usually takes.
const electionRetryDelay = time.Second

// failPending fails all pending proposals with an unknown outcome.
func (r *Replica[C, R]) failPending() {
	for i, p := range r.pending {
		p.reply <- proposalResult[R]{err: errOutcomeUnknown}
		delete(r.pending, i)
	}
}

// Deliver queues a message from the network. It never blocks: if the queue is
// full, the message is dropped, as the network may do. So is one whose commands or snapshot take
// too much memory for their size: what is committed must be applied.
func (r *Replica[C, R]) Deliver(m Message) {
	r.init()
	if r.checkMemory(m) != nil {
		denseMessages.Inc()
		return
	}
	select {
	case r.inbox <- func(now types.Mono) { r.core.Step(now, m) }:
	default:
	}
}

// denseMessages counts instead of an event for each, since anyone may send them.
var denseMessages = metrics.NewCounter("banyanspur_quorum_dense_messages_total")

func (r *Replica[C, R]) checkMemory(m Message) error {
	for _, e := range m.Entries {
		if e.Kind != KindCommand {
			continue
		}
		if err := types.CheckMemory[C](e.Data); err != nil {
			return err
		}
	}
	if m.Snapshot == nil || m.Snapshot.Data == nil {
		return nil
	}
	return r.Machine.CheckMemory(m.Snapshot.Data)
}

// newRand returns a randomly seeded generator, so that each process draws
// different election timeouts.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
