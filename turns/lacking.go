package turns

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

// LackReason is why a store has not replied.
type LackReason string

// Reasons why a store has not replied.
const (
	// NotAsked means that the request has not been sent, since other stores might have sufficed.
	NotAsked LackReason = "notAsked"
	// NoConnection means that there has been no connection since the last attempt, or the start of the request.
	NoConnection LackReason = "noConnection"
	// NoReply means that the request was sent and has no reply yet.
	NoReply LackReason = "noReply"
	// Refused means that the store, or the connection to it, has returned a fault, and that the request will be sent again.
	Refused LackReason = "refused"
)

// LackingStore is a store of a shard without a reply.
type LackingStore struct {
	Store  StoreID      `json:"store"`
	Host   types.HostID `json:"host"`
	Reason LackReason   `json:"reason"`
	// WaitedMs is the time since the request was sent, since it began to wait for a connection, or since the fault,
	// in milliseconds.
	WaitedMs int64 `json:"waitedMs"`
	// Fault is the message of the last fault, if the request had one. It may have been sent again since.
	Fault string `json:"fault,omitempty"`
}

// quorumError is the fault of a request to a shard, with what the request has lacked.
type quorumError struct {
	fault     *types.Fault
	shard     Shard
	placement Placement
	lacking   []LackingStore
}

// Error returns the text of the fault alone, which callers get.
func (e *quorumError) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *quorumError) Unwrap() error { return e.fault }

// QuorumFields returns the fields of a log event that tell which shard had no majority, its lists of stores, and
// which of them have not replied and why, if err is such a fault of [Client]. Otherwise it returns nil.
func QuorumFields(err error) event.Fields {
	var e *quorumError
	if !errors.As(err, &e) {
		return nil
	}
	return event.Fields{"shard": e.shard, "current": e.placement.Current, "next": e.placement.Next, "lacking": e.lacking}
}

// requestState is how far a request to one store has come.
type requestState struct {
	reason LackReason
	since  time.Time
	fault  string // of the last attempt
}

// setState records how far the request to a store has come.
func (s *shardCall[Resp]) setState(id StoreID, reason LackReason, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := requestState{reason: reason, since: time.Now(), fault: s.states[id].fault}
	if err != nil {
		state.fault = types.AsFault(err).Message
	}
	s.states[id] = state
}

// noQuorum returns the fault of a request that has no majority.
func (s *shardCall[Resp]) noQuorum() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &quorumError{fault: errNoQuorum, shard: s.shard, placement: s.placement}
	for i, id := range s.stores {
		if _, ok := s.replies[id]; ok {
			continue
		}
		member, _ := s.shardMap.member(id)
		l := LackingStore{Store: id, Host: member.Host, Reason: NotAsked}
		if state, ok := s.states[id]; ok && i < s.sent {
			l.Reason, l.Fault, l.WaitedMs = state.reason, state.fault, time.Since(state.since).Milliseconds()
		}
		e.lacking = append(e.lacking, l)
	}
	e.sort()
	return e
}

func (e *quorumError) sort() {
	slices.SortFunc(e.lacking, func(a, b LackingStore) int { return cmp.Compare(a.Host, b.Host) })
}

// lackingOf returns a fault of a search with the stores of the shard that most likely has the turn which have not
// replied.
func (s *chainSearch) lackingOf(fault *types.Fault) error {
	e := &quorumError{fault: fault, shard: s.likely, placement: s.shardMap.Placement(s.likely)}
	for _, id := range e.placement.All() {
		if _, replied := s.lacking[id]; replied {
			continue
		}
		member, _ := s.shardMap.member(id)
		l := LackingStore{Store: id, Host: member.Host, Reason: NotAsked}
		if at, sent := s.sentAt[id]; sent {
			l.Reason, l.WaitedMs = NoReply, time.Since(at).Milliseconds()
			if !s.client.Peers.Link(member.Address).IsConnected() {
				l.Reason = NoConnection
			}
		}
		if err := s.failed[id]; err != nil {
			l.Reason, l.Fault = Refused, types.AsFault(err).Message
		}
		e.lacking = append(e.lacking, l)
	}
	e.sort()
	return e
}
