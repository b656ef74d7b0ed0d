package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/sched"
	"github.com/banyanspur/banyanspur/types"
)

// Entry serves callers. Set the exported fields, then call [Entry.Run];
// [Entry.Handler] may be used before and is safe for concurrent use.
type Entry struct {
	// Host and Zone are where this process runs.
	Host types.HostID
	Zone types.ZoneID
	// Client reaches the control hosts. It must be running.
	Client *ctrl.Client
	// Clock is the process's clock.
	Clock types.Clock
	// Policy chooses targets. It defaults to [route.Expected] with
	// [route.DefaultCosts].
	Policy route.Policy
	// CallTimeout bounds a call, with all attempts. It defaults to
	// [DefaultCallTimeout] and is never more than [ledger.MaxAttempt].
	CallTimeout time.Duration
	// MaxInFlight bounds the requests under way. It defaults to
	// [DefaultMaxInFlight].
	MaxInFlight int
	// HostList is the file with the platform's list of live and leaving hosts.
	// Empty stands for none.
	HostList string
	// Log receives events. The zero value discards them.
	Log event.Log

	initOnce         sync.Once
	session          ledger.Session
	config           leasedConfig
	sessionLeases    sessionLeases
	targets          route.Table
	leavingHosts     leavingHosts
	targetClients    targetClients
	retryBudget      route.RetryBudget
	fairShare        sched.Fair[types.AccountID]
	selections       atomic.Uint64
	inFlight         atomic.Int64
	draining         atomic.Bool
	backgroundWrites errgroup.Group // outcomes that are still to be stored
}

const (
	// DefaultCallTimeout bounds a call unless the settings say otherwise.
	DefaultCallTimeout = 2 * time.Minute
	// DefaultMaxInFlight bounds the requests under way.
	DefaultMaxInFlight = 4096
	// ledgerTimeout bounds how long a caller waits for the ledger.
	ledgerTimeout = 5 * time.Second
	// backgroundWriteTimeout bounds how long an outcome is tried to be stored after the
	// caller was answered.
	backgroundWriteTimeout = 2 * time.Minute
)

func (e *Entry) init() {
	e.initOnce.Do(func() {
		e.session = ledger.Session{Host: e.Host, Incarnation: types.Incarnation(types.RandomID())}
		if e.Policy == nil {
			e.Policy = route.Expected(route.DefaultCosts)
		}
		if e.CallTimeout == 0 {
			e.CallTimeout = DefaultCallTimeout
		}
		e.CallTimeout = min(e.CallTimeout, ledger.MaxAttempt)
		if e.MaxInFlight == 0 {
			e.MaxInFlight = DefaultMaxInFlight
		}
		e.targetClients = newTargetClients()
	})
}

// Run keeps the configuration lease and the sessions with the shard groups
// until ctx ends, and then waits until every outcome is stored.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.renewConfigLeaseLoop(ctx) })
	g.Go(func() error { return e.pollHostList(ctx) })
	for i := range e.Client.Groups {
		g.Go(func() error { return e.renewSessionLoop(ctx, types.GroupID(i+1)) })
	}
	err := g.Wait()
	_ = e.backgroundWrites.Wait()
	return err
}

// Drain makes the entry host unready, so that the balancer sends no more
// callers. Requests that come all the same are served.
func (e *Entry) Drain() {
	e.draining.Store(true)
	e.Log.Write(event.HostDraining, event.Fields{"host": e.Host})
}

// Ready reports whether callers should be sent here.
func (e *Entry) Ready() bool {
	e.init()
	return !e.draining.Load() && e.config.valid(e.Clock())
}

// InFlight returns the number of requests under way.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Handler returns the handler for callers.
func (e *Entry) Handler() http.Handler {
	e.init()
	return e.router()
}
