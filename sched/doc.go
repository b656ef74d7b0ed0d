// Package sched orders the calls that wait at a target: it turns what each
// client account has been served into the priority that engines honour.
package sched
