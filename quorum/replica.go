package quorum

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

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
}

// NewReplicaID generates a unique ID for a replica on the given host.
func NewReplicaID(host types.HostID) ReplicaID {
	return ReplicaID(string(host) + "/" + types.RandomID())
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
	// Disk performs the replica's writes and syncs.
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

	once          sync.Once
	inbox         chan func(now types.Mono)
	mu            sync.RWMutex // guards Machine, status and pending; only the loop uses the other fields below
	status        Status
	store         *store.Log
	core          *Core
	pending       map[Index]pendingProposal[R]
	applied       Index
	snapshotBytes int64
	lastRole      Role
	transferred   bool          // this replica has transferred its leadership
	lastWrite     time.Duration // how long the last write took
}

// Status describes a replica and its view of its group.
type Status struct {
	ID         ReplicaID  `json:"id"`
	Role       Role       `json:"role"`
	Term       Term       `json:"term"`
	Leader     ReplicaID  `json:"leader"`
	Commit     Index      `json:"commit"`
	Applied    Index      `json:"applied"`
	Members    Members    `json:"members"`
	LeaseUntil types.Mono `json:"leaseUntil"`
	// LeaderContact is when the replica last had contact with a leader, or was started.
	LeaderContact types.Mono `json:"leaderContact"`
	// LeadsSince is when the replica became leader, if it is the leader.
	LeadsSince types.Mono `json:"leadsSince"`
	// LogTime is the group's log time at the clock reading LogTimeAt.
	LogTime   types.LogTime `json:"logTime"`
	LogTimeAt types.Mono    `json:"logTimeAt"`
	// Match is set on a leader only. It is the index up to which each replica is
	// known to have synced the log.
	Match map[ReplicaID]Index `json:"match,omitempty"`
	// SinceLastReply is set on a leader only. It is the time since each other
	// replica last replied, or since the leader began to track the replica if that
	// is later.
	SinceLastReply map[ReplicaID]time.Duration `json:"silence,omitempty"`
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
// without having served any request.
func (r *Replica[C, R]) Run(ctx context.Context) error {
	r.init()
	if err := r.openStore(); err != nil {
		return err
	}
	defer r.store.Close()
	defer r.failPending()
	ticker := time.NewTicker(r.tickInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.transferLeadership()
		case <-ticker.C:
			r.core.Tick(r.Clock())
		case step := <-r.inbox:
			step(r.Clock())
			r.drainInbox()
		}
		if err := r.processOutputs(); err != nil {
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
	r.core.TransferLeadership(r.Clock())
	r.transferred = true
	r.publishStatus() // End the lease before another replica can be elected.
	err := r.processOutputs()
	time.Sleep(transferGracePeriod)
	return err
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

// processOutputs handles the outputs of the core until none is left, compacts
// the log if needed and publishes the status.
func (r *Replica[C, R]) processOutputs() error {
	for {
		out := r.core.DrainOutput()
		if err := r.handleOutput(out); err != nil {
			return err
		}
		if len(out.AfterSync) == 0 {
			break
		}
	}
	if err := r.compact(); err != nil {
		return err
	}
	r.publishStatus()
	return nil
}

// handleOutput makes an output durable, applies its committed entries and sends
// its messages.
func (r *Replica[C, R]) handleOutput(out Output) error {
	r.sendAll(out.Immediate)
	if out.Install != nil {
		if err := r.installSnapshot(*out.Install); err != nil {
			return err
		}
	}
	if err := r.persist(out); err != nil {
		return err
	}
	r.apply(out.Committed)
	r.sendAll(out.AfterSync)
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
	s, err := types.Decode[Snapshot](b)
	if err != nil {
		return
	}
	m.Snapshot = &s
	r.Send(m)
}

// apply applies committed entries and completes the proposals that wait for them.
func (r *Replica[C, R]) apply(entries []Entry) {
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
	command, err := types.Decode[C](e.Data)
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
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, p := range r.pending {
		p.reply <- proposalResult[R]{err: errOutcomeUnknown}
		delete(r.pending, i)
	}
}

// publishStatus updates the status that other goroutines read and handles a
// change of role.
func (r *Replica[C, R]) publishStatus() {
	now := r.Clock()
	s := Status{
		ID: r.core.id, Role: r.core.Role(), Term: r.core.Term(), Leader: r.core.Leader(),
		Commit: r.core.Commit(), Applied: r.applied, Members: r.core.Members(),
		LeaseUntil: r.core.LeaseUntil(now), LeadsSince: r.status.LeadsSince, LeaderContact: r.core.LastLeaderContact(),
		LogTime: r.core.LogTime(now), LogTimeAt: now,
	}
	if s.Role == Leader {
		s.Match = map[ReplicaID]Index{}
		s.SinceLastReply = map[ReplicaID]time.Duration{}
		for _, m := range s.Members.All() {
			s.Match[m.ID] = r.core.Match(m.ID)
			s.SinceLastReply[m.ID] = r.core.SinceLastReply(m.ID, now)
		}
	}
	if s.Role != r.lastRole {
		r.recordRoleChange(&s, now)
	}
	r.mu.Lock()
	r.status = s
	r.mu.Unlock()
}

// recordRoleChange logs that leadership was gained or lost, and sets s.LeadsSince
// or fails the pending proposals.
func (r *Replica[C, R]) recordRoleChange(s *Status, now types.Mono) {
	fields := event.Fields{"group": r.Group, "term": s.Term, "replica": s.ID}
	if s.Role == Leader {
		s.LeadsSince = now
		r.Log.Write(event.LeaderElected, fields)
	}
	if r.lastRole == Leader {
		reason := r.lossReason(s.Term)
		fields["reason"], fields["writeMs"] = reason, r.lastWrite.Milliseconds()
		metrics.GetOrCreateCounter(`banyanspur_quorum_leader_losses_total{reason="` + reason + `"}`).Inc()
		r.Log.Write(event.LeaderLost, fields)
		r.failPending()
	}
	r.lastRole = s.Role
}

// lossReason returns why this replica no longer leads: it has transferred its leadership, it
// has heard of a newer term, or a quorum did not reply in time to extend the lease. term is
// the current one.
func (r *Replica[C, R]) lossReason(term Term) string {
	switch {
	case r.transferred:
		return "transfer"
	case term > r.status.Term:
		return "newerTerm"
	}
	return "leaseExpired"
}

// Status returns the most recently published status.
func (r *Replica[C, R]) Status() Status {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.status
}

// Deliver queues a message from the network. It never blocks: if the queue is
// full, the message is dropped, as the network may do.
func (r *Replica[C, R]) Deliver(m Message) {
	r.init()
	select {
	case r.inbox <- func(now types.Mono) { r.core.Step(now, m) }:
	default:
	}
}

// newRand returns a randomly seeded generator, so that each process draws
// different election timeouts.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
