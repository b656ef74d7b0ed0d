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

// view is the configuration that this entry host serves under, and until when.
type view struct {
	mu    sync.RWMutex
	fleet config.Fleet // its maps are replaced, never changed; Version never falls
	until types.Mono   // the lease; nothing is served later than this
}

// valid reports whether the lease holds at now.
func (v *view) valid(now types.Mono) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return now < v.until
}

// get returns the configuration, or a fault if the lease does not hold at now.
func (v *view) get(now types.Mono) (config.Fleet, error) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if now >= v.until {
		return config.Fleet{}, types.NewFault(types.CodeUnavailable, "this entry host has no valid configuration").After(time.Second)
	}
	return v.fleet, nil
}

// accept applies what a lease brought and extends the lease, which counts from
// when it was asked for. It reports whether the version rose. An answer to an
// older request than the newest applied changes nothing.
func (v *view) accept(asked types.Mono, have types.Version, r ctrl.LeaseReply) (rose bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if have != v.fleet.Version || r.Version < have {
		return false
	}
	if r.Version > have {
		v.fleet = advance(v.fleet, r)
		rose = true
	}
	v.until = max(v.until, asked.Add(ctrl.ConfigLease))
	return rose
}

func advance(fleet config.Fleet, r ctrl.LeaseReply) config.Fleet {
	if r.Full != nil {
		return *r.Full
	}
	next := fleet.Clone()
	for _, c := range r.Changes {
		next.Apply(c)
	}
	return next
}

func (v *view) version() types.Version {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.fleet.Version
}

// keepLease asks for the lease again and again until ctx ends.
func (e *Entry) keepLease(ctx context.Context) error {
	held := false
	for ctx.Err() == nil {
		e.renewLease(ctx)
		if now := e.view.valid(e.Clock()); now != held {
			held = now
			e.noteLease(held)
		}
		types.Sleep(ctx, ctrl.RenewInterval)
	}
	return nil
}

func (e *Entry) noteLease(held bool) {
	kind := event.LeaseLost
	if held {
		kind = event.LeaseGained
	}
	e.Log.Write(kind, event.Fields{"host": e.Host, "version": e.view.version()})
}

func (e *Entry) renewLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ctrl.ConfigLease)
	defer cancel()
	asked, have := e.Clock(), e.view.version()
	reply, err := e.Client.Lease(ctx, ctrl.LeaseRequest{Session: e.session, Have: have})
	if err != nil {
		return // The lease runs out by itself.
	}
	if e.view.accept(asked, have, reply) {
		e.Log.Write(event.ConfigApplied, event.Fields{"host": e.Host, "version": reply.Version})
		// Tell at once what is served now, so that a waiting operator learns it.
		_, _ = e.Client.Lease(ctx, ctrl.LeaseRequest{Session: e.session, Have: reply.Version})
	}
}
