// Package drain keeps track of targets that announce in their responses that they drain,
// before the platform's list shows it.
//
// An entry host sends no new requests to such a target, and tells the leader, which tells
// all other hosts. An announcement ends when the list shows that another process has taken
// the target's place, or if the list keeps contradicting it.
package drain
