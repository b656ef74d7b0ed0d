// Package manage implements the HTTP administration interface, which serves the
// configuration, orders, the audit trail, the state of shard groups, health checks
// and metrics. docs/OPERATIONS.md describes its use.
package manage
