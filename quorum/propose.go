package quorum

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/types"
)

// Propose appends a command and returns its result once it is committed and
// applied. It returns a [types.Fault]: notLeader if nothing was appended,
// unavailable with an unknown outcome if the command may yet be committed.
func (r *Replica[C, R]) Propose(ctx context.Context, command C) (R, error) {
	data := types.Encode(command)
	return r.enqueue(ctx, func(now types.Mono) (Index, error) { return r.core.Propose(now, data) })
}

// enqueue runs append within the loop and waits for the entry that it made.
func (r *Replica[C, R]) enqueue(ctx context.Context, propose func(types.Mono) (Index, error)) (R, error) {
	r.init()
	reply := make(chan proposalResult[R], 1)
	step := func(now types.Mono) {
		i, err := propose(now)
		if err != nil {
			reply <- proposalResult[R]{err: r.notLeader(err)}
			return
		}
		r.mu.Lock()
		r.waiters[i] = waiter[R]{term: r.core.Term(), reply: reply}
		r.mu.Unlock()
	}
	var zero R
	select {
	case r.inbox <- step:
	case <-ctx.Done():
		return zero, types.NewFault(types.CodeOverloaded, "the group's inbox is full").After(retryElection)
	}
	select {
	case result := <-reply:
		return result.value, result.err
	case <-ctx.Done():
		return zero, types.NewFault(types.CodeDeadline, "the command was not committed in time").WithRan(types.Unknown)
	}
}

func (r *Replica[C, R]) notLeader(err error) error {
	if !errors.Is(err, ErrNotLeader) {
		return err
	}
	f := types.NewFault(types.CodeNotLeader, "group %d is led by another host", r.Group).After(retryElection)
	f.Leader = r.core.Leader().Host()
	return f
}

// ChangeMembers proposes the membership that change makes of the newest one.
// It returns once the change is appended; the leader alone can do it.
func (r *Replica[C, R]) ChangeMembers(ctx context.Context, change func(Members) Members) error {
	r.init()
	reply := make(chan error, 1)
	step := func(now types.Mono) {
		_, err := r.core.ProposeMembers(now, change(r.core.Members()))
		reply <- r.notLeader(err) // Here, since it reads the core, which belongs to the loop.
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

// Read runs fn, which may read the machine, if this replica leads and no other
// can have been elected; else it returns a notLeader fault. The lease is
// checked after fn as well, so that a process frozen meanwhile answers nothing
// stale.
func (r *Replica[C, R]) Read(fn func(s Status, at types.LogTime)) error {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if err := r.checkLease(); err != nil {
		return err
	}
	fn(r.status, r.logTime())
	return r.checkLease()
}

func (r *Replica[C, R]) checkLease() error {
	if r.status.Role == Leader && r.Clock() < r.status.LeaseUntil {
		return nil
	}
	f := types.NewFault(types.CodeNotLeader, "group %d is led by another host", r.Group).After(retryElection)
	if r.status.Role != Leader {
		f.Leader = r.status.Leader.Host()
	}
	return f
}

// logTime returns the log time as of the last published status. Callers hold
// mu. The core itself belongs to the loop, so its clock is read through the
// status.
func (r *Replica[C, R]) logTime() types.LogTime {
	return r.status.LogTime.Add(r.Clock().Sub(r.status.LogTimeAt))
}
