// Package plan defines the configuration set by operators: the routes from
// requests to services, the client accounts and their limits.
//
// A [Plan] is one complete version of the configuration. A [Table] is an index
// of a plan for serving requests. It is immutable and safe for concurrent use.
package plan
