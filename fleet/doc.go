// Package fleet implements host discovery and the configuration group.
//
// A host is configured with the addresses of up to three control hosts, the
// seeds. The control hosts bootstrap one replicated group whose state machine,
// a [Machine], holds the plan, the registered stores and the shard map. A
// [Control] runs one replica of that group. On the leader it also maintains the
// list of targets, divides the limits of client accounts among hosts and moves
// shards between stores. A [Client] runs on every host and follows the leader
// by long polling: it keeps one request open, to which the leader replies as
// soon as the plan, the shard map or the list of targets changes.
package fleet
