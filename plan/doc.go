// Package plan holds what operators decide: which requests go to which
// services, which client accounts exist, and what each may use.
//
// A [Plan] is one version of that, complete in itself. A [Table] is a plan
// indexed for serving; it never changes once it is made and is safe for
// concurrent use.
package plan
