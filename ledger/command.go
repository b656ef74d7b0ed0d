package ledger

import (
	"time"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// Command is one change of the state; exactly one field is set.
type Command struct {
	Open    *Open    `json:"open,omitempty"`
	Begin   *Begin   `json:"begin,omitempty"`
	Close   *Close   `json:"close,omitempty"`
	Abandon *Abandon `json:"abandon,omitempty"`
	End     *End     `json:"end,omitempty"`
	Admit   *Admit   `json:"admit,omitempty"`
	Expire  *Expire  `json:"expire,omitempty"`
	Release *Release `json:"release,omitempty"`
}

// Result answers a command. Fault is nil if the command took effect.
type Result struct {
	Fault *types.Fault `json:"fault,omitempty"`
	// Program answers Open and End.
	Program *Summary `json:"program,omitempty"`
	// Begun answers Begin.
	Begun *Begun `json:"begun,omitempty"`
	// Call is the recorded call: for Begin if it was closed before, for Close
	// as it was stored.
	Call *Call `json:"call,omitempty"`
}

// Budget bounds a program. A sub-agent's budget is taken out of its parent's.
type Budget struct {
	// Calls is the number of calls.
	Calls int64 `json:"calls"`
	// Tokens is the number of tokens that models may generate.
	Tokens types.Tokens `json:"tokens"`
	// Wall is the time from the opening of the program to its end.
	Wall time.Duration `json:"wall"`
	// Depth is the number of levels of sub-agents below the program.
	Depth int `json:"depth"`
}

// Open opens a program. Opening it again with the same budget and parent is
// answered alike.
type Open struct {
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	Parent  types.ProgramID `json:"parent,omitempty"`
	Budget  Budget          `json:"budget"`
}

// Session identifies one run of an entry host.
type Session struct {
	Host        types.HostID      `json:"host"`
	Incarnation types.Incarnation `json:"incarnation"`
}

// Begin claims a call for one attempt. A target may be asked only after Begin
// has been committed.
type Begin struct {
	Account     types.AccountID   `json:"account"`
	Limit       limit.Limit       `json:"limit"`
	Program     types.ProgramID   `json:"program"`
	Number      types.CallNumber  `json:"number"`
	Attempt     types.AttemptID   `json:"attempt"`
	Session     Session           `json:"session"`
	Service     types.ServiceID   `json:"service"`
	Fingerprint types.Fingerprint `json:"fingerprint"`
	Request     []byte            `json:"request"`
	// Idempotent is set if the call may be repeated.
	Idempotent bool `json:"idempotent"`
	// Reserve is the most that a model may generate.
	Reserve types.Tokens `json:"reserve"`
	// Hold is the target that will be asked to keep memory for the program, or
	// empty.
	Hold types.TargetID `json:"hold,omitempty"`
}

// Holder is a target that may keep memory for a program.
type Holder struct {
	Target types.TargetID `json:"target"`
	// Prefix is how much of the program it had seen after its last call.
	Prefix types.Bytes `json:"prefix"`
}

// Begun answers a Begin that took effect.
type Begun struct {
	// Holders are the targets of the call's service that hold memory for the
	// program, Hold among them.
	Holders []Holder `json:"holders,omitempty"`
	// Left is the time until the program's budget of time ends.
	Left time.Duration `json:"left"`
}

// Outcome is how a call ended.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeAnswered says that a target answered; Status holds how.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed says that the call ended without an answer and that it
	// was idempotent or did not run.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown says that a call which may not be repeated may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Close ends a call.
type Close struct {
	Account     types.AccountID  `json:"account"`
	Program     types.ProgramID  `json:"program"`
	Number      types.CallNumber `json:"number"`
	Attempt     types.AttemptID  `json:"attempt"`
	Outcome     Outcome          `json:"outcome"`
	Status      int              `json:"status,omitempty"`
	ContentType string           `json:"contentType,omitempty"`
	Response    []byte           `json:"response,omitempty"`
	Fault       *types.Fault     `json:"fault,omitempty"`
	Tokens      types.Tokens     `json:"tokens"`
	// Target is the target that answered or failed.
	Target types.TargetID `json:"target,omitempty"`
	// Holding is set if Target keeps memory for the program.
	Holding bool `json:"holding,omitempty"`
	// Unused is a target that Begin named in Hold and that was not asked.
	Unused types.TargetID `json:"unused,omitempty"`
	// Crashed is set if the target died while it ran the call.
	Crashed bool `json:"crashed,omitempty"`
}

// Abandon takes back an attempt, so that another may be made. It is allowed if
// the call is idempotent or if NotRun is set.
type Abandon struct {
	Account types.AccountID  `json:"account"`
	Program types.ProgramID  `json:"program"`
	Number  types.CallNumber `json:"number"`
	Attempt types.AttemptID  `json:"attempt"`
	NotRun  bool             `json:"notRun"`
	Crashed bool             `json:"crashed,omitempty"`
}

// End ends a program and all its sub-agents.
type End struct {
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	// Overdue ends it only if its budget of time has run out.
	Overdue bool `json:"overdue,omitempty"`
}

// Admit spends one request of an account's limit outside any program.
type Admit struct {
	Account types.AccountID `json:"account"`
	Limit   limit.Limit     `json:"limit"`
	// Attempt makes a repeated Admit recognisable.
	Attempt types.AttemptID `json:"attempt"`
	// Fingerprint is checked against the quarantine.
	Fingerprint types.Fingerprint `json:"fingerprint"`
	// Crashed notes that a target died while it ran the request, in place of
	// spending anything.
	Crashed bool `json:"crashed,omitempty"`
}

// Expire ends the session of an entry host: the calls that it had begun are
// freed if they are idempotent and closed as unknown if not.
type Expire struct {
	Session Session `json:"session"`
}

// Release notes that a target holds no memory for a program any more.
type Release struct {
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	Target  types.TargetID  `json:"target"`
}
