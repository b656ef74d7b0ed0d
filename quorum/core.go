package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Role is what a replica is doing.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Timing holds the intervals of the protocol. The zero value stands for the
// defaults of the [DefaultTiming].
type Timing struct {
	// Heartbeat is the longest silence of a leader.
	Heartbeat time.Duration
	// ElectionMin is how long a replica that heard from a leader refuses to
	// elect another. An election starts after ElectionMin to twice that.
	ElectionMin time.Duration
	// Lease is how long a leader counts on that refusal, from the moment it
	// sent the message which the quorum answered. It is shorter than
	// ElectionMin by the drift allowed between two clocks.
	Lease time.Duration
}

// DefaultTiming suits replicas that are a few milliseconds apart. The lease
// allows two clocks to differ by a fifth of their rate.
var DefaultTiming = Timing{
	Heartbeat:   60 * time.Millisecond,
	ElectionMin: 500 * time.Millisecond,
	Lease:       400 * time.Millisecond,
}

// maxAppendBytes bounds the entries of one append.
const maxAppendBytes = 1 << 20

// Options holds what a core starts from. ID must be set.
type Options struct {
	ID     ReplicaID
	Timing Timing
	// Rand spreads election timeouts.
	Rand *rand.Rand
	// Start is the clock's reading at the start.
	Start types.Mono
	// HardState, Snapshot and Entries are what storage held. Snapshot carries
	// the membership even of a group that has no entries yet.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// progress is what a leader knows of another replica.
type progress struct {
	match    Index // the replica has synced all entries up to here
	next     Index // the next entry to send; greater than match
	waiting  bool  // an append is on its way
	sentAt   types.Mono
	ackedAt  types.Mono // SentAt of the newest append that was answered
	answered bool       // ackedAt is set
	since    types.Mono // when the leader began to follow the replica
}

// Core is the protocol of one replica. It is not safe for concurrent use.
type Core struct {
	id     ReplicaID
	timing Timing
	rand   *rand.Rand

	hard     HardState
	hardDone HardState // what Output has reported already
	snap     Snapshot  // Data is not kept
	log      []Entry   // log[i].Index == snap.Index+1+i
	// members is the newest membership in the log, and membersAt the index of
	// the entry that holds it.
	members   Members
	membersAt Index
	saved     Index // Output has reported all entries up to here
	commit    Index // never falls
	applied   Index // applied <= commit; Output has reported entries up to here

	role      Role
	leader    ReplicaID
	votes     map[ReplicaID]bool
	peers     map[ReplicaID]*progress // non-nil only on a leader
	termStart Index                   // the leader's first entry of its term

	heard    types.Mono // when a leader was last heard, or the start
	deadline types.Mono // when to start an election
	cold     coldStart
	logTime  types.LogTime
	logAt    types.Mono // when logTime was true at the latest

	out Output
}

// NewCore returns a core that continues from what storage held.
func NewCore(o Options) *Core {
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming
	}
	c := &Core{
		id: o.ID, timing: o.Timing, rand: o.Rand,
		hard: o.HardState, hardDone: o.HardState,
		snap: o.Snapshot, log: slices.Clone(o.Entries),
		commit: o.Snapshot.Index, applied: o.Snapshot.Index,
		heard: o.Start, cold: coldStart{is: true}, logAt: o.Start, logTime: o.Snapshot.Time,
	}
	c.snap.Data = nil
	c.saved = c.lastIndex()
	c.findMembers()
	if n := len(c.log); n > 0 {
		c.logTime = c.log[n-1].Time
	}
	c.resetDeadline(o.Start)
	return c
}

// Take returns what the shell must do for the steps since the last Take.
func (c *Core) Take() Output {
	if c.hard != c.hardDone {
		h := c.hard
		c.out.HardState = &h
		c.hardDone = c.hard
	}
	if last := c.lastIndex(); c.saved < last {
		c.out.Entries = slices.Clone(c.entries(c.saved+1, last))
		c.saved = last
	}
	if c.applied < c.commit {
		c.out.Committed = slices.Clone(c.entries(c.applied+1, c.commit))
		c.applied = c.commit
	}
	out := c.out
	c.out = Output{}
	return out
}

// Role returns the replica's role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() Term { return c.hard.Term }

// Leader returns the leader as far as known, or the empty string.
func (c *Core) Leader() ReplicaID { return c.leader }

// Commit returns the index of the last entry known to be committed.
func (c *Core) Commit() Index { return c.commit }

// Members returns the newest membership in the log. Callers must not change
// it.
func (c *Core) Members() Members { return c.members }

// findMembers looks the newest membership up after the log was replaced or
// cut.
func (c *Core) findMembers() {
	c.members, c.membersAt = c.snap.Members, c.snap.Index
	for _, e := range slices.Backward(c.log) {
		if e.Kind == KindMembers {
			c.members, c.membersAt = *e.Members, e.Index
			return
		}
	}
}

// Match returns how far replica id is known to have synced, on a leader.
func (c *Core) Match(id ReplicaID) Index {
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// Silence returns how long replica id has not answered, on a leader. It counts
// from the start of the reign at the earliest.
func (c *Core) Silence(id ReplicaID, now types.Mono) time.Duration {
	p := c.peers[id]
	if p == nil || id == c.id {
		return 0
	}
	return now.Sub(max(p.since, p.ackedAt))
}

// LogTime returns the log time at now: a lower bound of the time that has
// passed for the group.
func (c *Core) LogTime(now types.Mono) types.LogTime {
	return c.logTime.Add(now.Sub(c.logAt))
}

// noteLogTime raises the log time to t if that is later.
func (c *Core) noteLogTime(now types.Mono, t types.LogTime) {
	if t <= c.LogTime(now) {
		return
	}
	c.logTime = t
	c.logAt = now
}

// LeaseUntil returns the moment up to which this replica may answer from its
// own state: no other replica can be elected before. It is zero if the
// replica does not lead or has not committed an entry of its own term.
func (c *Core) LeaseUntil(now types.Mono) types.Mono {
	if c.role != Leader || c.commit < c.termStart {
		return 0
	}
	return c.quorumAck(now).Add(c.timing.Lease)
}

// quorumAck returns the latest moment such that a quorum answered a message
// which was sent at it or later.
func (c *Core) quorumAck(now types.Mono) types.Mono {
	members := c.Members()
	acks := make([]types.Mono, 0, len(members.Voters))
	for _, m := range members.Voters {
		acks = append(acks, c.ackOf(m.ID, now))
	}
	slices.Sort(acks)
	if len(acks) == 0 {
		return 0
	}
	return acks[len(acks)-members.Quorum()]
}

func (c *Core) ackOf(id ReplicaID, now types.Mono) types.Mono {
	if id == c.id {
		return now
	}
	if p := c.peers[id]; p != nil && p.answered {
		return p.ackedAt
	}
	return -types.Mono(c.timing.Lease)
}

func (c *Core) lastIndex() Index { return c.snap.Index + Index(len(c.log)) }

// entries returns the entries from first to last, both included.
func (c *Core) entries(first, last Index) []Entry {
	return c.log[first-c.snap.Index-1 : last-c.snap.Index]
}

// termAt returns the term of the entry at i; ok is false if the log does not
// hold it.
func (c *Core) termAt(i Index) (term Term, ok bool) {
	switch {
	case i == c.snap.Index:
		return c.snap.Term, true
	case i < c.snap.Index || i > c.lastIndex():
		return 0, false
	}
	return c.log[i-c.snap.Index-1].Term, true
}

func (c *Core) resetDeadline(now types.Mono) {
	spread := time.Duration(c.rand.Int64N(int64(c.timing.ElectionMin)))
	c.deadline = now.Add(c.timing.ElectionMin + spread)
}

// retryDeadline is for a candidate whose election may fail. It is shorter than
// the first timeout, since asking again disturbs no leader: the others answer
// only once they have not heard from one for ElectionMin.
func (c *Core) retryDeadline(now types.Mono) {
	base := c.timing.ElectionMin / 5
	spread := time.Duration(c.rand.Int64N(int64(2 * base)))
	c.deadline = now.Add(base + spread)
}

func (c *Core) sendNow(m Message) {
	m.From = c.id
	c.out.Now = append(c.out.Now, m)
}

func (c *Core) sendAfterSync(m Message) {
	m.From = c.id
	c.out.AfterSync = append(c.out.AfterSync, m)
}
