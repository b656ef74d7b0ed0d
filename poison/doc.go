// Package poison detects poison requests: requests that end the process of every
// target that runs them.
//
// A target that ends takes all its requests in flight with it, so each of them is a
// suspect at first. A [Table] tells the cause from the others by what a poison
// request cannot do: it never completes. Each attempt that the end of a target interrupts
// counts. Attempts that ran at the same time count once if a target without the request
// ended with theirs, and the loss of many targets of an availability zone at once counts
// against no request.
package poison
