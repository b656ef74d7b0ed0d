// Package ctrl defines the messages that control hosts accept, and a [Client] that
// finds the leader of a shard group and retries when the leader changes.
package ctrl
