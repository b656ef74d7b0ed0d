// Package quorum keeps a log of commands on several replicas and applies it to
// a deterministic state machine on each.
//
// [Core] is the protocol: a step function without clock, socket, disk or
// goroutine, which tests and models can drive. [Replica] is the shell around
// it that syncs, sends and applies.
//
// The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote, learners,
// membership changes of one replica at a time and leader leases. A replica
// whose folder was lost comes back under a new [ReplicaID], as a learner.
package quorum
