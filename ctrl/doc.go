// Package ctrl is the way to the control hosts: the messages that they answer,
// and a [Client] that finds the leader of a group and asks again when it
// changes.
package ctrl
