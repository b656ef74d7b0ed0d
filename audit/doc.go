// Package audit keeps a trail of changes in which a gap, a change or a
// reordering shows: every record carries the hash of the one before it.
package audit
