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

// leaseTable holds the configuration leases that this host granted as leader
// of group 0.
type leaseTable struct {
	mu     sync.Mutex
	leases map[ledger.Session]lease
}

// lease is what an entry host may serve under.
type lease struct {
	version types.Version // what the entry host said it serves under; it never serves under less
	until   types.Mono    // the host does not serve later than this without asking again
}

func (t *leaseTable) grant(s ledger.Session, have types.Version, now types.Mono) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leases == nil {
		t.leases = map[ledger.Session]lease{}
	}
	t.leases[s] = lease{version: have, until: now.Add(ctrl.ConfigLeaseWait)}
}

// behind returns the hosts that may serve under a version before v at now, and
// forgets leases that ran out.
func (t *leaseTable) behind(v types.Version, now types.Mono) []types.HostID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hosts []types.HostID
	for s, l := range t.leases {
		if now >= l.until {
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

// lease grants a configuration lease. The grant is noted before the answer
// leaves, and only a leader that no other can have replaced answers.
func (c *Control) lease(_ context.Context, req ctrl.LeaseRequest) (ctrl.LeaseReply, error) {
	var reply ctrl.LeaseReply
	err := c.readConfig(func(types.Mono) {
		c.leases.grant(req.Session, req.Have, c.Clock())
		reply.Version = c.machine.Version()
		changes, ok := c.machine.Since(req.Have)
		if ok {
			reply.Changes = changes
			return
		}
		fleet := c.machine.Fleet()
		reply.Full = &fleet
	})
	return reply, err
}

// inForce tells whether no entry host can serve under a version before the one
// asked for. A leader does not know the leases that the one before it granted;
// it waits until they must have run out.
func (c *Control) inForce(_ context.Context, req ctrl.InForceRequest) (ctrl.InForceReply, error) {
	var reply ctrl.InForceReply
	err := c.readConfig(func(since types.Mono) {
		now := c.Clock()
		reply.Waiting = c.leases.behind(req.Version, now)
		known := now >= since.Add(ctrl.ConfigLeaseWait)
		reply.InForce = known && len(reply.Waiting) == 0 && c.machine.Version() >= req.Version
	})
	return reply, err
}

// sessionTable holds when the entry hosts renewed their sessions.
type sessionTable struct {
	mu    sync.Mutex
	heard map[ledger.Session]types.Mono
	// checked is when the table was last used. A gap means that this process
	// was frozen and may not have read renewals that had arrived.
	checked types.Mono
	// grace is when counting began again after a gap.
	grace types.Mono
}

func (t *sessionTable) renew(s ledger.Session, now types.Mono) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heard == nil {
		t.heard = map[ledger.Session]types.Mono{}
	}
	t.heard[s] = now
}

// frozenGap is the silence of the own loop that counts as having been frozen.
const frozenGap = time.Second

// expired returns those of the given sessions that have not been renewed in
// time by a leader that has led since the given moment.
func (t *sessionTable) expired(live map[ledger.Session]int, since, now types.Mono) []ledger.Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.checked) > frozenGap {
		t.grace = now
	}
	t.checked = now
	var expired []ledger.Session
	for s := range live {
		last := max(t.heard[s], since, t.grace)
		if now.Sub(last) > ctrl.SessionWait {
			expired = append(expired, s)
		}
	}
	for s, at := range t.heard {
		if now.Sub(at) > 2*ctrl.SessionWait {
			delete(t.heard, s)
		}
	}
	return expired
}
