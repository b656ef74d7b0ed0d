package quorum

import (
	"slices"

	"github.com/banyanspur/banyanspur/types"
)

// ReplicaID names one replica of one group. It is drawn at random when the
// replica's folder is made, so that a lost folder never comes back under the
// same identity.
type ReplicaID string

// Index is the position of an entry in a log. The first entry has index 1.
type Index uint64

// Term numbers the elections of a group.
type Term uint64

// EntryKind tells what an entry carries.
type EntryKind uint8

// The kinds of entries.
const (
	// KindCommand carries a command for the state machine.
	KindCommand EntryKind = iota
	// KindNoop carries nothing; a new leader appends one.
	KindNoop
	// KindMembers carries a new membership.
	KindMembers
)

// Entry is one record of the replicated log.
type Entry struct {
	Index Index         `json:"index"`
	Term  Term          `json:"term"`
	Kind  EntryKind     `json:"kind"`
	Time  types.LogTime `json:"time"` // never smaller than that of the entry before
	Data  []byte        `json:"data,omitempty"`
	// Members is set if and only if Kind is KindMembers.
	Members *Members `json:"members,omitempty"`
}

// Member is one replica of a group and the host that it lives on.
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
func (m Members) IsVoter(id ReplicaID) bool { return indexOf(m.Voters, id) >= 0 }

// Has reports whether id is a voter or a learner.
func (m Members) Has(id ReplicaID) bool {
	return m.IsVoter(id) || indexOf(m.Learners, id) >= 0
}

// All returns voters and learners.
func (m Members) All() []Member {
	return append(slices.Clone(m.Voters), m.Learners...)
}

// Quorum returns the number of voters that decide.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// WithLearner returns m with a learner added. An earlier learner on the same
// host is dropped, since learners never decide anything.
func (m Members) WithLearner(l Member) Members {
	learners := slices.DeleteFunc(slices.Clone(m.Learners), func(o Member) bool { return o.Host == l.Host })
	return Members{Voters: slices.Clone(m.Voters), Learners: append(learners, l)}
}

// Promote returns m with learner id made a voter.
func (m Members) Promote(id ReplicaID) Members {
	i := indexOf(m.Learners, id)
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

func indexOf(list []Member, id ReplicaID) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.ID == id })
}

// HardState must be durable before a vote or an acknowledgement leaves.
type HardState struct {
	Term Term      `json:"term"`
	Vote ReplicaID `json:"vote"`
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index   Index         `json:"index"`
	Term    Term          `json:"term"`
	Time    types.LogTime `json:"time"`
	Members Members       `json:"members"`
	Data    []byte        `json:"data,omitempty"`
}

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// The kinds of messages.
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

// Message passes between two replicas of a group.
type Message struct {
	Kind MessageKind `json:"kind"`
	From ReplicaID   `json:"from"`
	To   ReplicaID   `json:"to"`
	Term Term        `json:"term"`
	// Index and LogTerm name the entry before Entries, the candidate's last
	// entry, or in a reply the last entry that the sender has in common.
	Index   Index   `json:"index,omitempty"`
	LogTerm Term    `json:"logTerm,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  Index   `json:"commit,omitempty"`
	// Refused is set in a reply that says no. Probe then echoes the Index of
	// the append that was refused.
	Refused bool `json:"refused,omitempty"`
	// Transfer is set in a request for a vote that the leader of the term
	// before has asked for. That leader has given its lease up.
	Transfer bool `json:"transfer,omitempty"`
	// Cold is set in requests for votes, and in what answers them, of replicas
	// that have heard of no leader since their start; see cold.go.
	Cold bool `json:"cold,omitempty"`
	// Voters identifies the voters that the sender of a cold request knows.
	Voters uint64 `json:"voters,omitempty"`
	Probe  Index  `json:"probe,omitempty"`
	// SentAt is the leader's clock when it sent the append; the reply echoes
	// it, and the lease counts from it.
	SentAt types.Mono `json:"sentAt,omitempty"`
	// Time is the leader's log time when it sent the append.
	Time     types.LogTime `json:"time,omitempty"`
	Snapshot *Snapshot     `json:"snapshot,omitempty"`
}

// Output is what one or more steps of the core ask of the shell, in this
// order: make HardState, Entries or Install durable; send Now at any moment,
// AfterSync only when that is done; apply Committed.
type Output struct {
	HardState *HardState
	Entries   []Entry   // replace everything from Entries[0].Index on
	Install   *Snapshot // replaces the whole log and the state machine
	Now       []Message
	AfterSync []Message // may hold messages to this replica itself
	Committed []Entry
}
