package ledger

import (
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// state is the content of a snapshot.
type state struct {
	Accounts map[types.AccountID]*account `json:"accounts"`
}

// account is the state of one client account. Accounts share no state.
type account struct {
	Bucket   limit.Bucket                 `json:"bucket"`
	Programs map[types.ProgramID]*program `json:"programs"`
	// Crashes counts the target crashes of each request.
	Crashes map[types.Fingerprint]*crashRecord `json:"crashes,omitempty"`
	// RecentAdmissions lists the newest admitted attempts, oldest first and at
	// most maxRecentAdmissions, so that a repeated Admit is not charged again.
	RecentAdmissions []types.AttemptID `json:"admitted,omitempty"`
}

// crashRecord counts the target crashes of one request.
type crashRecord struct {
	Count int           `json:"count"`
	Last  types.LogTime `json:"last"` // time of the latest crash
}

// program is the journal of one program.
type program struct {
	ID        types.ProgramID   `json:"id"`
	Parent    types.ProgramID   `json:"parent,omitempty"`
	Children  []types.ProgramID `json:"children,omitempty"`
	Budget    Budget            `json:"budget"` // as given when it was opened
	Remaining Budget            `json:"left"`   // not yet used by calls or given to sub-agents; never negative
	Deadline  types.LogTime     `json:"deadline"`
	Ended     bool              `json:"ended"`
	// Calls are the closed calls; Calls[i].Number == i+1.
	Calls []Call `json:"calls,omitempty"`
	// Current is the call that has been begun and not closed, or nil. Its
	// number is len(Calls)+1.
	Current *currentCall `json:"current,omitempty"`
	// CacheEntries lists the targets that may have the program's prefix cached.
	// An entry is recorded before the call is sent to the target and removed once
	// the target has released the prefix. No target is listed twice.
	CacheEntries []cacheEntry `json:"holdings,omitempty"`
	// EarliestRelease is the time from which on no attempt that ended without a
	// report can still run at a target. Cached prefixes are released only from
	// then on, because a running attempt would make the target cache the prefix
	// again.
	EarliestRelease types.LogTime `json:"quietAt,omitempty"`
}

// cacheEntry records that a target may have a program's prefix cached.
type cacheEntry struct {
	CacheHolder
	Service types.ServiceID `json:"service"`
	// Stale is set once a later call of the program to the same service went to
	// another target. The prefix cached at this one is then to be released.
	Stale bool `json:"stale,omitempty"`
}

// currentCall is a call that has been begun and not closed.
type currentCall struct {
	Fingerprint types.Fingerprint `json:"fingerprint"`
	Service     types.ServiceID   `json:"service"`
	Request     []byte            `json:"request"`
	Idempotent  bool              `json:"idempotent"`
	Reserve     types.Tokens      `json:"reserve"`
	// Attempt is empty while no attempt is in progress.
	Attempt types.AttemptID `json:"attempt,omitempty"`
	Session Session         `json:"session"`
	// AttemptStart is when the attempt was recorded.
	AttemptStart types.LogTime `json:"begun"`
}

// Call is one closed call of a program's history.
type Call struct {
	Number      types.CallNumber  `json:"number"`
	Service     types.ServiceID   `json:"service"`
	Fingerprint types.Fingerprint `json:"fingerprint"`
	Attempt     types.AttemptID   `json:"attempt"`
	Outcome     Outcome           `json:"outcome"`
	Status      int               `json:"status,omitempty"`
	ContentType string            `json:"contentType,omitempty"`
	Request     []byte            `json:"request"`
	Response    []byte            `json:"response,omitempty"`
	Fault       *types.Fault      `json:"fault,omitempty"`
	Tokens      types.Tokens      `json:"tokens"`
}

// Summary is the current state of a program, without its calls.
type Summary struct {
	Program          types.ProgramID `json:"program"`
	Parent           types.ProgramID `json:"parent,omitempty"`
	Budget           Budget          `json:"budget"`
	Remaining        Budget          `json:"left"`
	Closed           int             `json:"closed"`  // closed calls; the next call's number is one more
	Running          bool            `json:"running"` // a call has been begun and not closed
	Ended            bool            `json:"ended"`
	CacheHolderCount int             `json:"holding"` // number of targets that may have the program's prefix cached
}

func (p *program) summary() *Summary {
	return &Summary{
		Program: p.ID, Parent: p.Parent, Budget: p.Budget, Remaining: p.Remaining,
		Closed: len(p.Calls), Running: p.Current != nil, Ended: p.Ended, CacheHolderCount: len(p.CacheEntries),
	}
}

func (p *program) nextCall() types.CallNumber { return types.CallNumber(len(p.Calls) + 1) }
