// Package intake bounds the memory that a process holds for peers that it does not control:
// the bytes of requests that have arrived in part or as a whole, headers, the connections
// themselves and what the kernel keeps for those that are not read.
//
// The ports of a process share one [Budget], whose size follows from the memory of the host, except
// those for readiness checks and metrics, which have a small one each.
// Memory is charged as bytes arrive, never because a peer announces them. If there is none left,
// peers that are slow with an incomplete request lose theirs first. A quarter of the budget is
// kept for holders of little memory, so that ordinary requests are served beside large ones.
package intake
