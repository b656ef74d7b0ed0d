// Package ledger is the state machine of the shard groups that hold client
// accounts: the journal of programs, their order, budgets and holdings, and
// the accounts' rate limits.
//
// Every decision is made by [Machine.Apply] on a committed [Command], and
// hence in one place and one order for the whole fleet. Nothing here reads a
// clock: time comes with the command.
package ledger
