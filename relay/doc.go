// Package relay lets an entry host that cannot reach a target connect to it through
// another entry host.
//
// A [Dialer] opens connections to targets: its own ones, and through other hosts where
// its own cannot be made. Nothing else depends on the way a connection takes: the host
// that serves a caller enforces limits and budgets, selects the target and judges its
// responses. A [Server] only forwards bytes.
//
// A relayed connection is a WebSocket connection between the two hosts. Its close code
// tells how the target's connection has ended, so that the end of the relaying process
// does not look like the end of a response.
package relay
