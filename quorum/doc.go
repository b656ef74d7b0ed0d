// Package quorum replicates a log of commands and applies it to a
// deterministic state machine on each replica.
//
// The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote, learners,
// membership changes of one replica at a time and leader leases. A replica
// that has lost its directory rejoins as a learner under a new [ReplicaID].
//
// [Core] implements the protocol as a step function without clock, socket,
// disk or goroutine, so that tests and models can drive it. [Replica]
// runs a core: it syncs to disk, sends messages and applies committed commands.
package quorum
