package types

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ExecutionState states whether a target executed a failed request, which may
// then have had side effects.
type ExecutionState string

// Execution states of a failed request.
const (
	// NotRun means that no byte of the request has reached or will reach a
	// target.
	NotRun ExecutionState = "notRun"
	// DidRun means that a target executed the request.
	DidRun ExecutionState = "ran"
	// MayHaveRun means that a target may have executed the request.
	MayHaveRun ExecutionState = "unknown"
)

// Code is the machine-readable kind of a fault.
type Code string

// Fault codes returned to callers and operators.
const (
	CodeBadRequest       Code = "badRequest"
	CodeUnauthorized     Code = "unauthorized"
	CodeNotFound         Code = "notFound"
	CodeConflict         Code = "conflict"
	CodeOutOfOrder       Code = "outOfOrder"
	CodeInProgress       Code = "inProgress"
	CodeProgramEnded     Code = "programEnded"
	CodeBudgetExceeded   Code = "budgetExceeded"
	CodeRateLimited      Code = "rateLimited"
	CodeQuarantined      Code = "quarantined"
	CodeNoTarget         Code = "noTarget"
	CodeTargetFailed     Code = "targetFailed"
	CodeOutcomeUnknown   Code = "outcomeUnknown"
	CodeDeadlineExceeded Code = "deadlineExceeded"
	CodeUnavailable      Code = "unavailable"
	CodeNotLeader        Code = "notLeader"
	CodeOverloaded       Code = "overloaded"
	CodeInternal         Code = "internal"
	CodePayloadTooLarge  Code = "payloadTooLarge"
	CodeRequestTimeout   Code = "requestTimeout"
)

// Fault is the only error type that is sent between processes. Create faults
// with [NewFault]; the zero value is not useful.
type Fault struct {
	// Code is the kind of the fault, for programs.
	Code Code `json:"code"`
	// Message describes the fault for people. It never contains a key.
	Message string `json:"message"`
	// Ran states whether a target executed the request.
	Ran ExecutionState `json:"ran"`
	// RetryAfter is the time to wait before a retry; it is encoded in
	// nanoseconds. Zero means that a retry of the same request is pointless.
	RetryAfter time.Duration `json:"-" cbor:"retryAfter"`
	// Leader is the host to send the request to instead. It is set only if
	// Code is [CodeNotLeader] and the leader is known.
	Leader HostID `json:"-" cbor:"leader"`
}

// Error implements the error interface.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s: %s (%s)", f.Code, f.Message, f.Ran)
}

// NewFault returns a fault with a formatted message, whose Ran is [NotRun].
func NewFault(code Code, format string, args ...any) *Fault {
	return &Fault{Code: code, Message: fmt.Sprintf(format, args...), Ran: NotRun}
}

// WithRan returns a copy of f with the given Ran.
func (f *Fault) WithRan(ran ExecutionState) *Fault {
	g := *f
	g.Ran = ran
	return &g
}

// WithRetryAfter returns a copy of f with RetryAfter set to d.
func (f *Fault) WithRetryAfter(d time.Duration) *Fault {
	g := *f
	g.RetryAfter = d
	return &g
}

// AsFault returns the first [Fault] in the chain of err. If there is none, it
// returns a fault with [CodeInternal] and [MayHaveRun], since nothing is known
// about the execution of the request.
func AsFault(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return NewFault(CodeInternal, "%v", err).WithRan(MayHaveRun)
}

// IsCode reports whether the first [Fault] in the chain of err has the given
// code.
func IsCode(err error, code Code) bool {
	var f *Fault
	return errors.As(err, &f) && f.Code == code
}
