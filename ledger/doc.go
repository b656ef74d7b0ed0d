// Package ledger implements the replicated state machine of the shard groups
// that store client accounts. It keeps the journal of each program (the order
// and the outcomes of its calls, its budget, the targets that cache its
// prefix) and the rate limit of each account.
//
// Every decision is made by [Machine.Apply] on a committed [Command], and hence
// in one place and one order for the whole fleet. The package reads no clock:
// the time is passed in with each command.
package ledger
