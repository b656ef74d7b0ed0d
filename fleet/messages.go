package fleet

import (
	"time"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// The kinds of messages that a control host takes.
const (
	KindHello   wire.Kind = "fleet.hello"
	KindQuorum  wire.Kind = "fleet.quorum"
	KindJoin    wire.Kind = "fleet.join"
	KindSync    wire.Kind = "fleet.sync"
	KindCopied  wire.Kind = "fleet.copied"
	KindLimits  wire.Kind = "fleet.limits"
	KindPut     wire.Kind = "fleet.put"
	KindRead    wire.Kind = "fleet.read"
	KindRetire  wire.Kind = "fleet.retire"
	KindRetired wire.Kind = "fleet.retired"
	KindTrail   wire.Kind = "fleet.trail"
)

// Target answers requests of one service.
type Target struct {
	ID      types.TargetID  `json:"id"`
	Service types.ServiceID `json:"service"`
	Address string          `json:"address"`
	Zone    types.ZoneID    `json:"zone"`
	Slots   int             `json:"slots"`
	// Leaving targets get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Targets is the list of targets as of one moment.
type Targets struct {
	// Sum identifies the content.
	Sum  uint64   `json:"sum"`
	List []Target `json:"list"`
}

// HelloRequest asks a control host who it is.
type HelloRequest struct{}

// HelloReply tells of a control host's replica.
type HelloReply struct {
	ID quorum.ReplicaID `json:"id"`
	// MayFound is set if the host was started for the first time together with
	// all others, and has lost nothing since.
	MayFound bool           `json:"mayFound"`
	Formed   bool           `json:"formed"`
	Members  quorum.Members `json:"members"`
}

// JoinRequest asks the leader to take a replica in.
type JoinRequest struct {
	Member quorum.Member `json:"member"`
}

// Done is the answer to a request that asks for nothing back.
type Done struct{}

// Have is what a host knows already.
type Have struct {
	Version  types.Version `json:"version"`
	Revision Revision      `json:"revision"`
	Targets  uint64        `json:"targets"` // the sum
}

// SyncRequest asks the leader for what is newer than Have. The answer waits
// until there is something, up to Wait.
type SyncRequest struct {
	Host types.HostID `json:"host"`
	// Store is set by stores.
	Store *turns.Member `json:"store,omitempty"`
	Have  Have          `json:"have"`
	Wait  time.Duration `json:"wait"`
}

// SyncReply holds what is newer than what the host has; the other fields are
// nil.
type SyncReply struct {
	Plan    *plan.Plan `json:"plan,omitempty"`
	Map     *turns.Map `json:"map,omitempty"`
	Targets *Targets   `json:"targets,omitempty"`
	// Have is what the host knows once it has taken this in.
	Have Have `json:"have"`
	// Control lists the addresses of the control hosts.
	Control []string `json:"control"`
}

// CopiedRequest tells for which moves a store has copied everything.
type CopiedRequest struct {
	Store  turns.StoreID               `json:"store"`
	Copied map[turns.Shard]turns.Epoch `json:"copied"`
}

// LimitsRequest asks for allotments of accounts' limits.
type LimitsRequest struct {
	Host    types.HostID                     `json:"host"`
	Demands map[types.AccountID]limit.Demand `json:"demands"`
	// Return is set by a host that stops and gives everything back.
	Return bool `json:"return,omitempty"`
}

// LimitsReply holds an allotment for each account that has a limit.
type LimitsReply struct {
	Allotments map[types.AccountID]limit.Allotment `json:"allotments"`
}

// ReadRequest asks for the plan in force.
type ReadRequest struct{}

// ReadReply holds the plan in force.
type ReadReply struct {
	Body    []byte        `json:"body"`
	Version types.Version `json:"version"`
}

// RetireState tells how far the emptying of a store is.
type RetireState struct {
	Complete bool `json:"complete"`
}
