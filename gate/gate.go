package gate

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/relay"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// Fleet is the part of [fleet.Client] that a [Gate] uses.
type Fleet interface {
	// View returns the current plan, shard map and list of targets.
	View() fleet.View
	// Staleness returns the time since the leader last confirmed that the view is
	// current.
	Staleness() time.Duration
	// Limits renews this host's allotments of the accounts' rate limits.
	Limits(ctx context.Context, req fleet.LimitsRequest) (fleet.LimitsReply, error)
	// Loads sends this host's load report on targets and returns the combined
	// reports of the other hosts.
	Loads(ctx context.Context, req fleet.LoadsRequest) (fleet.LoadsReply, error)
}

// Gate is an [http.Handler] that forwards callers' requests to targets. Set the
// exported fields, then call [Gate.Run], which maintains rate limits and load
// reports while the handler serves.
type Gate struct {
	// Host is the ID of this host.
	Host types.HostID
	// Zone is the availability zone of this host.
	Zone types.ZoneID
	// HeaderNames are the header fields of the deployment.
	HeaderNames HeaderNames
	// Fleet provides the plan, the targets and the allotments of rate limits.
	Fleet Fleet
	// MaxPlanStaleness is the maximum staleness of the plan, as returned by
	// [Fleet.Staleness], at which requests that need a key are served; 0 means no
	// maximum. It bounds how long a revoked key keeps working on a host that has
	// lost contact with the leader.
	MaxPlanStaleness time.Duration
	// RelayAddress is the address at which other hosts reach [Gate.RelayHandler]. If it is
	// empty, this host relays no connections for others.
	RelayAddress string
	// Secret authenticates hosts that relay connections to each other.
	Secret string
	// Turns accesses the stores that hold turns and budget claims.
	Turns *turns.Client
	// DialTarget opens this host's own connection to the address of a target. The
	// default is [fetch.DialTCP].
	DialTarget func(ctx context.Context, address string) (net.Conn, error)
	// Clock is the clock of the process. It must include time during which the
	// machine was suspended.
	Clock types.Clock
	// PlacementCosts are the cost parameters of target selection. The default is
	// [route.DefaultPlacementCosts].
	PlacementCosts route.PlacementCosts
	// ColdBound bounds the requests that a cold target gets from all hosts together.
	ColdBound limit.ColdBound
	// TargetPace makes load reports contain what the leader needs to limit the targets that
	// start or recover.
	TargetPace bool
	// PaceSelective makes TargetPace wait until a target has reported its slowness, or the
	// plan bounds the requests that cold targets get.
	PaceSelective bool
	// Backlog holds the responses that callers have not read yet. The default has the size
	// for a host whose memory is not known.
	Backlog *Backlog
	// Received holds what callers send until their requests have ended. The default has the
	// size for a host whose memory is not known.
	Received *intake.Budget
	// Log receives events. The zero value discards them.
	Log event.Log

	initOnce     sync.Once
	changed      atomic.Pointer[Settings] // settings in force; nil as long as they are those above
	pool         fetch.Pool
	dialer       relay.Dialer
	relayServer  relay.Server
	relaysSum    uint64 // checksum of the hosts that dialer asks; used by exchangeLoads only
	targets      targetTracker
	limits       limitShares
	releases     releases
	retryBudget  route.RetryBudget
	crashes      crashDetector
	begun        begunPrograms
	targetLimits targetLimits
	cold         coldTracker
	pace         paceTracker
	draining     drainTracker
	stopping     atomic.Pointer[stopSchedule] // set when this host drains itself
	answersCtx   context.Context              //nolint:containedctx // Ends when a host that stops ends its requests.
	endAnswers   context.CancelFunc
	commits      atomic.Int32    // turns that are being stored
	committedAt  atomic.Int64    // when the last one was, in Unix nanoseconds
	commitsCtx   context.Context //nolint:containedctx // Ends when a host that stops ends storing turns.
	endCommits   context.CancelFunc
	// background runs the work that continues after the caller has its response,
	// under backgroundCtx.
	background       types.Background
	backgroundCtx    context.Context //nolint:containedctx // Canceled backgroundGrace after the context of Run.
	cancelBackground context.CancelFunc
}

var (
	requestsTotal       = metrics.NewCounter("banyanspur_gate_requests_total")
	refusedTotal        = metrics.NewCounter("banyanspur_gate_refused_total")
	failedTotal         = metrics.NewCounter("banyanspur_gate_failed_total")
	requestSeconds      = metrics.NewHistogram("banyanspur_gate_request_seconds")
	firstEventSeconds   = metrics.NewHistogram("banyanspur_gate_first_event_seconds")
	eventForwardSeconds = metrics.NewHistogram("banyanspur_gate_event_pass_seconds")
	turnWriteSeconds    = metrics.NewHistogram("banyanspur_gate_turn_write_seconds")
	budgetClaimSeconds  = metrics.NewHistogram("banyanspur_gate_claim_seconds")
	confirmWaitSeconds  = metrics.NewHistogram("banyanspur_gate_confirm_wait_seconds")
	chainFetchSeconds   = metrics.NewHistogram("banyanspur_gate_chain_seconds")
)

func (g *Gate) init() {
	g.initOnce.Do(func() {
		if g.PlacementCosts == (route.PlacementCosts{}) {
			g.PlacementCosts = route.DefaultPlacementCosts
		}
		if g.Backlog == nil {
			g.Backlog = NewBacklog(BacklogBytes(0))
		}
		if g.Received == nil {
			g.Received = intake.NewBudget(intake.Bytes(0))
		}
		g.pool.ReceiveBytes = g.Received.Limit() / responseShare
		g.limits.init(g)
		g.targets.clock, g.targets.observesOnReport = g.Clock, g.TargetPace
		g.targets.observes.Store(g.TargetPace && !g.PaceSelective)
		g.cold.cold.ZoneReturned = func(zone types.ZoneID) (types.Mono, bool) { return g.Fleet.View().ReturnedAt(zone) }
		g.targets.maxReportAge = g.PlacementCosts.MaxReportAge
		g.initRelay()
		g.backgroundCtx, g.cancelBackground = context.WithCancel(context.Background())
		g.answersCtx, g.endAnswers = context.WithCancel(context.Background())
		g.commitsCtx, g.endCommits = context.WithCancel(context.Background())
	})
}

// Run renews the rate limit allotments and exchanges load reports until ctx is
// canceled. It then returns the allotments and waits up to backgroundGrace for
// budget claims that are still being settled.
func (g *Gate) Run(ctx context.Context) error {
	g.init()
	defer g.cancelBackground()
	workers, ctx := errgroup.WithContext(ctx)
	context.AfterFunc(ctx, func() {
		time.AfterFunc(backgroundGrace, g.cancelBackground) // A claim that is not settled by then keeps its maximum.
	})
	workers.Go(func() error { return g.limits.run(ctx) })
	workers.Go(func() error { return g.exchangeLoads(ctx) })
	workers.Go(func() error { return g.dialer.Run(ctx) })
	workers.Go(func() error { return g.settleReleases(ctx) })
	err := workers.Wait()
	g.background.Wait()
	g.logReleases()
	return err
}

// responseShare is the part of the budget for requests, as one in so many, whose size the kernel's
// buffers for responses of targets have. It is not charged.
const responseShare = 8

const (
	// backgroundGrace is how long Run waits for background work on shutdown.
	backgroundGrace = 300 * time.Millisecond
	// loadExchangeInterval is the pause between two exchanges of load reports.
	loadExchangeInterval = 300 * time.Millisecond
	// firstExchangeInterval is the pause until the first successful exchange, before
	// which a host does not know which requests to refuse.
	firstExchangeInterval = 20 * time.Millisecond
	// loadExchangeTimeout is the timeout of one exchange. It grows up to
	// maxLoadExchangeTimeout while the leader is late.
	loadExchangeTimeout    = 500 * time.Millisecond
	maxLoadExchangeTimeout = 4 * loadExchangeTimeout
)

// exchangeLoads periodically exchanges load reports, prompt cache contents and crashes
// of targets with the other hosts, until ctx is canceled.
func (g *Gate) exchangeLoads(ctx context.Context) error {
	var cursor fleet.Cursor
	interval := firstExchangeInterval
	timeout := types.AdaptiveTimeout{Min: loadExchangeTimeout, Max: maxLoadExchangeTimeout}
	for types.Sleep(ctx, interval) {
		exchangeCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
		g.observeColdServices()
		req := fleet.LoadsRequest{Host: g.Host, Loads: g.targets.localLoads(), CachedParts: g.targets.takeUnreportedParts(), Since: cursor}
		req.Zone, req.Relay, req.RelaysChecksum = g.Zone, g.offerRelay(), g.relaysSum
		g.updateDraining()
		req.Draining = g.draining.report(g.Fleet.View().Targets, g.Clock())
		req.Notices, req.NoticesSince = g.targetLimits.report(g.Clock())
		req.Cold, req.Paces = g.coldFound(), g.pace.report(g.Clock())
		crashes := g.crashes.nextReport()
		crashes.addTo(&req, g.Clock())
		startedAt := time.Now()
		reply, err := g.Fleet.Loads(exchangeCtx, req)
		cancel()
		timeout.Ended(time.Since(startedAt), err)
		g.updateSuspects(reply.Suspects)
		if err != nil {
			continue // Until the next exchange, this host's own observations are used.
		}
		interval = loadExchangeInterval
		g.crashes.reported(crashes, reply.Cursor.TableID)
		g.setRelays(reply.Relays)
		g.targetLimits.reported(req.Notices, reply, g.Clock())
		g.cold.merge(reply, g.Clock())
		g.pace.merge(reply, g.Clock())
		g.targets.setOtherLoads(reply.Loads)
		g.targets.addCachedParts(reply.CachedParts)
		cursor = reply.Cursor
	}
	return nil
}

// Ready reports whether the host has a plan and targets and is not draining.
func (g *Gate) Ready() bool {
	view := g.Fleet.View()
	return g.stopping.Load() == nil && view.Plan != nil && len(view.Targets) > 0
}

// TargetsChanged closes idle connections to targets that are not in list and
// drops the state of those without requests in flight.
func (g *Gate) TargetsChanged(list []fleet.Target) {
	addresses := map[string]bool{}
	ids := map[types.TargetID]bool{}
	for _, t := range list {
		addresses[t.Address] = true
		ids[t.ID] = true
	}
	g.updateCold()
	g.crashes.recordDraining(list)
	fleet.LogDrainsEnded(g.Log, g.draining.update(list, g.Clock()))
	g.pool.CloseIdleExcept(addresses)
	g.dialer.KeepOnly(addresses)
	g.targets.removeUnlisted(ids)
}

// filter is one step in processing a request. It returns nil to continue with the
// next filter, or the error response that ends the request.
type filter func(c *call) *errorResponse

// filters lists the filters in the order in which they run.
var filters = []filter{
	(*call).awaitPlan,
	(*call).findRoute,
	(*call).authenticate,
	(*call).checkIDs,
	(*call).readBody,
	(*call).refuseLate,
	(*call).refusePoisonous,
	(*call).refuseEvacuated,
	(*call).admit,
	(*call).dispatch,
}

// ServeHTTP serves one request. It panics with [http.ErrAbortHandler] if the
// response was truncated, so that the caller's connection is aborted.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.init()
	c := &call{
		gate: g, w: w, r: r, start: time.Now(), id: r.Header.Get(g.HeaderNames.RequestID), view: g.Fleet.View(),
	}
	if g.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	requestsTotal.Inc()
	defer setWriteDeadline(http.NewResponseController(w)) // For what the server writes after the handler.
	defer c.recoverPanic()
	for _, f := range filters {
		if resp := f(c); resp != nil {
			c.writeError(resp)
			break
		}
	}
	requestSeconds.UpdateDuration(c.start)
	c.end()
}
