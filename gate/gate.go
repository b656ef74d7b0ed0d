package gate

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// Fleet is what a gate asks of the fleet; [fleet.Client] answers it.
type Fleet interface {
	// View returns what is known now.
	View() fleet.View
	// Age returns how old the newest word of a leader is.
	Age() time.Duration
	// Limits renews this host's allotments of accounts' limits.
	Limits(ctx context.Context, req fleet.LimitsRequest) (fleet.LimitsReply, error)
	// Loads tells what this host sees of targets and returns what others see.
	Loads(ctx context.Context, req fleet.LoadsRequest) (fleet.LoadsReply, error)
}

// Gate serves callers. Set the exported fields, then call [Gate.Run]; it is an
// [http.Handler].
type Gate struct {
	// Host names this host.
	Host types.HostID
	// Zone is the host's zone.
	Zone types.ZoneID
	// Names are the deployment's names of header fields.
	Names Names
	// Fleet tells plan, targets and allotments.
	Fleet Fleet
	// MaxAge is how old the newest word of a leader may be for a request that
	// needs a key; 0 stands for no bound. It is what a withdrawn key may go on
	// for on a host that is cut off.
	MaxAge time.Duration
	// Turns keeps what programs leave behind.
	Turns *turns.Client
	// Clock is the process's clock; it must count time spent suspended.
	Clock types.Clock
	// Prices weigh targets. The default is [route.DefaultPrices].
	Prices route.Prices
	// Log receives events. The zero value discards them.
	Log event.Log

	once     sync.Once
	pool     fetch.Pool
	loads    loads
	shares   shares
	retries  route.RetryBudget
	draining atomic.Bool
	// late holds what goes on after a caller was answered, under lateCtx.
	late     errgroup.Group
	lateCtx  context.Context //nolint:containedctx // It ends a while after Run's.
	stopLate context.CancelFunc
}

var (
	served    = metrics.NewCounter("banyanspur_gate_requests_total")
	refused   = metrics.NewCounter("banyanspur_gate_refused_total")
	failed    = metrics.NewCounter("banyanspur_gate_failed_total")
	totalTime = metrics.NewHistogram("banyanspur_gate_request_seconds")
	firstTime = metrics.NewHistogram("banyanspur_gate_first_event_seconds")
	passTime  = metrics.NewHistogram("banyanspur_gate_event_pass_seconds")
	turnTime  = metrics.NewHistogram("banyanspur_gate_turn_write_seconds")
	claimTime = metrics.NewHistogram("banyanspur_gate_claim_seconds")
	chainTime = metrics.NewHistogram("banyanspur_gate_chain_seconds")
)

func (g *Gate) init() {
	g.once.Do(func() {
		if g.Prices == (route.Prices{}) {
			g.Prices = route.DefaultPrices
		}
		g.shares.init(g)
		g.lateCtx, g.stopLate = context.WithCancel(context.Background())
	})
}

// Run renews allotments until ctx ends and then gives them back.
func (g *Gate) Run(ctx context.Context) error {
	g.init()
	defer g.stopLate()
	running, ctx := errgroup.WithContext(ctx)
	running.Go(func() error { return g.shares.run(ctx) })
	running.Go(func() error { return g.exchangeLoads(ctx) })
	err := running.Wait()
	time.AfterFunc(lateTime, g.stopLate) // What does not get settled stays claimed at its most.
	_ = g.late.Wait()                    // What failed has been logged.
	return err
}

const (
	// lateTime is how long a gate that stops waits for what still goes on.
	lateTime = 300 * time.Millisecond
	// loadsInterval is how often hosts tell each other what they see of targets.
	loadsInterval = 300 * time.Millisecond
	// loadsTimeout bounds one exchange.
	loadsTimeout = 500 * time.Millisecond
)

// exchangeLoads tells what this host sees of targets and hears what others see.
func (g *Gate) exchangeLoads(ctx context.Context) error {
	var heard fleet.Mark
	for types.Sleep(ctx, loadsInterval) {
		askCtx, cancel := context.WithTimeout(ctx, loadsTimeout)
		reply, err := g.Fleet.Loads(askCtx, fleet.LoadsRequest{
			Host: g.Host, Loads: g.loads.report(), Held: g.loads.holdings(), Heard: heard,
		})
		cancel()
		if err != nil {
			continue // What the host sees itself must do.
		}
		g.loads.hear(reply.Loads)
		g.loads.hearHoldings(reply.Held)
		heard = reply.Mark
	}
	return nil
}

// Ready reports whether the host can serve callers and is not about to stop.
func (g *Gate) Ready() bool {
	view := g.Fleet.View()
	return !g.draining.Load() && view.Plan != nil && len(view.Targets) > 0
}

// Drain makes the host unready; it goes on serving those who come.
func (g *Gate) Drain() { g.draining.Store(true) }

// TargetsChanged closes connections to targets that are no longer listed.
func (g *Gate) TargetsChanged(list []fleet.Target) {
	addresses := map[string]bool{}
	ids := map[types.TargetID]bool{}
	for _, t := range list {
		addresses[t.Address] = true
		ids[t.ID] = true
	}
	g.pool.Forget(addresses)
	g.loads.forget(ids)
}

// filter is one step of a request. It returns nil if the next one is to go on.
type filter func(c *call) *refusal

// filters are the steps of every request, in their order.
var filters = []filter{
	(*call).await,
	(*call).find,
	(*call).authenticate,
	(*call).read,
	(*call).recall,
	(*call).dispatch,
}

// ServeHTTP answers one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.init()
	c := &call{
		gate: g, w: w, r: r, start: time.Now(), id: r.Header.Get(g.Names.RequestID), view: g.Fleet.View(),
	}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	served.Inc()
	for _, f := range filters {
		if refusal := f(c); refusal != nil {
			c.refuse(refusal)
			break
		}
	}
	totalTime.UpdateDuration(c.start)
	c.finish()
	if c.broken {
		panic(http.ErrAbortHandler) // What the caller has must not look complete.
	}
}
