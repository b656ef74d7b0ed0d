package turns

import (
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// The kinds of messages to a store.
const (
	KindClaim wire.Kind = "turns.claim"
	KindClose wire.Kind = "turns.close"
	KindChain wire.Kind = "turns.chain"
	KindCopy  wire.Kind = "turns.copy"
)

// Every request names the store that it is meant for: another may have come
// up at the same address, with an empty folder.

// ClaimRequest claims a part of a program's budget, or looks at the claims if
// the attempt is empty.
type ClaimRequest struct {
	To      StoreID         `json:"to"`
	Shard   Shard           `json:"shard"`
	Epoch   Epoch           `json:"epoch"`
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	Claim   Claim           `json:"claim"`
}

// ClaimReply lists all claims on the program's budget that the store knows.
type ClaimReply struct {
	Claims []Claim `json:"claims"`
}

// CloseRequest settles a claim and writes the turn that came of it, if any.
type CloseRequest struct {
	To      StoreID         `json:"to"`
	Shard   Shard           `json:"shard"`
	Epoch   Epoch           `json:"epoch"`
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	Claim   Claim           `json:"claim"`
	Turn    *Turn           `json:"turn,omitempty"`
}

// Done is the answer to a request that asks for nothing back.
type Done struct{}

// ChainRequest asks for a turn and those before it.
type ChainRequest struct {
	To      StoreID         `json:"to"`
	Account types.AccountID `json:"account"`
	Turn    TurnID          `json:"turn"`
}

// ChainReply holds turns, the newest first. They end at the start of the
// chain, or at a turn that names a previous one which the store lacks, or when
// the reply is full.
type ChainReply struct {
	Turns []Turn `json:"turns,omitempty"`
}

// CopyRequest asks for what a store holds of a shard, from a position on.
type CopyRequest struct {
	To    StoreID  `json:"to"`
	Shard Shard    `json:"shard"`
	Epoch Epoch    `json:"epoch"`
	From  Position `json:"from"`
}

// Position is a place in a store's order of records.
type Position struct {
	Segment uint64 `json:"segment"`
	Index   int    `json:"index"`
	// Programs is set once all programs were sent.
	Programs bool `json:"programs,omitempty"`
}

// CopyReply is a part of a shard.
type CopyReply struct {
	Turns    []Turn    `json:"turns,omitempty"`
	Programs []Program `json:"programs,omitempty"`
	Next     Position  `json:"next"`
	Done     bool      `json:"done,omitempty"`
}

// Program is a program's claims, as they are written and copied.
type Program struct {
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	Claims  []Claim         `json:"claims"`
}
