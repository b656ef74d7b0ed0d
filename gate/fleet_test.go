package gate_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/gate"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// headerNames are the header fields that callers and targets use in these tests.
var headerNames = gate.HeaderNames{
	RequestID: "Id", Deadline: "Deadline", Credential: "Authorization", CredentialScheme: "Bearer", Account: "Account", Target: "Target",
	Signature: "Proof", NotRun: "Not-Run", Load: "Load", TargetLimit: "Limit", Draining: "Leaving", Priority: "Rank", PromptParts: "Prompt", Tokens: "Tokens", Program: "Program", Line: "Line",
	Budget: "Budget", PreviousTurn: "Previous", Internal: []string{"Internal", "Rank", "Target"},
}

// fakeFleet is a [gate.Fleet] whose replies are set by the test.
type fakeFleet struct {
	mu      sync.Mutex
	view    fleet.View
	issuers map[types.AccountID]*limit.Issuer
	// targetIssuers divide the limits that targets name.
	targetIssuers map[types.TargetID]*limit.Issuer
	clock         types.Clock
	staleness     time.Duration
	loadsReply    fleet.LoadsReply // reply to every exchange of load reports
	// reportedParts collects the cached parts that were reported, and exchanges
	// counts the exchanges of load reports.
	reportedParts fleet.CachedParts
	exchanges     int
	// paces is what the last exchange reported of targets that start or recover, and
	// observed sums what was reported of targets.
	paces    fleet.Paces
	observed map[types.TargetID]ramp.Report
	// crashes and completed collect what was reported of suspects.
	crashes   []fleet.CrashReport
	completed []types.Fingerprint
	// draining is what the last exchange reported of targets that drain.
	draining map[types.TargetID]time.Duration
	// silentUntil is the time until which calls of Limits block.
	silentUntil time.Time
	// latency is how long each exchange of load reports and each renewal of limits takes.
	latency time.Duration
}

// silenceLimits makes calls of Limits block for the given time.
func (f *fakeFleet) silenceLimits(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silentUntil = time.Now().Add(d)
}

// slow makes each exchange of load reports and each renewal of limits take the given time.
func (f *fakeFleet) slow(latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latency = latency
}

// exchangeCount returns the number of exchanges of load reports.
func (f *fakeFleet) exchangeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exchanges
}

// setView replaces the view of the fleet.
func (f *fakeFleet) setView(v fleet.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
}

func (f *fakeFleet) View() fleet.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeFleet) Staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.staleness
}

func (f *fakeFleet) Loads(ctx context.Context, req fleet.LoadsRequest) (fleet.LoadsReply, error) {
	f.mu.Lock()
	latency := f.latency
	f.mu.Unlock()
	if latency > 0 && !types.Sleep(ctx, latency) {
		return fleet.LoadsReply{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reportedParts == nil {
		f.reportedParts = fleet.CachedParts{}
	}
	for target, parts := range req.CachedParts {
		f.reportedParts[target] = append(f.reportedParts[target], parts...)
	}
	f.crashes = append(f.crashes, req.Crashes...)
	f.completed = append(f.completed, req.Completed...)
	f.draining, f.paces = req.Draining, req.Paces
	for id, l := range req.Loads {
		f.observed[id] = ramp.Report{Responses: f.observed[id].Responses + l.Responses, Failures: f.observed[id].Failures + l.Failures, Refusals: f.observed[id].Refusals + l.Refusals}
	}
	f.exchanges++
	return f.loadsReply, nil
}

// reportedDraining returns what the last exchange reported of targets that drain.
func (f *fakeFleet) reportedDraining() map[types.TargetID]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// setLoadsReply sets the reply to exchanges of load reports and waits until the
// host has received it.
func (f *fakeFleet) setLoadsReply(reply fleet.LoadsReply) {
	f.mu.Lock()
	f.loadsReply = reply
	wanted := f.exchanges + 2
	f.mu.Unlock()
	for done := false; !done; {
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		done = f.exchanges >= wanted
		f.mu.Unlock()
	}
}

func (f *fakeFleet) Limits(ctx context.Context, req fleet.LimitsRequest) (fleet.LimitsReply, error) {
	f.mu.Lock()
	silentFor := max(time.Until(f.silentUntil), f.latency)
	f.mu.Unlock()
	if silentFor > 0 && !types.Sleep(ctx, silentFor) {
		return fleet.LimitsReply{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := fleet.LimitsReply{Allotments: map[types.AccountID]limit.Allotment{}}
	for id, demand := range req.Demands {
		a := f.view.Plan.Account(id)
		issuer := f.issuers[id]
		if issuer == nil {
			issuer = limit.NewIssuer(0)
			issuer.MarkAllReported(0)
			f.issuers[id] = issuer
		}
		issuer.SetLimit(limit.Limit{Rate: a.Rate, Burst: a.Burst}, f.clock())
		reply.Allotments[id] = issuer.Renew(demand, f.clock())
	}
	reply.TargetAllotments = map[types.TargetID]limit.Allotment{}
	for id, demand := range req.TargetDemands {
		issuer := f.targetIssuers[id]
		if issuer == nil {
			issuer = limit.NewIssuer(0)
			issuer.PerRequest = true
			issuer.MarkAllReported(0)
			f.targetIssuers[id] = issuer
		}
		if demand.Release {
			issuer.Release(demand, f.clock())
			continue
		}
		l := limit.TargetLimit(req.TargetNotices[id].Rate)
		if req.TargetsCold[id] > 0 {
			l = coldBound.Limit(coldRate)
		}
		if a, ok := f.loadsReply.Paces[id]; ok {
			l = a.Limit()
		}
		issuer.SetLimit(l, f.clock())
		reply.TargetAllotments[id] = issuer.Renew(demand, f.clock())
	}
	return reply, nil
}

// testbed is a gate with one store and the targets that the test adds.
type testbed struct {
	t     *testing.T
	fleet *fakeFleet
	gate  *gate.Gate
	log   *lockedBuffer // events that the gate has logged
	url   string
	// syncLatency is how long each sync of the store takes at least, in nanoseconds.
	syncLatency atomic.Int64
	// replyLatency is by how much what the store sends is late, in nanoseconds. Links count as lost from 0.6 s on.
	replyLatency atomic.Int64
	store        *turns.Store
}

// newTestbed returns a running testbed.
func newTestbed(t *testing.T) *testbed { return newTestbedWith(t, func(*gate.Gate) {}) }

// newTestbedWith returns a testbed whose gate was changed by set before it runs.
func newTestbedWith(t *testing.T, set func(*gate.Gate)) *testbed {
	t.Helper()
	p := &plan.Plan{
		Version: 1,
		Routes: []plan.Route{
			{Name: "lookup", Host: "a.example", Prefix: "/lookup/", Kind: plan.Idempotent, Timeout: 5 * time.Second, Objective: 100 * time.Millisecond, Attempts: 2, Priority: 2, Backends: []plan.Backend{{Service: "plain", Weight: 1}}},
			{Name: "charge", Host: "a.example", Prefix: "/charge/", Kind: plan.NonIdempotent, Timeout: 5 * time.Second, Attempts: 3, Backends: []plan.Backend{{Service: "plain", Weight: 1}}},
			{Name: "brief", Host: "a.example", Prefix: "/brief/", Kind: plan.NonIdempotent, Timeout: 150 * time.Millisecond, Backends: []plan.Backend{{Service: "plain", Weight: 1}}},
			{Name: "open", Host: "a.example", Prefix: "/open/", Kind: plan.Idempotent, Timeout: 5 * time.Second, Anonymous: true, Backends: []plan.Backend{{Service: "plain", Weight: 1}}},
			{Name: "feed", Host: "a.example", Prefix: "/feed/", Kind: plan.Streaming, Timeout: 30 * time.Second, Backends: []plan.Backend{{Service: "plain", Weight: 1}}},
			{Name: "file", Host: "a.example", Prefix: "/file/", Kind: plan.Idempotent, Timeout: 30 * time.Second, Attempts: 1, Backends: []plan.Backend{{Service: "plain", Weight: 1}}},
			{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: plan.Streaming, Timeout: 5 * time.Second, Stateful: true, TurnRetention: time.Minute, Backends: []plan.Backend{{Service: "models", Weight: 1}}},
		},
		Services: []plan.Service{{Name: "plain"}, {Name: "models", Engine: &plan.Engine{Slots: 4, TokensPerEvent: 10}}},
		Accounts: []plan.Account{
			{Name: "choir", Keys: []types.KeyHash{types.HashKey("choir-key")}},
			{Name: "band", Keys: []types.KeyHash{types.HashKey("band-key")}, Priority: 1, OverridesPriority: true},
			{Name: "mid", Keys: []types.KeyHash{types.HashKey("mid-key")}, Rate: 43, Burst: 43},
			{Name: "small", Keys: []types.KeyHash{types.HashKey("small-key")}, Rate: 5, Burst: 5},
		},
	}
	b := &testbed{t: t, log: &lockedBuffer{}, fleet: &fakeFleet{issuers: map[types.AccountID]*limit.Issuer{}, targetIssuers: map[types.TargetID]*limit.Issuer{}, observed: map[types.TargetID]ramp.Report{}, clock: types.NewClock()}}
	b.fleet.view.Plan = plan.NewTable(p)
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	peers := &wire.Pool{}
	g.Go(func() error { return peers.Run(ctx) })
	b.startStore(ctx, g)
	gt := &gate.Gate{
		Host: "entry-1", Zone: "zone-a", HeaderNames: headerNames, Fleet: b.fleet, Clock: b.fleet.clock, MaxPlanStaleness: time.Minute, Log: event.New(b.log),
		Backlog: gate.NewBacklog(gate.BacklogBytes(112)),
		Turns:   &turns.Client{Peers: peers, Map: func() *turns.Map { return b.fleet.View().Map }},
	}
	set(gt)
	b.gate = gt
	g.Go(func() error { return gt.Run(ctx) })
	server := httptest.NewUnstartedServer(gt)
	server.Config.ConnContext = gate.ConnContext
	server.Start()
	b.url = server.URL
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		_ = g.Wait()
	})
	return b
}

func (b *testbed) startStore(ctx context.Context, g *errgroup.Group) {
	s := &turns.Store{Dir: b.t.TempDir(), Clock: types.NewClock(), Disk: store.Disk{Sync: func(f *os.File) error {
		start := time.Now()
		err := f.Sync() // Counts toward syncLatency: a busy disk alone can take a second.
		time.Sleep(time.Duration(b.syncLatency.Load()) - time.Since(start))
		return err
	}}}
	id, err := s.Open()
	if err != nil {
		b.t.Fatal(err)
	}
	server := &wire.Server{}
	s.Register(server)
	h := httptest.NewUnstartedServer(server)
	h.Config.BaseContext = func(net.Listener) context.Context { return ctx }
	h.Listener = lateRepliesListener{h.Listener, b, g}
	h.Start()
	b.t.Cleanup(h.Close)
	m := &turns.Map{Members: map[turns.StoreID]turns.Member{id: {ID: id, Address: strings.TrimPrefix(h.URL, "http://")}}}
	for range turns.ShardCount {
		m.Shards = append(m.Shards, turns.Placement{Epoch: 1, Current: []turns.StoreID{id}})
	}
	s.SetMap(m)
	b.store, b.fleet.view.Map = s, m
	g.Go(func() error { return s.Run(ctx) })
}

// addTarget starts a target of a service. The response of h gets the request ID
// echoed.
func (b *testbed) addTarget(service types.ServiceID, h http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		h(w, r)
	}))
	b.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	b.addListedTarget(service, server)
}

// addListedTarget adds a running server to the list of targets.
func (b *testbed) addListedTarget(service types.ServiceID, server *httptest.Server) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	n := len(b.fleet.view.Targets)
	b.fleet.view.Targets = append(b.fleet.view.Targets, fleet.Target{
		ID: types.TargetID(fmt.Sprintf("t%d", n)), Service: service, Address: strings.TrimPrefix(server.URL, "http://"), Zone: "zone-a",
	})
}

// testRequest is a request of a caller.
type testRequest struct {
	path, key, body string
	header          map[string]string
}

// requestCount numbers the requests of all tests.
var requestCount atomic.Int64

// do sends a request and returns the response with its body unread. The body is
// closed at the end of the test.
func (b *testbed) do(ctx context.Context, r testRequest) *http.Response {
	b.t.Helper()
	resp, err := b.tryDo(ctx, r)
	if err != nil {
		b.t.Fatal(err)
	}
	return resp
}

// tryDo is like do, but returns errors instead of ending the test.
func (b *testbed) tryDo(ctx context.Context, r testRequest) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+r.path, strings.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	req.Host = "a.example"
	req.Header.Set("Id", fmt.Sprint("id-", requestCount.Add(1)))
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	b.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp, nil
}
