package types

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Ran tells whether the request behind an error may have had an effect.
type Ran string

// The three answers to "did it run?".
const (
	// NotRun says that no byte of the request reached a target and that none
	// will.
	NotRun Ran = "notRun"
	// DidRun says that a target ran the request.
	DidRun Ran = "ran"
	// Unknown says that a target may have run the request.
	Unknown Ran = "unknown"
)

// Code names a kind of fault for programs to act on.
type Code string

// The codes of faults that callers and operators see.
const (
	CodeBadRequest      Code = "badRequest"
	CodeUnauthorized    Code = "unauthorized"
	CodeNotFound        Code = "notFound"
	CodeConflict        Code = "conflict"
	CodeOutOfOrder      Code = "outOfOrder"
	CodeInProgress      Code = "inProgress"
	CodeProgramEnded    Code = "programEnded"
	CodeBudgetExceeded  Code = "budgetExceeded"
	CodeRateLimited     Code = "rateLimited"
	CodeQuarantined     Code = "quarantined"
	CodeNoTarget        Code = "noTarget"
	CodeTargetFailed    Code = "targetFailed"
	CodeOutcomeUnknown  Code = "outcomeUnknown"
	CodeDeadline        Code = "deadlineExceeded"
	CodeUnavailable     Code = "unavailable"
	CodeNotLeader       Code = "notLeader"
	CodeOverloaded      Code = "overloaded"
	CodeInternal        Code = "internal"
	CodePayloadTooLarge Code = "payloadTooLarge"
)

// Fault is the one error type that crosses process boundaries. Its zero value
// is not useful; build one with [NewFault].
type Fault struct {
	// Code tells programs what happened.
	Code Code `json:"code"`
	// Message tells people what happened. It never holds a key.
	Message string `json:"message"`
	// Ran tells whether the request may have had an effect.
	Ran Ran `json:"ran"`
	// RetryAfter is how long to wait before coming back, in nanoseconds. Zero
	// means that coming back with the same request makes no sense.
	RetryAfter time.Duration `json:"-" cbor:"retryAfter"`
	// Leader is the host to ask instead, if the code is [CodeNotLeader] and
	// the leader is known.
	Leader HostID `json:"-" cbor:"leader"`
}

// Error implements the error interface.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s: %s (%s)", f.Code, f.Message, f.Ran)
}

// NewFault returns a fault whose request did not run.
func NewFault(code Code, format string, args ...any) *Fault {
	return &Fault{Code: code, Message: fmt.Sprintf(format, args...), Ran: NotRun}
}

// WithRan returns a copy of f that says whether the request ran.
func (f *Fault) WithRan(ran Ran) *Fault {
	g := *f
	g.Ran = ran
	return &g
}

// After returns a copy of f that tells when to come back.
func (f *Fault) After(d time.Duration) *Fault {
	g := *f
	g.RetryAfter = d
	return &g
}

// AsFault returns the fault within err. An error that holds none becomes an
// internal fault whose request may have run.
func AsFault(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return NewFault(CodeInternal, "%v", err).WithRan(Unknown)
}

// IsCode reports whether err holds a fault with the given code.
func IsCode(err error, code Code) bool {
	var f *Fault
	return errors.As(err, &f) && f.Code == code
}
