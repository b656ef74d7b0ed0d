// Package sched computes the priorities by which engines order waiting calls. The
// priority of a client account depends on the service it has received recently.
package sched
