package ctrl

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/admin"
	"github.com/banyanspur/banyanspur/audit"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// The kinds of messages that a control host takes.
const (
	KindQuorum  wire.Kind = "quorum.step"
	KindGroups  wire.Kind = "quorum.groups"
	KindJoin    wire.Kind = "quorum.join"
	KindLease   wire.Kind = "config.lease"
	KindOrder   wire.Kind = "config.order"
	KindInForce wire.Kind = "config.inForce"
	KindFleet   wire.Kind = "config.fleet"
	KindTarget  wire.Kind = "config.target"
	KindTrail   wire.Kind = "config.trail"
	KindLedger  wire.Kind = "ledger.command"
	KindRenew   wire.Kind = "ledger.renew"
	KindProgram wire.Kind = "ledger.program"
)

const (
	// ConfigLease is how long an entry host may serve under a configuration,
	// from the moment it asked for the lease.
	ConfigLease = 2 * time.Second
	// ConfigLeaseWait is how long the leader counts on a lease that it
	// granted. It is longer than ConfigLease by the drift allowed between two
	// clocks.
	ConfigLeaseWait = 2500 * time.Millisecond
	// SessionLease is how long an entry host may begin to ask targets, from
	// the moment it renewed its session.
	SessionLease = 2 * time.Second
	// SessionWait is how long the leader waits for a renewal before it
	// expires the session.
	SessionWait = 3 * time.Second
	// RenewInterval is how often an entry host renews lease and sessions.
	RenewInterval = 400 * time.Millisecond
)

// GroupOf returns the shard group that holds a client account, of groups 1 to
// n.
func GroupOf(id types.AccountID, n uint32) types.GroupID {
	return types.GroupID(xxhash.Sum64String(string(id))%uint64(n) + 1)
}

// QuorumMessage is a message between two replicas of a group.
type QuorumMessage struct {
	Group   types.GroupID  `json:"group"`
	Message quorum.Message `json:"message"`
}

// GroupsRequest asks a control host for its replicas.
type GroupsRequest struct{}

// GroupsReply tells of a control host's replicas, by group.
type GroupsReply struct {
	Host   types.HostID                   `json:"host"`
	Groups map[types.GroupID]GroupReplica `json:"groups"`
}

// GroupReplica is one replica of a control host.
type GroupReplica struct {
	ID      quorum.ReplicaID `json:"id"`
	Formed  bool             `json:"formed"`
	Members quorum.Members   `json:"members"`
	// Status is set once the replica runs.
	Status quorum.Status `json:"status"`
}

// JoinRequest asks the leader to take a replica in as a learner.
type JoinRequest struct {
	Group  types.GroupID `json:"group"`
	Member quorum.Member `json:"member"`
}

// Done answers a request that has nothing to tell.
type Done struct{}

// LeaseRequest asks for a configuration lease and for what changed.
type LeaseRequest struct {
	Session ledger.Session `json:"session"`
	// Have is the version that the entry host serves under.
	Have types.Version `json:"have"`
}

// LeaseReply grants a lease of [ConfigLease] from the moment of the request,
// on condition that what it brings is applied first.
type LeaseReply struct {
	Version types.Version `json:"version"`
	// Full replaces the configuration; if nil, Changes lead from Have to
	// Version.
	Full    *config.Fleet   `json:"full,omitempty"`
	Changes []config.Change `json:"changes,omitempty"`
}

// OrderRequest gives an operator's order.
type OrderRequest struct {
	Order admin.Order `json:"order"`
}

// InForceRequest asks whether every live entry host serves under a version.
type InForceRequest struct {
	Version types.Version `json:"version"`
}

// InForceReply answers InForceRequest.
type InForceReply struct {
	InForce bool `json:"inForce"`
	// Waiting names the entry hosts that may still serve under an earlier
	// version.
	Waiting []types.HostID `json:"waiting,omitempty"`
}

// FleetRequest asks for the configuration in force.
type FleetRequest struct{}

// TargetRequest asks for one target of the configuration in force.
type TargetRequest struct {
	ID types.TargetID `json:"id"`
}

// TargetReply answers TargetRequest.
type TargetReply struct {
	Found  bool          `json:"found"`
	Target config.Target `json:"target"`
}

// TrailRequest asks for audit records that follow record After.
type TrailRequest struct {
	After uint64 `json:"after"`
}

// TrailReply holds some audit records; none if there are no more.
type TrailReply struct {
	Records []audit.Record `json:"records"`
}

// LedgerRequest gives a command to a shard group.
type LedgerRequest struct {
	Group   types.GroupID  `json:"group"`
	Command ledger.Command `json:"command"`
}

// RenewRequest renews an entry host's session with a shard group.
type RenewRequest struct {
	Group   types.GroupID  `json:"group"`
	Session ledger.Session `json:"session"`
}

// ProgramRequest asks how a program stands.
type ProgramRequest struct {
	Group   types.GroupID   `json:"group"`
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	// History asks for the closed calls as well.
	History bool `json:"history"`
}

// ProgramReply answers ProgramRequest.
type ProgramReply struct {
	Program ledger.Summary `json:"program"`
	Calls   []ledger.Call  `json:"calls,omitempty"`
}
