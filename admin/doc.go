// Package admin is the state machine of shard group 0, which holds the
// configuration, the orders of operators and the audit trail.
package admin
