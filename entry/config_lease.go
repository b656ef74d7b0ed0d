package entry

import (
	"context"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

// leasedConfig is the configuration of this entry host and the lease under which
// it may use it. It is safe for concurrent use.
type leasedConfig struct {
	mu     sync.RWMutex
	cfg    config.Fleet // its maps are replaced, never modified; Version never decreases
	expiry types.Mono   // end of the lease; no request is served after it
}

// valid reports whether the lease is valid at now.
func (c *leasedConfig) valid(now types.Mono) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return now < c.expiry
}

// get returns the configuration, or a fault if the lease is not valid at now. The
// caller must not modify the configuration.
func (c *leasedConfig) get(now types.Mono) (config.Fleet, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if now >= c.expiry {
		return config.Fleet{}, types.NewFault(types.CodeUnavailable, "this entry host has no valid configuration").WithRetryAfter(time.Second)
	}
	return c.cfg, nil
}

// apply applies the configuration changes in a lease reply and extends the lease,
// which counts from the time of the request. requestVersion is the version that
// the request named as current. If it no longer is, or if the reply has an older
// version, the reply is ignored as outdated. apply reports whether the version
// has increased.
func (c *leasedConfig) apply(requestedAt types.Mono, requestVersion types.Version, r ctrl.LeaseReply) (advanced bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if requestVersion != c.cfg.Version || r.Version < requestVersion {
		return false
	}
	if r.Version > requestVersion {
		c.cfg = applyReply(c.cfg, r)
		advanced = true
	}
	c.expiry = max(c.expiry, requestedAt.Add(ctrl.ConfigLease))
	return advanced
}

// applyReply returns the configuration that results from a lease reply. It does
// not modify cfg.
func applyReply(cfg config.Fleet, r ctrl.LeaseReply) config.Fleet {
	if r.Full != nil {
		return *r.Full
	}
	next := cfg.Clone()
	for _, c := range r.Changes {
		next.Apply(c)
	}
	return next
}

func (c *leasedConfig) version() types.Version {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.cfg.Version
}

// renewConfigLeaseLoop renews the configuration lease every ctrl.RenewInterval
// until ctx ends, and logs when the lease is acquired or lost.
func (e *Entry) renewConfigLeaseLoop(ctx context.Context) error {
	held := false
	for ctx.Err() == nil {
		e.renewConfigLease(ctx)
		if valid := e.config.valid(e.Clock()); valid != held {
			held = valid
			e.logLeaseChange(held)
		}
		types.Sleep(ctx, ctrl.RenewInterval)
	}
	return nil
}

func (e *Entry) logLeaseChange(held bool) {
	kind := event.LeaseLost
	if held {
		kind = event.LeaseAcquired
	}
	e.Log.Write(kind, event.Fields{"host": e.Host, "version": e.config.version()})
}

// renewConfigLease renews the configuration lease once and applies the
// configuration changes that come with it.
func (e *Entry) renewConfigLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ctrl.ConfigLease)
	defer cancel()
	requestedAt, version := e.Clock(), e.config.version()
	reply, err := e.Client.AcquireConfigLease(ctx, ctrl.LeaseRequest{Session: e.session, CurrentVersion: version})
	if err != nil {
		return // The lease expires on its own.
	}
	if e.config.apply(requestedAt, version, reply) {
		e.Log.Write(event.ConfigApplied, event.Fields{"host": e.Host, "version": reply.Version})
		// Report the applied version immediately, since an operator may be waiting
		// for it to be in force on all hosts.
		_, _ = e.Client.AcquireConfigLease(ctx, ctrl.LeaseRequest{Session: e.session, CurrentVersion: reply.Version})
	}
}
