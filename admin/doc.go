// Package admin implements the replicated state machine of shard group 0, which
// stores the configuration, the decisions on operators' orders and the audit
// trail.
package admin
