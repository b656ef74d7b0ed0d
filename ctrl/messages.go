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

// The kinds of messages that a control host accepts.
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
	// ConfigLease is how long an entry host may serve under a configuration
	// after it requested the lease.
	ConfigLease = 2 * time.Second
	// ConfigLeaseTimeout is how long the leader regards a lease that it granted
	// as valid. It is longer than ConfigLease by the drift allowed between two
	// clocks.
	ConfigLeaseTimeout = 2500 * time.Millisecond
	// SessionLease is how long an entry host may start sending calls to targets
	// after it requested the renewal of its session.
	SessionLease = 2 * time.Second
	// SessionTimeout is the time without a renewal after which the leader
	// expires a session.
	SessionTimeout = 3 * time.Second
	// RenewInterval is the interval at which an entry host renews its
	// configuration lease and its sessions.
	RenewInterval = 400 * time.Millisecond
)

// GroupOf returns the shard group, out of groups 1 to n, that stores a client
// account.
func GroupOf(id types.AccountID, n uint32) types.GroupID {
	return types.GroupID(xxhash.Sum64String(string(id))%uint64(n) + 1)
}

// QuorumMessage is a message between two replicas of a group.
type QuorumMessage struct {
	Group   types.GroupID  `json:"group"`
	Message quorum.Message `json:"message"`
}

// GroupsRequest requests the state of a control host's replicas.
type GroupsRequest struct{}

// GroupsReply lists the replicas of a control host by shard group.
type GroupsReply struct {
	Host   types.HostID                   `json:"host"`
	Groups map[types.GroupID]GroupReplica `json:"groups"`
}

// GroupReplica is the state of one replica of a control host.
type GroupReplica struct {
	ID           quorum.ReplicaID `json:"id"`
	Bootstrapped bool             `json:"formed"` // the replica belongs to a group
	Members      quorum.Members   `json:"members"`
	// Status is set once the replica is running.
	Status quorum.Status `json:"status"`
}

// JoinRequest requests that the leader of a group add a replica as a learner.
type JoinRequest struct {
	Group  types.GroupID `json:"group"`
	Member quorum.Member `json:"member"`
}

// Done is the reply to a request that returns no data.
type Done struct{}

// LeaseRequest requests a configuration lease and the changes since the
// configuration version that the entry host serves under.
type LeaseRequest struct {
	Session ledger.Session `json:"session"`
	// CurrentVersion is the version that the entry host serves under, or 0 if it
	// has none.
	CurrentVersion types.Version `json:"have"`
}

// LeaseReply grants a lease of [ConfigLease], counted from when it was requested.
// The entry host must apply the configuration in the reply before it serves
// under the lease.
type LeaseReply struct {
	Version types.Version `json:"version"`
	// Full replaces the whole configuration. If it is nil, Changes lead from the
	// version in the request to Version.
	Full    *config.Fleet   `json:"full,omitempty"`
	Changes []config.Change `json:"changes,omitempty"`
}

// OrderRequest submits an operator's order.
type OrderRequest struct {
	Order admin.Order `json:"order"`
}

// InForceRequest asks whether every live entry host serves under a configuration
// version or a later one.
type InForceRequest struct {
	Version types.Version `json:"version"`
}

// InForceReply is the reply to InForceRequest.
type InForceReply struct {
	InForce bool `json:"inForce"`
	// PendingHosts lists the entry hosts that may still serve under an earlier
	// version.
	PendingHosts []types.HostID `json:"waiting,omitempty"`
}

// FleetRequest requests the configuration in force.
type FleetRequest struct{}

// TargetRequest requests one target of the configuration in force.
type TargetRequest struct {
	ID types.TargetID `json:"id"`
}

// TargetReply is the reply to TargetRequest.
type TargetReply struct {
	Found  bool          `json:"found"` // the configuration has the target
	Target config.Target `json:"target"`
}

// TrailRequest requests the audit records that follow sequence number After.
type TrailRequest struct {
	After uint64 `json:"after"`
}

// TrailReply contains the next page of audit records. It is empty if there are
// no more.
type TrailReply struct {
	Records []audit.Record `json:"records"`
}

// LedgerRequest submits a command to the state machine of a shard group.
type LedgerRequest struct {
	Group   types.GroupID  `json:"group"`
	Command ledger.Command `json:"command"`
}

// RenewRequest renews an entry host's session with a shard group.
type RenewRequest struct {
	Group   types.GroupID  `json:"group"`
	Session ledger.Session `json:"session"`
}

// ProgramRequest requests the summary of a program.
type ProgramRequest struct {
	Group   types.GroupID   `json:"group"`
	Account types.AccountID `json:"account"`
	Program types.ProgramID `json:"program"`
	// History requests the closed calls as well.
	History bool `json:"history"`
}

// ProgramReply is the reply to ProgramRequest.
type ProgramReply struct {
	Program ledger.Summary `json:"program"`
	Calls   []ledger.Call  `json:"calls,omitempty"`
}
