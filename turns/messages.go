package turns

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// Kinds of requests to a store.
const (
	KindClaim wire.Kind = "turns.claim"
	KindClose wire.Kind = "turns.close"
	KindChain wire.Kind = "turns.chain"
	KindCopy  wire.Kind = "turns.copy"
	// KindList and KindFetch are unknown to stores of earlier builds, from which
	// shards are copied with KindCopy.
	KindList  wire.Kind = "turns.list"
	KindFetch wire.Kind = "turns.fetch"
	// KindAdopt is unknown to stores of earlier builds, which then adopt no turns.
	KindAdopt wire.Kind = "turns.adopt"
	// KindContinued is unknown to stores of earlier builds. As long as these are
	// needed for a quorum, no turn expires.
	KindContinued wire.Kind = "turns.continued"
)

// Every request has the ID of the store that it is addressed to, because
// another store, with an empty directory, may have started at the same address.

// ClaimRequest adds a claim on a program's budget, which is durable when the store replies unless
// it is a held one. If the claim's attempt is empty, it only reads the existing claims.
type ClaimRequest struct {
	To      StoreID         `json:"to"`
	Shard   Shard           `json:"shard"`
	Epoch   Epoch           `json:"epoch"`
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	Claim   Claim           `json:"claim"`
	// Within is how long the client waits. What the store has not begun to write by then, it does not write. The default, which
	// earlier builds send, is no limit.
	Within Millis `json:"within,omitempty"`
}

// ClaimReply lists all claims on the program's budget that the store has.
type ClaimReply struct {
	Claims []Claim `json:"claims"`
	// Held lists the claims of turns that no target has yet, in the order of their arrival. Stores of
	// earlier builds have them among Claims.
	Held []Claim `json:"held,omitempty"`
}

// CloseRequest settles a claim and writes the turn that the attempt produced,
// if any.
type CloseRequest struct {
	To      StoreID         `json:"to"`
	Shard   Shard           `json:"shard"`
	Epoch   Epoch           `json:"epoch"`
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	Claim   Claim           `json:"claim"`
	Turn    *Turn           `json:"turn,omitempty"`
	Within  Millis          `json:"within,omitempty"` // as in ClaimRequest
}

// sharedTurnBytes is the size from which on a turn is encoded once for all stores.
const sharedTurnBytes = 64 << 10

// closeHead is a [CloseRequest] whose turn is encoded already. Stores decode it as that type, so
// that the fields of both must have the same names.
type closeHead struct {
	To      StoreID          `json:"to"`
	Shard   Shard            `json:"shard"`
	Epoch   Epoch            `json:"epoch"`
	Account types.AccountID  `json:"account"`
	Program types.ProgramID  `json:"program"`
	Claim   Claim            `json:"claim"`
	Within  Millis           `json:"within,omitempty"`
	Turn    types.RawMessage `json:"turn"`
}

// shareTurn returns the encoded turn if it is large.
func (r *CloseRequest) shareTurn() []byte {
	if r.Turn == nil || r.Turn.memoryBytes() < sharedTurnBytes {
		return nil
	}
	return types.EncodeSized(r.Turn, r.Turn.memoryBytes()+len(r.Turn.Account)+len(r.Turn.ID)+len(r.Turn.Previous)+len(r.Turn.Program)+len(r.Turn.Target))
}

// encode returns the encoding of r in two parts. turn is the result of shareTurn.
func (r CloseRequest) encode(turn []byte) (head, tail []byte) {
	if turn == nil {
		return types.Encode(r), nil
	}
	return types.EncodeHead(func(last types.RawMessage) closeHead {
		return closeHead{To: r.To, Shard: r.Shard, Epoch: r.Epoch, Account: r.Account, Program: r.Program, Claim: r.Claim, Within: r.Within, Turn: last}
	}), turn
}

// EmptyReply is the reply to a request that returns no data.
type EmptyReply struct{}

// ChainRequest requests a turn and the turns before it.
type ChainRequest struct {
	To      StoreID         `json:"to"`
	Account types.AccountID `json:"account"`
	Turn    TurnID          `json:"turn"`
}

// ChainReply contains turns, newest first. The list ends at the start of the
// chain, before the first turn that the store lacks, or when the reply is full.
// It is empty if the store lacks the requested turn.
type ChainReply struct {
	Turns []Turn `json:"turns,omitempty"`
	// Epochs are the epochs of all shards in the store's map. They are empty if
	// the reply contains turns or the store has no map.
	Epochs []Epoch `json:"epochs,omitempty"`
}

// CopyRequest requests a store's data of a shard, starting at a position.
type CopyRequest struct {
	To    StoreID  `json:"to"`
	Shard Shard    `json:"shard"`
	Epoch Epoch    `json:"epoch"`
	From  Position `json:"from"`
}

// Position is a position in the sequence of data that a store sends while one
// of its shards is copied. The zero value is the start.
type Position struct {
	Segment uint64 `json:"segment"`
	Index   int    `json:"index"`
	// Programs is set after all programs have been sent.
	Programs bool `json:"programs,omitempty"`
}

// CopyReply is one part of a shard. Next is the position of the following part,
// unless Done is set.
type CopyReply struct {
	Turns []Turn `json:"turns,omitempty"`
	// Ages are the times since each of Turns was last used. They are empty if an
	// earlier build has sent the reply.
	Ages     []time.Duration `json:"ages,omitempty"`
	Programs []Program       `json:"programs,omitempty"`
	Next     Position        `json:"next"`
	Done     bool            `json:"done,omitempty"`
}

// Program is a program with its claims, as stored in the journal and sent to
// other stores.
type Program struct {
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	Claims  []Claim         `json:"claims"`
}

// TurnRef names a turn.
type TurnRef struct {
	Account types.AccountID `json:"account"`
	ID      TurnID          `json:"id"`
}

// ContinuedRequest asks which of some turns, whose retention has passed at the
// sender, are continued by others. It takes some 60 bytes for each turn.
type ContinuedRequest struct {
	To    StoreID   `json:"to"`
	Turns []TurnRef `json:"turns"`
}

// ContinuedReply lists the turns of the request that are continued by a turn of
// the store that is not in the request.
type ContinuedReply struct {
	Continued []Continued `json:"continued,omitempty"`
	// Epochs are the epochs of all shards in the store's map. They are empty if
	// it has none.
	Epochs []Epoch `json:"epochs,omitempty"`
}

// Continued says that a turn is continued by another one.
type Continued struct {
	// Index is the position of the turn in the request.
	Index int `json:"index"`
	// Age is the time since the last turn that is known to continue it was used.
	Age time.Duration `json:"age"`
}

// ListRequest requests the list of a shard's turns and all its claims.
type ListRequest struct {
	To    StoreID `json:"to"`
	Shard Shard   `json:"shard"`
	Epoch Epoch   `json:"epoch"`
}

// ListReply lists the turns of a shard. It takes
// some 70 bytes for each turn and the size of the claims: 280 KB and 500 KB for
// the 4,000 turns that a shard has with keep_s of 600 s (docs/CAPACITY.md).
type ListReply struct {
	Turns    []ListedTurn `json:"turns,omitempty"`
	Programs []Program    `json:"programs,omitempty"`
}

// ListedTurn describes a turn that the sender has.
type ListedTurn struct {
	Account types.AccountID `json:"account"`
	ID      TurnID          `json:"id"`
	// Bytes is the size of the turn's record.
	Bytes int `json:"bytes"`
	// Age is the time since the turn was last used.
	Age time.Duration `json:"age"`
}

// FetchRequest requests turns by their IDs.
type FetchRequest struct {
	To    StoreID   `json:"to"`
	Turns []TurnRef `json:"turns"`
}

// FetchReply contains the turns of the request that the store has.
type FetchReply struct {
	Turns []Turn `json:"turns,omitempty"`
}

// AdoptRequest asks a store to fetch turns from another store and keep them.
type AdoptRequest struct {
	To     StoreID      `json:"to"`
	Shard  Shard        `json:"shard"`
	Epoch  Epoch        `json:"epoch"`
	Source StoreID      `json:"source"`
	Turns  []ListedTurn `json:"turns"`
}

// AdoptReply is sent once the turns are durable.
type AdoptReply struct {
	// Lacking are the positions of turns in the request that the source did not have.
	Lacking []int `json:"lacking,omitempty"`
	// Unfinished are those of turns that the store lacks since the source has not replied.
	Unfinished []int `json:"unfinished,omitempty"`
}
