// Package event writes numbered events to a structured log and searches logs for
// the events of a request.
//
// The meaning of an event's number never changes. docs/EVENTS.md lists all events
// and the response to each; a test checks that the list matches the code.
package event
