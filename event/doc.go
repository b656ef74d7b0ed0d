// Package event writes numbered log events.
//
// Every event has a number that never changes its meaning. The catalogue,
// with what to do about each, is docs/EVENTS.md; a test keeps the two in step.
package event
