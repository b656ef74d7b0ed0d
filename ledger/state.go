package ledger

import (
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// state is everything that a snapshot holds.
type state struct {
	Accounts map[types.AccountID]*account `json:"accounts"`
}

// account is what one client account owns. Nothing is shared between two.
type account struct {
	Bucket   limit.Bucket                 `json:"bucket"`
	Programs map[types.ProgramID]*program `json:"programs"`
	// Crashes counts the targets that died while they ran a request.
	Crashes map[types.Fingerprint]*crashes `json:"crashes,omitempty"`
	// Admitted holds the newest admissions, so that a repeated one is not
	// charged again. At most maxAdmitted, oldest first.
	Admitted []types.AttemptID `json:"admitted,omitempty"`
}

// crashes is what is known of a request that killed targets.
type crashes struct {
	Count int           `json:"count"`
	Last  types.LogTime `json:"last"`
}

// program is the journal of one program.
type program struct {
	ID       types.ProgramID   `json:"id"`
	Parent   types.ProgramID   `json:"parent,omitempty"`
	Children []types.ProgramID `json:"children,omitempty"`
	Budget   Budget            `json:"budget"` // as given when it was opened
	Left     Budget            `json:"left"`   // what neither calls nor sub-agents took; never negative
	Deadline types.LogTime     `json:"deadline"`
	Ended    bool              `json:"ended"`
	// Calls are the closed calls; Calls[i].Number == i+1.
	Calls []Call `json:"calls,omitempty"`
	// Current is the call that has been begun and not closed, or nil. Its
	// number is len(Calls)+1.
	Current *current `json:"current,omitempty"`
	// Holdings are the targets that may keep memory for the program. They are
	// recorded before the target is asked and stay until it has let go. No
	// target is listed twice.
	Holdings []holding `json:"holdings,omitempty"`
	// QuietAt is when no attempt that was cut loose can run at a target any
	// more. Holdings are given back only from then on, since a running attempt
	// would make the target keep memory again.
	QuietAt types.LogTime `json:"quietAt,omitempty"`
}

// holding is the memory that one target may keep for a program.
type holding struct {
	Holder
	Service types.ServiceID `json:"service"`
	// Stale is set once a later call of the program to the same service went
	// to another target: what is kept here is given back.
	Stale bool `json:"stale,omitempty"`
}

// current is a call under way.
type current struct {
	Fingerprint types.Fingerprint `json:"fingerprint"`
	Service     types.ServiceID   `json:"service"`
	Request     []byte            `json:"request"`
	Idempotent  bool              `json:"idempotent"`
	Reserve     types.Tokens      `json:"reserve"`
	// Attempt is empty while no attempt is being made.
	Attempt types.AttemptID `json:"attempt,omitempty"`
	Session Session         `json:"session"`
	// Begun is when the attempt was noted.
	Begun types.LogTime `json:"begun"`
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

// Summary tells how a program stands.
type Summary struct {
	Program types.ProgramID `json:"program"`
	Parent  types.ProgramID `json:"parent,omitempty"`
	Budget  Budget          `json:"budget"`
	Left    Budget          `json:"left"`
	Closed  int             `json:"closed"`  // closed calls; the next call's number is one more
	Running bool            `json:"running"` // a call has been begun and not closed
	Ended   bool            `json:"ended"`
	// Holding is the number of targets that may still keep memory for it.
	Holding int `json:"holding"`
}

func (p *program) summary() *Summary {
	return &Summary{
		Program: p.ID, Parent: p.Parent, Budget: p.Budget, Left: p.Left,
		Closed: len(p.Calls), Running: p.Current != nil, Ended: p.Ended, Holding: len(p.Holdings),
	}
}

func (p *program) next() types.CallNumber { return types.CallNumber(len(p.Calls) + 1) }
