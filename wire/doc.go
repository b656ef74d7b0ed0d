// Package wire exchanges typed messages between the processes of a fleet,
// encoded in CBOR and sent over WebSocket.
//
// A [Link] is the client side of a connection to one host and reconnects
// automatically. A [Server] handles the requests. Requests are multiplexed: each
// has an ID, and replies may arrive in any order. A reply with an unknown ID,
// including one that is late or duplicated, is dropped and counted. Messages
// that are queued when the connection becomes free to write share one WebSocket
// frame.
package wire
