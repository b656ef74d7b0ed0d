// Package manage is the administration interface over HTTP: configuration,
// orders, audit trail, groups, health and metrics. docs/OPERATIONS.md tells
// how to use it.
package manage
