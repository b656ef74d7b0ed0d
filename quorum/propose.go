package quorum

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/types"
)

// Propose appends a command to the log and returns its result once the command is
// committed and applied. It returns a [types.Fault] with code notLeader or
// overloaded if nothing was appended. The fault has code unavailable or
// deadlineExceeded, and its Ran is [types.MayHaveRun], if the command may still be
// committed.
func (r *Replica[C, R]) Propose(ctx context.Context, command C) (R, error) {
	data := types.Encode(command)
	return r.enqueue(ctx, func(now types.Mono) (Index, error) { return r.core.Propose(now, data) })
}

// enqueue runs propose in the replica's loop and waits until the entry that it
// appended is applied.
func (r *Replica[C, R]) enqueue(ctx context.Context, propose func(types.Mono) (Index, error)) (R, error) {
	r.init()
	reply := make(chan proposalResult[R], 1)
	step := func(now types.Mono) {
		i, err := propose(now)
		if err != nil {
			reply <- proposalResult[R]{err: r.notLeaderFault(err)}
			return
		}
		r.pending[i] = pendingProposal[R]{term: r.core.Term(), reply: reply}
	}
	var zero R
	select {
	case r.inbox <- step:
	case <-ctx.Done():
		return zero, types.NewFault(types.CodeOverloaded, "the replica's input queue is full").WithRetryAfter(electionRetryDelay)
	}
	select {
	case result := <-reply:
		return result.value, result.err
	case <-ctx.Done():
		return zero, types.NewFault(types.CodeDeadlineExceeded, "the command was not committed before the deadline").WithRan(types.MayHaveRun)
	}
}

// notLeaderFault converts [ErrNotLeader] to a fault that names the leader's host
// and returns other errors unchanged. It must run in the loop, since it reads the
// core.
func (r *Replica[C, R]) notLeaderFault(err error) error {
	if !errors.Is(err, ErrNotLeader) {
		return err
	}
	f := types.NewFault(types.CodeNotLeader, "this host does not lead group %d", r.Group).WithRetryAfter(electionRetryDelay)
	f.Leader = r.core.Leader().Host()
	return f
}

// ChangeMembers proposes the membership that change returns for the newest one.
// It returns once the new membership is appended to the log, which only the
// leader can do. Other replicas return a notLeader fault.
func (r *Replica[C, R]) ChangeMembers(ctx context.Context, change func(Members) Members) error {
	r.init()
	reply := make(chan error, 1)
	step := func(now types.Mono) {
		_, err := r.core.ProposeMembers(now, change(r.core.Members()))
		reply <- r.notLeaderFault(err) // Called here because only the loop may access the core.
	}
	select {
	case r.inbox <- step:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read runs fn, which may read the state machine, if this replica is the leader
// and holds the lease, so that no other replica can have been elected. Otherwise
// it returns a notLeader fault. The lease is checked again after fn, so that a
// process that was suspended in between returns a fault instead of stale data.
func (r *Replica[C, R]) Read(fn func(s Status, at types.LogTime)) error {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := r.Status()
	if err := r.checkLease(s); err != nil {
		return err
	}
	fn(s, r.logTime(s))
	// If leadership was lost and regained meanwhile, the lease is not published before fn ends:
	// the loop first applies an entry of the new term, which waits for mu.
	return r.checkLease(r.Status())
}

// checkLease returns a notLeader fault unless this replica holds the lease by status s.
func (r *Replica[C, R]) checkLease(s Status) error {
	if s.Role == Leader && r.Clock() < s.LeaseUntil {
		return nil
	}
	f := types.NewFault(types.CodeNotLeader, "this host does not lead group %d", r.Group).WithRetryAfter(electionRetryDelay)
	if s.Role != Leader {
		f.Leader = s.Leader.Host()
	}
	return f
}

// logTime returns the current log time, extrapolated from a published status because only
// the loop may access the core.
func (r *Replica[C, R]) logTime(s Status) types.LogTime {
	return s.LogTime.Add(r.Clock().Sub(s.LogTimeAt))
}
