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
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/sched"
	"github.com/banyanspur/banyanspur/types"
)

// Entry serves requests from callers. Set the exported fields, then call
// [Entry.Run]. [Entry.Handler] may be called before Run; the handler that it
// returns is safe for concurrent use.
type Entry struct {
	// Host and Zone identify this process and its availability zone.
	Host types.HostID
	Zone types.ZoneID
	// Client sends requests to the control hosts. Its Run method must be
	// running.
	Client *ctrl.Client
	// Clock reads the monotonic clock of the process.
	Clock types.Clock
	// Policy selects the target of each attempt. It defaults to
	// [route.LowestExpectedTime] with [route.DefaultCosts].
	Policy route.Policy
	// CallTimeout limits the duration of a call, including all attempts. It
	// defaults to [DefaultCallTimeout] and is capped at
	// [ledger.MaxAttemptDuration].
	CallTimeout time.Duration
	// MaxInFlight limits the number of concurrent requests. Requests above it
	// are rejected. It defaults to [DefaultMaxInFlight].
	MaxInFlight int
	// HostListFile is the path of the platform's list of live and draining
	// hosts. If it is empty, no list is read.
	HostListFile string
	// Received bounds the memory of the requests that are received. The default is that of a
	// process whose memory is not known.
	Received *intake.Budget
	// Log is where events are written. The zero value discards them.
	Log event.Log

	initOnce         sync.Once
	session          ledger.Session
	config           leasedConfig
	sessionLeases    sessionLeases
	targets          route.TargetStats
	drainingHosts    drainingHosts
	targetClients    targetClients
	retryBudget      route.RetryBudget
	fairShare        sched.FairShare[types.AccountID]
	selections       atomic.Uint64 // number of target selections, the Sequence of a route.Request
	inFlight         atomic.Int64
	draining         atomic.Bool
	backgroundWrites types.Background // ledger writes that Run waits for before it returns
}

const (
	// DefaultCallTimeout is the default of [Entry.CallTimeout].
	DefaultCallTimeout = 2 * time.Minute
	// DefaultMaxInFlight is the default of [Entry.MaxInFlight].
	DefaultMaxInFlight = 4096
	// ledgerTimeout limits how long a caller waits for one ledger request.
	ledgerTimeout = 5 * time.Second
	// backgroundWriteTimeout limits how long the entry host keeps trying to
	// write an outcome to the ledger, even after the caller has received a
	// response.
	backgroundWriteTimeout = 2 * time.Minute
)

func (e *Entry) init() {
	e.initOnce.Do(func() {
		e.session = ledger.Session{Host: e.Host, Incarnation: types.Incarnation(types.RandomID())}
		if e.Policy == nil {
			e.Policy = route.LowestExpectedTime(route.DefaultCosts)
		}
		if e.CallTimeout == 0 {
			e.CallTimeout = DefaultCallTimeout
		}
		e.CallTimeout = min(e.CallTimeout, ledger.MaxAttemptDuration)
		if e.MaxInFlight == 0 {
			e.MaxInFlight = DefaultMaxInFlight
		}
		if e.Received == nil {
			e.Received = intake.NewBudget(intake.Bytes(0))
		}
		e.targetClients = newTargetClients()
	})
}

// Run renews the configuration lease and the sessions with the shard groups,
// and polls the host list, until ctx ends. It then waits until all pending
// ledger writes have completed or timed out.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.renewConfigLeaseLoop(ctx) })
	g.Go(func() error { return e.pollHostList(ctx) })
	for i := range e.Client.Groups {
		g.Go(func() error { return e.renewSessionLoop(ctx, types.GroupID(i+1)) })
	}
	err := g.Wait()
	e.backgroundWrites.Wait()
	return err
}

// Drain makes [Entry.Ready] return false, so that the load balancer stops
// sending requests. Requests that still arrive are served.
func (e *Entry) Drain() {
	e.draining.Store(true)
	e.Log.Write(event.HostDraining, event.Fields{"host": e.Host})
}

// Ready reports whether a load balancer should send requests to this host: it
// holds a valid configuration lease and is not draining.
func (e *Entry) Ready() bool {
	e.init()
	return !e.draining.Load() && e.config.valid(e.Clock())
}

// InFlight returns the number of requests in flight.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Handler returns the HTTP handler of the callers' API.
func (e *Entry) Handler() http.Handler {
	e.init()
	return e.router()
}
