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

// leasedConfig is the configuration that this entry host serves under, and until when.
type leasedConfig struct {
	mu     sync.RWMutex
	cfg    config.Fleet // its maps are replaced, never changed; Version never falls
	expiry types.Mono   // the lease; nothing is served later than this
}

// valid reports whether the lease holds at now.
func (c *leasedConfig) valid(now types.Mono) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return now < c.expiry
}

// get returns the configuration, or a fault if the lease does not hold at now.
func (c *leasedConfig) get(now types.Mono) (config.Fleet, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if now >= c.expiry {
		return config.Fleet{}, types.NewFault(types.CodeUnavailable, "this entry host has no valid configuration").After(time.Second)
	}
	return c.cfg, nil
}

// apply applies what a lease brought and extends the lease, which counts from
// when it was asked for. It reports whether the version rose. An answer to an
// older request than the newest applied changes nothing.
func (c *leasedConfig) apply(requestedAt types.Mono, have types.Version, r ctrl.LeaseReply) (advanced bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if have != c.cfg.Version || r.Version < have {
		return false
	}
	if r.Version > have {
		c.cfg = applyReply(c.cfg, r)
		advanced = true
	}
	c.expiry = max(c.expiry, requestedAt.Add(ctrl.ConfigLease))
	return advanced
}

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

// renewConfigLeaseLoop asks for the lease again and again until ctx ends.
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
		kind = event.LeaseGained
	}
	e.Log.Write(kind, event.Fields{"host": e.Host, "version": e.config.version()})
}

func (e *Entry) renewConfigLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ctrl.ConfigLease)
	defer cancel()
	requestedAt, have := e.Clock(), e.config.version()
	reply, err := e.Client.Lease(ctx, ctrl.LeaseRequest{Session: e.session, Have: have})
	if err != nil {
		return // The lease runs out by itself.
	}
	if e.config.apply(requestedAt, have, reply) {
		e.Log.Write(event.ConfigApplied, event.Fields{"host": e.Host, "version": reply.Version})
		// Tell at once what is served now, so that a waiting operator learns it.
		_, _ = e.Client.Lease(ctx, ctrl.LeaseRequest{Session: e.session, Have: reply.Version})
	}
}
