// Package wire carries typed messages between our own processes, in CBOR over
// WebSocket.
//
// A [Link] is a client's connection to one host; it reconnects by itself. A
// [Server] answers. Requests are multiplexed: each has an id, answers may come
// in any order, and an answer whose id is unknown, late or doubled is dropped
// and counted. Messages that are waiting when the connection is free share one
// WebSocket frame.
package wire
