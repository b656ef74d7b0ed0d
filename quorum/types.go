package quorum

import (
	"slices"

	"github.com/banyanspur/banyanspur/types"
)

// ReplicaID identifies one replica of one group. It is generated at random
// when the replica's directory is created, so that a replica that has lost its
// directory never returns under the same ID.
type ReplicaID string

// Index is the position of an entry in the log. The first entry has index 1.
type Index uint64

// Term is the number of an election in a group. At most one leader is elected
// per term.
type Term uint64

// EntryKind is the type of an entry's payload.
type EntryKind uint8

// The kinds of entries.
const (
	// KindCommand carries a command for the state machine.
	KindCommand EntryKind = iota
	// KindNoop has no payload. A new leader appends one.
	KindNoop
	// KindMembers carries a new membership.
	KindMembers
)

// Entry is one record of the replicated log.
type Entry struct {
	Index Index         `json:"index"`
	Term  Term          `json:"term"`
	Kind  EntryKind     `json:"kind"`
	Time  types.LogTime `json:"time"` // never less than that of the preceding entry
	Data  []byte        `json:"data,omitempty"`
	// Members is set if and only if Kind is KindMembers.
	Members *Members `json:"members,omitempty"`
}

// Member is one replica of a group and the host that it runs on.
type Member struct {
	ID   ReplicaID    `json:"id"`
	Host types.HostID `json:"host"`
}

// Members is the membership of a group. No replica is in both lists.
type Members struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners,omitempty"`
}

// IsVoter reports whether id is a voter.
func (m Members) IsVoter(id ReplicaID) bool { return memberIndex(m.Voters, id) >= 0 }

// Has reports whether id is a voter or a learner.
func (m Members) Has(id ReplicaID) bool {
	return m.IsVoter(id) || memberIndex(m.Learners, id) >= 0
}

// All returns voters and learners.
func (m Members) All() []Member {
	return append(slices.Clone(m.Voters), m.Learners...)
}

// Quorum returns the number of voters that form a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// WithLearner returns m with l added as a learner. Any learner already on the
// same host is removed, which is safe because learners have no vote.
func (m Members) WithLearner(l Member) Members {
	learners := slices.DeleteFunc(slices.Clone(m.Learners), func(o Member) bool { return o.Host == l.Host })
	return Members{Voters: slices.Clone(m.Voters), Learners: append(learners, l)}
}

// Promote returns m with learner id turned into a voter. It returns m unchanged
// if id is not a learner.
func (m Members) Promote(id ReplicaID) Members {
	i := memberIndex(m.Learners, id)
	if i < 0 {
		return m
	}
	l := m.Learners[i]
	return Members{
		Voters:   append(slices.Clone(m.Voters), l),
		Learners: slices.Delete(slices.Clone(m.Learners), i, i+1),
	}
}

// Without returns m without replica id.
func (m Members) Without(id ReplicaID) Members {
	drop := func(o Member) bool { return o.ID == id }
	return Members{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), drop),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), drop),
	}
}

// Equal reports whether m and o list the same replicas in the same order.
func (m Members) Equal(o Members) bool {
	return slices.Equal(m.Voters, o.Voters) && slices.Equal(m.Learners, o.Learners)
}

func memberIndex(list []Member, id ReplicaID) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.ID == id })
}

// HardState is the state that must be durable before the replica sends a vote
// or an acknowledgement.
type HardState struct {
	Term Term      `json:"term"`
	Vote ReplicaID `json:"vote"`
}

// Snapshot holds the state after the entry at Index and replaces all entries up
// to and including that one. Data is the state of the state machine.
type Snapshot struct {
	Index   Index         `json:"index"`
	Term    Term          `json:"term"`
	Time    types.LogTime `json:"time"`
	Members Members       `json:"members"`
	Data    []byte        `json:"data,omitempty"`
}

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages. The kind of a reply to a pre-vote or vote request is
// that of the request plus 1.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	MsgTransfer
)

// Message is sent from one replica of a group to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	From ReplicaID   `json:"from"`
	To   ReplicaID   `json:"to"`
	Term Term        `json:"term"`
	// Index and LogTerm identify the entry that precedes Entries in an append
	// and the sender's last entry in an election message. In the reply to an
	// append, Index is the last entry that matches the leader's log, or that may
	// match it if the append was refused.
	Index   Index   `json:"index,omitempty"`
	LogTerm Term    `json:"logTerm,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  Index   `json:"commit,omitempty"`
	// Refused is set in a reply that rejects the request. RefusedIndex then
	// echoes the Index of a rejected append.
	Refused bool `json:"refused,omitempty"`
	// Transfer is set in a vote request that results from a leadership transfer.
	// The leader of the previous term initiated it and has given up its lease.
	Transfer bool `json:"transfer,omitempty"`
	// Cold is set in the probes, replies and vote requests of replicas that have
	// had no contact with a leader since they started; see cold.go.
	Cold bool `json:"cold,omitempty"`
	// VotersHash identifies the set of voters known to the sender of a cold-start
	// probe or vote request.
	VotersHash   uint64 `json:"voters,omitempty"`
	RefusedIndex Index  `json:"probe,omitempty"`
	// SentAt is the leader's clock when it sent the append. The reply echoes it,
	// and the lease is measured from it. In cold-start messages it identifies the
	// probe.
	SentAt types.Mono `json:"sentAt,omitempty"`
	// Time is the leader's log time when it sent the append.
	Time     types.LogTime `json:"time,omitempty"`
	Snapshot *Snapshot     `json:"snapshot,omitempty"`
}

// Output lists the work that one or more steps of the core leave to its caller.
// The caller makes Install, HardState and Entries durable, in this order, and
// only then sends AfterSync. Immediate may be sent and Committed be applied before:
// a quorum has made the entries in Committed durable, which may not include this
// replica. Outputs are made durable in order, or merged and then made durable.
type Output struct {
	HardState *HardState
	Entries   []Entry   // replace everything from Entries[0].Index on
	Install   *Snapshot // replaces the whole log and the state machine
	Immediate []Message
	AfterSync []Message // may include messages to this replica itself
	Committed []Entry
}
