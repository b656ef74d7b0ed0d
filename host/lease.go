package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
)

// leaseTable records the configuration leases that this host granted as leader
// of group 0. It is safe for concurrent use.
type leaseTable struct {
	mu     sync.Mutex
	leases map[ledger.Session]lease
}

// lease permits an entry host to serve requests with its configuration.
type lease struct {
	version types.Version // the version that the entry host reported; it never serves with an older one
	expires types.Mono    // without a new lease, the entry host serves no later than this
}

func (t *leaseTable) grant(s ledger.Session, version types.Version, now types.Mono) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leases == nil {
		t.leases = map[ledger.Session]lease{}
	}
	t.leases[s] = lease{version: version, expires: now.Add(ctrl.ConfigLeaseTimeout)}
}

// hostsBehind returns the entry hosts that may serve with a version older than v
// at time now, sorted by name. It removes expired leases.
func (t *leaseTable) hostsBehind(v types.Version, now types.Mono) []types.HostID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hosts []types.HostID
	for s, l := range t.leases {
		if now >= l.expires {
			delete(t.leases, s)
			continue
		}
		if l.version < v {
			hosts = append(hosts, s.Host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// grantLease grants a configuration lease and replies with the changes since the
// version of the request, or with the whole configuration. The lease is recorded
// before the reply is sent, and only a leader that cannot have been replaced
// sends one.
func (c *Control) grantLease(_ context.Context, req ctrl.LeaseRequest) (ctrl.LeaseReply, error) {
	var reply ctrl.LeaseReply
	err := c.readConfig(func(types.Mono) {
		c.leases.grant(req.Session, req.CurrentVersion, c.Clock())
		reply.Version = c.configMachine.Version()
		changes, ok := c.configMachine.ChangesSince(req.CurrentVersion)
		if ok {
			reply.Changes = changes
			return
		}
		fleet := c.configMachine.Fleet()
		reply.Full = &fleet
	})
	return reply, err
}

// inForce reports whether the requested version is in force, so that no entry
// host can serve with an older one. A new leader does not know the leases that
// its predecessor granted, so it reports false until they must have expired.
func (c *Control) inForce(_ context.Context, req ctrl.InForceRequest) (ctrl.InForceReply, error) {
	var reply ctrl.InForceReply
	err := c.readConfig(func(leaderSince types.Mono) {
		now := c.Clock()
		reply.PendingHosts = c.leases.hostsBehind(req.Version, now)
		leasesKnown := now >= leaderSince.Add(ctrl.ConfigLeaseTimeout)
		reply.InForce = leasesKnown && len(reply.PendingHosts) == 0 && c.configMachine.Version() >= req.Version
	})
	return reply, err
}

// sessionTable records when the entry hosts renewed their sessions. It is safe
// for concurrent use.
type sessionTable struct {
	mu        sync.Mutex
	renewedAt map[ledger.Session]types.Mono
	// lastCheck is the time of the last call of expired. A gap of more than
	// suspendThreshold means that this process was suspended and may not have
	// read renewals that had arrived.
	lastCheck types.Mono
	// graceStart is when the last such gap was detected.
	graceStart types.Mono
}

func (t *sessionTable) renew(s ledger.Session, now types.Mono) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.renewedAt == nil {
		t.renewedAt = map[ledger.Session]types.Mono{}
	}
	t.renewedAt[s] = now
}

// suspendThreshold is the time between two calls of sessionTable.expired beyond
// which the process counts as having been suspended.
const suspendThreshold = time.Second

// expired returns the sessions that have not been renewed for more than
// [ctrl.SessionTimeout]. The time counts from leaderSince, when this host became
// leader, or from graceStart at the earliest.
func (t *sessionTable) expired(callsBySession map[ledger.Session]int, leaderSince, now types.Mono) []ledger.Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastCheck) > suspendThreshold {
		t.graceStart = now
	}
	t.lastCheck = now
	var expired []ledger.Session
	for s := range callsBySession {
		last := max(t.renewedAt[s], leaderSince, t.graceStart)
		if now.Sub(last) > ctrl.SessionTimeout {
			expired = append(expired, s)
		}
	}
	for s, at := range t.renewedAt {
		if now.Sub(at) > 2*ctrl.SessionTimeout {
			delete(t.renewedAt, s)
		}
	}
	return expired
}
