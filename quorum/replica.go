package quorum

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// Machine is a deterministic state machine over commands C with results R. All
// replicas apply the same commands in the same order and must come to the same
// state and results.
type Machine[C, R any] interface {
	// Apply applies one committed command.
	Apply(at types.LogTime, command C) R
	// Snapshot returns the whole state.
	Snapshot() []byte
	// Restore replaces the state by one that Snapshot returned.
	Restore(snapshot []byte) error
}

// NewReplicaID returns a fresh identity for a replica on the given host.
func NewReplicaID(host types.HostID) ReplicaID {
	return ReplicaID(string(host) + "/" + types.RandomID())
}

// Host returns the host that the replica lives on.
func (id ReplicaID) Host() types.HostID {
	host, _, _ := strings.Cut(string(id), "/")
	return types.HostID(host)
}

// Replica runs one replica of a group. Set the exported fields, then call
// [Replica.Run]; the other methods are safe for concurrent use at any time.
type Replica[C, R any] struct {
	// Group names the group in log events.
	Group types.GroupID
	// Dir is the folder that belongs to this replica alone.
	Dir string
	// Host is the host that the replica lives on.
	Host types.HostID
	// Machine is the state machine. Access it through [Replica.Read] only.
	Machine Machine[C, R]
	// Send hands a message to the network. It must not block; a message may be
	// lost, delayed, doubled or overtaken.
	Send func(m Message)
	// Timing defaults to [DefaultTiming].
	Timing Timing
	// Clock is the process's clock.
	Clock types.Clock
	// Log receives events. The zero value discards them.
	Log event.Log

	once     sync.Once
	inbox    chan func(now types.Mono)
	mu       sync.RWMutex // guards Machine and the fields below
	status   Status
	store    *store.Log
	core     *Core
	waiters  map[Index]waiter[R]
	applied  Index
	snapSize int64
	lastRole Role
}

// Status is what a replica knows of itself and its group.
type Status struct {
	ID         ReplicaID  `json:"id"`
	Role       Role       `json:"role"`
	Term       Term       `json:"term"`
	Leader     ReplicaID  `json:"leader"`
	Commit     Index      `json:"commit"`
	Applied    Index      `json:"applied"`
	Members    Members    `json:"members"`
	LeaseUntil types.Mono `json:"leaseUntil"`
	// LeadsSince is when the replica became leader, if it is one.
	LeadsSince types.Mono `json:"leadsSince"`
	// LogTime is the group's log time when the clock read LogTimeAt.
	LogTime   types.LogTime `json:"logTime"`
	LogTimeAt types.Mono    `json:"logTimeAt"`
	// Match holds, on a leader, how far each other replica has synced.
	Match map[ReplicaID]Index `json:"match,omitempty"`
	// Silence holds, on a leader, how long each other replica has not
	// answered, counted from the start of the reign at the earliest.
	Silence map[ReplicaID]time.Duration `json:"silence,omitempty"`
}

// waiter is a proposal that has been appended and not yet applied.
type waiter[R any] struct {
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
	// minCompactBytes is the size a log grows to before the first snapshot.
	minCompactBytes = 16 << 20
)

func (r *Replica[C, R]) init() {
	r.once.Do(func() {
		r.inbox = make(chan func(types.Mono), inboxSize)
		r.waiters = map[Index]waiter[R]{}
	})
}

// Run opens the replica's folder and takes part in the group until ctx ends or
// storage fails. It returns [store.ErrCorrupt] without having served anything
// if the folder is damaged.
func (r *Replica[C, R]) Run(ctx context.Context) error {
	r.init()
	if err := r.open(); err != nil {
		return err
	}
	defer r.store.Close()
	defer r.failWaiters()
	ticker := time.NewTicker(r.tick())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.handOver()
		case <-ticker.C:
			r.core.Tick(r.Clock())
		case step := <-r.inbox:
			step(r.Clock())
			r.drain()
		}
		if err := r.flush(); err != nil {
			r.Log.Write(event.StoreFailed, event.Fields{"group": r.Group, "error": err.Error()})
			return err
		}
	}
}

// tick is how often the core learns that time has passed: often enough for
// heartbeats and elections to be on time.
func (r *Replica[C, R]) tick() time.Duration {
	if r.Timing == (Timing{}) {
		return DefaultTiming.Heartbeat / ticksPerHeartbeat
	}
	return r.Timing.Heartbeat / ticksPerHeartbeat
}

// ticksPerHeartbeat is how many ticks pass between two heartbeats.
const ticksPerHeartbeat = 3

// handOverTime is how long a stopping replica leaves its last messages to the
// network.
const handOverTime = 50 * time.Millisecond

// handOver gives the lead to another replica, so that a planned stop is not
// waited out like a failure. It is best effort.
func (r *Replica[C, R]) handOver() error {
	if r.core.Role() != Leader {
		return nil
	}
	r.core.Transfer(r.Clock())
	r.publish() // The lease is over before another can be elected.
	err := r.flush()
	time.Sleep(handOverTime)
	return err
}

// drain takes the inputs that are waiting, so that they share one sync.
func (r *Replica[C, R]) drain() {
	for range maxStepsPerSync {
		select {
		case step := <-r.inbox:
			step(r.Clock())
		default:
			return
		}
	}
}

// flush does what the core asks for, until it asks for nothing more.
func (r *Replica[C, R]) flush() error {
	for {
		out := r.core.Take()
		if err := r.do(out); err != nil {
			return err
		}
		if len(out.AfterSync) == 0 {
			break
		}
	}
	if err := r.compact(); err != nil {
		return err
	}
	r.publish()
	return nil
}

func (r *Replica[C, R]) do(out Output) error {
	r.sendAll(out.Now)
	if out.Install != nil {
		if err := r.install(*out.Install); err != nil {
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

// sendAll sends messages; those to this replica itself become steps at once.
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

// sendSnapshot adds the data that the core does not hold.
func (r *Replica[C, R]) sendSnapshot(m Message) {
	b, err := store.ReadSnapshot(r.Dir)
	if err != nil {
		return // The leader's own storage is damaged; it stops at the next write.
	}
	s, err := types.Decode[Snapshot](b)
	if err != nil {
		return
	}
	m.Snapshot = &s
	r.Send(m)
}

// apply applies committed entries and answers those who wait for them.
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
	w, ok := r.waiters[e.Index]
	if !ok {
		return
	}
	delete(r.waiters, e.Index)
	if w.term != e.Term {
		result = proposalResult[R]{err: errLost}
	}
	w.reply <- result
}

// errLost tells a proposer that its command may or may not be committed.
var errLost = types.NewFault(types.CodeUnavailable, "the leader changed while the command was under way").
	WithRan(types.Unknown).After(retryElection)

// retryElection is how long an election usually takes.
const retryElection = time.Second

func (r *Replica[C, R]) failWaiters() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, w := range r.waiters {
		w.reply <- proposalResult[R]{err: errLost}
		delete(r.waiters, i)
	}
}

// publish makes the status visible and notes a change of role.
func (r *Replica[C, R]) publish() {
	now := r.Clock()
	s := Status{
		ID: r.core.id, Role: r.core.Role(), Term: r.core.Term(), Leader: r.core.Leader(),
		Commit: r.core.Commit(), Applied: r.applied, Members: r.core.Members(),
		LeaseUntil: r.core.LeaseUntil(now), LeadsSince: r.status.LeadsSince,
		LogTime: r.core.LogTime(now), LogTimeAt: now,
	}
	if s.Role == Leader {
		s.Match = map[ReplicaID]Index{}
		s.Silence = map[ReplicaID]time.Duration{}
		for _, m := range s.Members.All() {
			s.Match[m.ID] = r.core.Match(m.ID)
			s.Silence[m.ID] = r.core.Silence(m.ID, now)
		}
	}
	if s.Role != r.lastRole {
		r.noteRole(&s, now)
	}
	r.mu.Lock()
	r.status = s
	r.mu.Unlock()
}

func (r *Replica[C, R]) noteRole(s *Status, now types.Mono) {
	fields := event.Fields{"group": r.Group, "term": s.Term, "replica": s.ID}
	if s.Role == Leader {
		s.LeadsSince = now
		r.Log.Write(event.LeaderElected, fields)
	}
	if r.lastRole == Leader {
		r.Log.Write(event.LeaderLost, fields)
		r.failWaiters()
	}
	r.lastRole = s.Role
}

// Status returns the replica's newest status.
func (r *Replica[C, R]) Status() Status {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.status
}

// Deliver hands over a message from the network. A message that finds the
// inbox full is dropped, as a network may do.
func (r *Replica[C, R]) Deliver(m Message) {
	r.init()
	select {
	case r.inbox <- func(now types.Mono) { r.core.Step(now, m) }:
	default:
	}
}

// seedRand returns a generator whose seed differs between processes.
func seedRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
