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

// The message kinds that control hosts accept.
const (
	KindHello        wire.Kind = "fleet.hello"
	KindQuorum       wire.Kind = "fleet.quorum"
	KindJoin         wire.Kind = "fleet.join"
	KindSync         wire.Kind = "fleet.sync"
	KindCopied       wire.Kind = "fleet.copied"
	KindLimits       wire.Kind = "fleet.limits"
	KindPut          wire.Kind = "fleet.put"
	KindRead         wire.Kind = "fleet.read"
	KindRetire       wire.Kind = "fleet.retire"
	KindRetireStatus wire.Kind = "fleet.retired"
	KindTrail        wire.Kind = "fleet.trail"
)

// Target is a back end that serves one service.
type Target struct {
	ID      types.TargetID  `json:"id"`
	Service types.ServiceID `json:"service"`
	Address string          `json:"address"`
	Zone    types.ZoneID    `json:"zone"`
	Slots   int             `json:"slots"`
	// Draining targets receive no new requests.
	Draining bool `json:"leaving,omitempty"`
	// Announced is set if the target has announced to a host that it drains, and the
	// platform's list does not show it yet. Draining is set, too.
	Announced bool `json:"announced,omitempty"`
	// ColdLeft is how long the target stays cold, counted from when the list was sent; 0
	// if it is warm. The checksum of the list does not cover it.
	ColdLeft time.Duration `json:"cold,omitempty"`
}

// Targets is a snapshot of the list of targets.
type Targets struct {
	// Checksum is a hash of the list. It is 0 only if the list has not been
	// fetched.
	Checksum uint64   `json:"sum"`
	List     []Target `json:"list"` // sorted by ID
}

// HelloRequest queries the state of a control host's replica.
type HelloRequest struct{}

// HelloReply describes a control host's replica.
type HelloReply struct {
	ID quorum.ReplicaID `json:"id"`
	// MayBootstrap is set if the host's data directory was created when all
	// hosts started for the first time, and has not been lost since.
	MayBootstrap bool `json:"mayFound"`
	// Bootstrapped is set if the replica belongs to a group.
	Bootstrapped bool           `json:"formed"`
	Members      quorum.Members `json:"members"`
	// Commands is the set of commands that the host can apply.
	Commands CommandSet `json:"commands,omitempty"`
}

// JoinRequest asks the leader to add a replica as a learner.
type JoinRequest struct {
	Member quorum.Member `json:"member"`
}

// Ack is the reply to a request that returns no data.
type Ack struct{}

// Versions identifies the plan, the shard map and the list of targets that a
// host has.
type Versions struct {
	Plan    types.Version `json:"version"`  // of the plan
	Map     Revision      `json:"revision"` // of the shard map
	Targets uint64        `json:"targets"`  // checksum of the list
	Zones   ZoneRevision  `json:"zones,omitempty"`
}

// SyncRequest is a long poll for changes since Versions. The leader replies as
// soon as it has a change, or after Wait.
type SyncRequest struct {
	Host types.HostID `json:"host"`
	// Store is set on hosts that run a store. The request then registers the
	// store, if necessary, and serves as its heartbeat.
	Store    *turns.Member `json:"store,omitempty"`
	Versions Versions      `json:"have"`
	Wait     time.Duration `json:"wait"`
	// Zone is the host's availability zone.
	Zone types.ZoneID `json:"zone,omitempty"`
	// KnowsZones is set by builds that can apply SyncReply.Zones. Others do not return
	// Versions.Zones.
	KnowsZones bool `json:"knowsZones,omitempty"`
}

// SyncReply contains the changes since the versions of the request. Plan, Map,
// Targets and Zones are nil if unchanged.
type SyncReply struct {
	Plan    *plan.Plan `json:"plan,omitempty"`
	Map     *turns.Map `json:"map,omitempty"`
	Targets *Targets   `json:"targets,omitempty"`
	// Zones is also nil from a leader that knows no evacuations.
	Zones *ZoneReports `json:"zones,omitempty"`
	// Versions are the host's versions after it has applied the reply.
	Versions Versions `json:"have"`
	// ControlHosts lists the addresses of the control hosts.
	ControlHosts []string `json:"control"`
}

// CopiedRequest reports the shard moves for which a store has copied all data.
type CopiedRequest struct {
	Store  turns.StoreID               `json:"store"`
	Copied map[turns.Shard]turns.Epoch `json:"copied"` // epoch of the move, by shard
}

// LimitsRequest renews or returns a host's allotments of account limits.
type LimitsRequest struct {
	Host    types.HostID                     `json:"host"`
	Demands map[types.AccountID]limit.Demand `json:"demands"`
	// TargetDemands are the demands for the limits that targets name, and
	// TargetNotices what the host knows of these.
	TargetDemands map[types.TargetID]limit.Demand `json:"targetDemands,omitempty"`
	TargetNotices TargetNotices                   `json:"targetNotices,omitempty"`
	// TargetsCold tells of the targets in TargetDemands how long they stay cold.
	TargetsCold ColdTargets `json:"targetsCold,omitempty"`
	// Return is set if the host is shutting down and returns its allotments.
	Return bool `json:"return,omitempty"`
}

// LimitsReply holds an allotment for each requested account that has a limit.
type LimitsReply struct {
	Allotments map[types.AccountID]limit.Allotment `json:"allotments"`
	// TargetAllotments holds an allotment for each requested target that names a
	// limit, and TargetNotices what the leader knows of the others.
	TargetAllotments map[types.TargetID]limit.Allotment `json:"targetAllotments,omitempty"`
	TargetNotices    TargetNotices                      `json:"targetNotices,omitempty"`
}

// ReadRequest requests the plan in force.
type ReadRequest struct{}

// ReadReply holds the plan in force.
type ReadReply struct {
	Body    []byte        `json:"body"`    // the plan as the operator sent it
	Version types.Version `json:"version"` // 0 if there is no plan
}

// RetireStatus is the progress of retiring a store.
type RetireStatus struct {
	// Complete is set once no shard is assigned to the store.
	Complete bool `json:"complete"`
}
