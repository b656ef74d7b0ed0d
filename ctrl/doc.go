// Package ctrl is the client side of the control hosts. It defines the messages
// that they answer and a [Client] that finds the leader of a shard group and
// retries when the leader changes.
package ctrl
