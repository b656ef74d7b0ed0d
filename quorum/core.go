package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Role is a replica's current role in the protocol.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Timing holds the intervals of the protocol. The zero value selects
// [DefaultTiming].
type Timing struct {
	// Heartbeat is the longest interval between two messages from the leader to
	// another replica.
	Heartbeat time.Duration
	// MinElectionTimeout is how long a replica refuses to elect another leader
	// after contact with the current one. The election timeout is drawn at random
	// between MinElectionTimeout and twice that.
	MinElectionTimeout time.Duration
	// Lease is how long a leader relies on that refusal, measured from when it
	// sent the message that a quorum acknowledged. It is shorter than
	// MinElectionTimeout by the permitted drift between two clocks.
	Lease time.Duration
}

// DefaultTiming suits replicas with network latencies of a few milliseconds.
// Its lease tolerates clock rates that differ by a fifth.
var DefaultTiming = Timing{
	Heartbeat:          60 * time.Millisecond,
	MinElectionTimeout: 500 * time.Millisecond,
	Lease:              400 * time.Millisecond,
}

// maxAppendBytes bounds the size of the entries in one append message. An entry
// that exceeds it is sent alone.
const maxAppendBytes = 1 << 20

// Options configures a core and holds the state that it starts from. ID and
// Rand must be set.
type Options struct {
	ID     ReplicaID
	Timing Timing
	// Rand randomizes election timeouts.
	Rand *rand.Rand
	// Start is the clock reading when the core is created.
	Start types.Mono
	// HardState, Snapshot and Entries are the state recovered from storage.
	// Snapshot carries the membership even if the group has no entries yet.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// progress is a leader's replication state for one replica.
type progress struct {
	match        Index // the replica has synced all entries up to this index
	next         Index // the next entry to send; greater than match
	inFlight     bool  // the batch below has not been acknowledged yet, and is not known to be lost
	batch        batch // the last entries or snapshot that were sent
	lastSentAt   types.Mono
	ackedSentAt  types.Mono // SentAt of the newest message that the replica replied to
	hasReplied   bool       // ackedSentAt is set
	trackedSince types.Mono // when the leader began to track the replica
}

// batch is what a leader has sent to a replica in one append or as a snapshot.
type batch struct {
	end     Index // last entry, of the snapshot too
	sentAt  types.Mono
	resends int // how often it was sent again since the replica last acknowledged one
}

// Core is the protocol state of one replica. It is not safe for concurrent use.
type Core struct {
	id     ReplicaID
	timing Timing
	rand   *rand.Rand

	hardState         HardState
	reportedHardState HardState // last value returned by DrainOutput
	snap              Snapshot  // without Data
	log               []Entry   // log[i].Index == snap.Index+1+i
	// members is the newest membership in the log, and membersIndex the index of
	// the entry that holds it.
	members       Members
	membersIndex  Index
	reportedIndex Index // DrainOutput has returned all entries up to this index for persistence
	commit        Index // never decreases
	applied       Index // DrainOutput has returned committed entries up to this index; applied <= commit

	role           Role
	leader         ReplicaID
	preVotes       map[ReplicaID]bool      // non-nil only on a pre-candidate
	votes          map[ReplicaID]bool      // non-nil only on a candidate of the current term
	refusals       int                     // of votes, in the current term of a candidate
	awaitsVote     bool                    // the vote in hardState is not durable yet
	peers          map[ReplicaID]*progress // non-nil only on a leader
	termStartIndex Index                   // index of the leader's first entry in its term

	lastLeaderContact types.Mono    // time of the last contact with a leader, or of the start
	lastTick          types.Mono    // time of a leader's last Tick, or of its election
	resumedAt         types.Mono    // when a leader that was held up has resumed; <= lastTick
	lateElections     int           // elections since lastLeaderContact in which no majority voted in time
	writeTime         time.Duration // how long the last write took
	electionDeadline  types.Mono    // when to start the next election
	cold              coldStart
	logTime           types.LogTime
	logTimeAt         types.Mono // clock reading that logTime corresponds to

	out Output
}

// NewCore returns a core that starts as a follower from the state in o.
func NewCore(o Options) *Core {
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming
	}
	c := &Core{
		id: o.ID, timing: o.Timing, rand: o.Rand,
		hardState: o.HardState, reportedHardState: o.HardState,
		snap: o.Snapshot, log: slices.Clone(o.Entries),
		commit: o.Snapshot.Index, applied: o.Snapshot.Index,
		lastLeaderContact: o.Start, cold: coldStart{active: true}, logTimeAt: o.Start, logTime: o.Snapshot.Time,
	}
	c.snap.Data = nil
	c.reportedIndex = c.lastIndex()
	c.reloadMembers()
	if n := len(c.log); n > 0 {
		c.logTime = c.log[n-1].Time
	}
	c.resetElectionDeadline(o.Start)
	return c
}

// DrainOutput returns the work that has accumulated since the previous call.
func (c *Core) DrainOutput() Output {
	if c.hardState != c.reportedHardState {
		h := c.hardState
		c.out.HardState = &h
		c.reportedHardState = c.hardState
	}
	if last := c.lastIndex(); c.reportedIndex < last {
		c.out.Entries = slices.Clone(c.entries(c.reportedIndex+1, last))
		c.reportedIndex = last
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
func (c *Core) Term() Term { return c.hardState.Term }

// Leader returns the ID of the current leader, or the empty string if it is
// unknown.
func (c *Core) Leader() ReplicaID { return c.leader }

// LastLeaderContact returns when the replica last had contact with a leader, or was
// started or elected if that is later.
func (c *Core) LastLeaderContact() types.Mono { return c.lastLeaderContact }

// Commit returns the index of the last entry known to be committed.
func (c *Core) Commit() Index { return c.commit }

// Members returns the newest membership in the log, committed or not. Callers
// must not change it.
func (c *Core) Members() Members { return c.members }

// reloadMembers reads the newest membership from the log, or else from the
// snapshot. It is called after the log was replaced or truncated.
func (c *Core) reloadMembers() {
	c.members, c.membersIndex = c.snap.Members, c.snap.Index
	for _, e := range slices.Backward(c.log) {
		if e.Kind == KindMembers {
			c.members, c.membersIndex = *e.Members, e.Index
			return
		}
	}
}

// Match returns the index up to which replica id is known to have synced the
// log. It returns 0 unless this replica is the leader and tracks id.
func (c *Core) Match(id ReplicaID) Index {
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// SinceLastReply returns the time since the leader sent the newest message that
// replica id replied to, or since it began to track the replica if that is later.
// It returns 0 for the leader itself, and on other replicas.
func (c *Core) SinceLastReply(id ReplicaID, now types.Mono) time.Duration {
	p := c.peers[id]
	if p == nil || id == c.id {
		return 0
	}
	return now.Sub(max(p.trackedSince, p.ackedSentAt))
}

// LogTime returns the log time at now, which is a lower bound of the time for
// which the group has existed.
func (c *Core) LogTime(now types.Mono) types.LogTime {
	return c.logTime.Add(now.Sub(c.logTimeAt))
}

// advanceLogTime raises the log time to t if that is later.
func (c *Core) advanceLogTime(now types.Mono, t types.LogTime) {
	if t <= c.LogTime(now) {
		return
	}
	c.logTime = t
	c.logTimeAt = now
}

// LeaseUntil returns the time until which this replica may serve reads from its
// own state, because no other replica can be elected earlier. It is zero if the
// replica is not the leader or has not committed an entry of its own term.
func (c *Core) LeaseUntil(now types.Mono) types.Mono {
	if c.role != Leader || c.commit < c.termStartIndex {
		return 0
	}
	return c.quorumAckTime(now).Add(c.timing.Lease)
}

// quorumAckTime returns the latest time t such that a quorum of voters has
// acknowledged messages sent at t or later.
func (c *Core) quorumAckTime(now types.Mono) types.Mono {
	members := c.Members()
	acks := make([]types.Mono, 0, len(members.Voters))
	for _, m := range members.Voters {
		acks = append(acks, c.lastAckTime(m.ID, now))
	}
	slices.Sort(acks)
	if len(acks) == 0 {
		return 0
	}
	return acks[len(acks)-members.Quorum()]
}

// lastAckTime returns when the leader sent the newest message that replica id
// replied to, and now for the leader itself. If the replica has not replied yet,
// it returns -Lease, so that a lease measured from there ends at 0.
func (c *Core) lastAckTime(id ReplicaID, now types.Mono) types.Mono {
	if id == c.id {
		return now
	}
	if p := c.peers[id]; p != nil && p.hasReplied {
		return p.ackedSentAt
	}
	return -types.Mono(c.timing.Lease)
}

func (c *Core) lastIndex() Index { return c.snap.Index + Index(len(c.log)) }

// entries returns the entries from first to last, inclusive.
func (c *Core) entries(first, last Index) []Entry {
	return c.log[first-c.snap.Index-1 : last-c.snap.Index]
}

// termAt returns the term of the entry at i. ok is false if the entry is neither
// in the log nor the last one of the snapshot.
func (c *Core) termAt(i Index) (term Term, ok bool) {
	switch {
	case i == c.snap.Index:
		return c.snap.Term, true
	case i < c.snap.Index || i > c.lastIndex():
		return 0, false
	}
	return c.log[i-c.snap.Index-1].Term, true
}

func (c *Core) resetElectionDeadline(now types.Mono) {
	base := max(c.timing.MinElectionTimeout, c.votingTime())
	c.electionDeadline = now.Add(base + time.Duration(c.rand.Int64N(int64(base))))
}

// resetRetryDeadline sets the deadline after which a candidate retries its
// election. It is shorter than the first timeout, since a retry cannot disrupt a
// leader: voters ignore vote requests for MinElectionTimeout after contact with
// one. It doubles with each election in which no majority has voted in time, up to
// maxRetryDoublings times, since votes that arrive after the next election has begun do not count.
func (c *Core) resetRetryDeadline(now types.Mono) {
	base := max(c.timing.MinElectionTimeout/5<<min(c.lateElections, maxRetryDoublings), c.votingTime())
	jitter := time.Duration(c.rand.Int64N(int64(2 * base)))
	c.electionDeadline = now.Add(base + jitter)
}

// votingTime returns how long votes take at least, up to maxVotingTime: the candidate writes its
// vote, and then the others write theirs. If replicas began the next election sooner, votes would
// be too late on slow disks, and the leader that they elect, too.
func (c *Core) votingTime() time.Duration {
	return min(2*c.writeTime, maxVotingTime*c.timing.MinElectionTimeout)
}

// maxVotingTime bounds, in units of MinElectionTimeout, how long an election may take after a
// write that took long, such as that of a snapshot.
const maxVotingTime = 6

// RecordWrite records how long a write to disk took.
func (c *Core) RecordWrite(took time.Duration) { c.writeTime = took }

// maxRetryDoublings makes retries wait for 1.6 to 4.8 times MinElectionTimeout.
const maxRetryDoublings = 3

func (c *Core) sendImmediately(m Message) {
	m.From = c.id
	c.out.Immediate = append(c.out.Immediate, m)
}

func (c *Core) sendAfterSync(m Message) {
	m.From = c.id
	c.out.AfterSync = append(c.out.AfterSync, m)
}
