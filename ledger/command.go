package ledger

import (
	"time"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// Command is one change of the state. Exactly one field is set.
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

// Result is the result of applying a command. Fault is set if the command was
// refused.
type Result struct {
	Fault *types.Fault `json:"fault,omitempty"`
	// Program is the result of Open, End, Abandon and Release.
	Program *Summary `json:"program,omitempty"`
	// BeginReply is the result of a Begin that started an attempt.
	BeginReply *BeginReply `json:"begun,omitempty"`
	// Call is the recorded call. It is the result of Close, and of Begin if the
	// call was closed before.
	Call *Call `json:"call,omitempty"`
}

// Budget bounds what a program may use. A sub-agent's budget is deducted from
// its parent's.
type Budget struct {
	// Calls is the number of calls.
	Calls int64 `json:"calls"`
	// Tokens is the number of tokens that models may generate.
	Tokens types.Tokens `json:"tokens"`
	// WallTime is the wall-clock time from the opening of the program to its
	// deadline.
	WallTime time.Duration `json:"wall"`
	// Depth is the number of levels of sub-agents below the program.
	Depth int `json:"depth"`
}

// Open opens a program. It is idempotent: a repeated Open with the same budget
// and parent returns the program's current state.
type Open struct {
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	Parent  types.ProgramID `json:"parent,omitempty"`
	Budget  Budget          `json:"budget"`
}

// Session identifies one run of an entry host's process.
type Session struct {
	Host        types.HostID      `json:"host"`
	Incarnation types.Incarnation `json:"incarnation"`
}

// Begin starts an attempt at a call. The call may be sent to a target only
// after Begin has been committed.
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
	// Idempotent is set if the call may be sent to a target more than once.
	Idempotent bool `json:"idempotent"`
	// Reserve is the maximum number of tokens that the model may generate. It is
	// reserved from the program's budget until the call is closed.
	Reserve types.Tokens `json:"reserve"`
	// CacheTarget is the target that will be asked to cache the program's prefix,
	// or empty.
	CacheTarget types.TargetID `json:"hold,omitempty"`
}

// CacheHolder is a target that may have the prefix of a program in its prompt
// cache.
type CacheHolder struct {
	Target types.TargetID `json:"target"`
	// Prefix is the size of the request and the response of the program's last
	// call at the target; 0 before the first one.
	Prefix types.Bytes `json:"prefix"`
}

// BeginReply is the result of a Begin that started an attempt.
type BeginReply struct {
	// CacheHolders are the targets of the call's service that may have the
	// program's prefix cached, including the one named by the Begin.
	CacheHolders  []CacheHolder `json:"holders,omitempty"`
	RemainingTime time.Duration `json:"left"` // time until the program's deadline
}

// Outcome is how a call ended.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeAnswered means that a target responded; Status is its HTTP status.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed means that the call ended without a response, and was
	// idempotent or did not run.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that the call ended without a response, may have run
	// and may not be sent again.
	OutcomeUnknown Outcome = "unknown"
)

// Close ends a call and records its outcome.
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
	// Target is the target to which the call was sent.
	Target types.TargetID `json:"target,omitempty"`
	Cached bool           `json:"holding,omitempty"` // Target has the program's prefix cached
	// UnusedCacheTarget is the target that Begin recorded as caching the
	// program's prefix, if the call was sent to another one; else empty.
	UnusedCacheTarget types.TargetID `json:"unused,omitempty"`
	// Crashed is set if the target crashed while it ran the call.
	Crashed bool `json:"crashed,omitempty"`
}

// Abandon cancels an attempt, so that another may be made. It is allowed if the
// call is idempotent or if NotRun is set.
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
	// OnlyIfOverdue makes the command fail unless the program's deadline has passed.
	OnlyIfOverdue bool `json:"overdue,omitempty"`
}

// Admit charges a request outside any program to the account's rate limit.
type Admit struct {
	Account types.AccountID `json:"account"`
	Limit   limit.Limit     `json:"limit"`
	// Attempt identifies the request, so that a repeated Admit is not charged
	// again.
	Attempt types.AttemptID `json:"attempt"`
	// Fingerprint is checked against the quarantine.
	Fingerprint types.Fingerprint `json:"fingerprint"`
	// Crashed records that a target crashed while it ran the request. Nothing is
	// charged then.
	Crashed bool `json:"crashed,omitempty"`
}

// Expire ends the session of an entry host. Its calls in progress become free
// for another attempt if they are idempotent, and are closed with
// [OutcomeUnknown] if not.
type Expire struct {
	Session Session `json:"session"`
}

// Release records that a target no longer caches the prefix of a program.
type Release struct {
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	Target  types.TargetID  `json:"target"`
}
