package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
)

// The calls that follow a turn: the share of turns that they follow, how long they take at
// a target, and the timeout of their routes. Calls to /lookup/ may be repeated.
var toolCalls = []struct {
	path          string
	share         float64
	work, timeout time.Duration
}{
	{"/lookup/", 0.7, 13 * time.Millisecond, 1200 * time.Millisecond},
	{"/charge/", 0.4, 52 * time.Millisecond, 2 * time.Second},
	{"/dispatch/", 0.2, 35 * time.Millisecond, 1500 * time.Millisecond},
}

const (
	turnTimeout = 3 * time.Second
	// defaultEvents is how many events turns have in most sizes. Events come turnEventGap apart,
	// the time that an engine takes to generate them.
	defaultEvents = 9
	turnEventGap  = 37 * time.Millisecond
	// One in slowTurns turns takes 2 s, so that some are in flight whenever a host stops.
	slowTurns = 20
	// defaultInput is the mean size of a turn's input in most sizes, and maxInput the most.
	defaultInput = 4000
	maxInput     = 100_000
	// turnRetries is how often a program sends a turn again that has failed, retryAttempts
	// the number of attempts at each request.
	turnRetries   = 2
	retryAttempts = 2
	// Callers that get no connection in any attempt try again after dialPause, up to dialAttempts times: all hosts
	// are down, for some seconds at most.
	dialAttempts = 2
	dialPause    = 300 * time.Millisecond
	// dialTimeout is how long callers wait for a connection.
	dialTimeout = time.Second
)

// deploymentPlan returns the plan of a deployment with the given version and rate limit of each
// account.
func deploymentPlan(version int, size deploymentSize, accountRate int) []byte {
	route := func(prefix, kind, service string, timeout time.Duration, objective, priority int) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "hostname": "soak.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": objective, "gap_aim_ms": 300, "service": service, "max_attempts": 2, "stateful": prefix == "/turn/", "keep_s": 60, "priority": priority,
		}
	}
	routes := []any{route("/turn/", "streaming", "models", turnTimeout, 250, 1)}
	for _, c := range toolCalls {
		kind := "non_idempotent"
		if c.path == "/lookup/" {
			kind = "idempotent"
		}
		routes = append(routes, route(c.path, kind, "plain", c.timeout, 200, 2))
	}
	list := []any{
		map[string]any{"name": limitedAccount, "api_keys": []string{"key-" + limitedAccount}, "per_s": limitedRate, "burst": limitedBurst},
		map[string]any{"name": unlimitedAccount, "api_keys": []string{"key-" + unlimitedAccount}},
	}
	for i := range size.accounts {
		name := accountName(i)
		list = append(list, map[string]any{"name": name, "api_keys": []string{"key-" + name}, "per_s": accountRate, "burst": accountRate})
	}
	b, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "tenants": list, "note": fmt.Sprint("version ", version),
		"services": []any{
			map[string]any{"name": "models", "max_connections": 470, "engine": map[string]any{"slots": size.slots, "kv_tokens": size.cacheTokens, "stride": tokensPerEvent}},
			map[string]any{"name": "plain", "max_connections": 420},
		},
	})
	if err != nil {
		panic(err) // Cannot happen: the document holds only values that JSON can encode.
	}
	return b
}

// accountRates are the rate limits of an account, as factors of what it asks for at the mean. The
// first is that of the deployments.
var accountRates = []float64{1.6, 2.5}

// minRequestRate is the least that limits allow for: some programs of one account at once exceed the
// mean of less by far.
const minRequestRate = 50

// requestRate returns how many requests an account sends a second at the mean, or minRequestRate if
// that is more.
func (s deploymentSize) requestRate(programs float64) float64 {
	turns := 0.0
	for _, k := range s.kinds {
		turns += k.share * float64(k.turns) * (1 + k.fan*meanAgents*meanAgentTurns)
	}
	calls := 0.0
	for _, c := range toolCalls {
		calls += c.share
	}
	return max(minRequestRate, programs*turns*(1+calls)/float64(s.accounts))
}

func accountName(i int) string { return fmt.Sprint("account-", i) }

// balancer chooses the entry host of new connections, as a load balancer does that checks
// once a second which hosts are ready. Two misses take a host out.
type balancer struct {
	fleet *fleet

	mu     sync.Mutex
	misses map[*testHost]int
	shift  atomic.Pointer[shift]
}

// shift is a share of the callers that connect to the hosts of one zone only.
type shift struct {
	share float64
	zone  string
}

// run checks all entry hosts until ctx ends.
func (b *balancer) run(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for types.Sleep(ctx, time.Second) {
		var g errgroup.Group
		for _, h := range b.fleet.entries() {
			g.Go(func() error {
				misses := 0
				resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", b.fleet.address(h), readyPort))
				if err == nil {
					_ = resp.Body.Close()
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				if err != nil || resp.StatusCode != http.StatusOK {
					misses = b.misses[h] + 1
				}
				b.misses[h] = misses
				return nil
			})
		}
		_ = g.Wait() // The goroutines always return nil.
	}
}

// ready returns the entry hosts in rotation, or all if fewer than half are.
func (b *balancer) ready() []*testHost {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(b.fleet.entries()), func(h *testHost) bool { return b.misses[h] >= 2 })
	if len(list) < b.fleet.size.entries/2 {
		return b.fleet.entries()
	}
	return list
}

// caller is one caller, which keeps its connections open and uses them until they are
// closed. Retries go over connections of their own to random hosts.
type caller struct {
	kept, retry *http.Client
}

func (b *balancer) newCaller(number int) *caller {
	dial := func(choose func(n int) int) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, network, _ string) (net.Conn, error) {
			list := b.ready()
			if s := b.shift.Load(); s != nil && float64(number%10) < 10*s.share {
				if in := slices.DeleteFunc(slices.Clone(list), func(h *testHost) bool { return h.zone != s.zone }); len(in) > 0 {
					list = in
				}
			}
			dialer := net.Dialer{Timeout: dialTimeout}
			return dialer.DialContext(ctx, network, fmt.Sprintf("%s:%d", b.fleet.address(list[choose(len(list))]), callerPort))
		}
	}
	return &caller{
		kept:  &http.Client{Transport: &http.Transport{DialContext: dial(func(n int) int { return number % n }), MaxIdleConnsPerHost: 8}},
		retry: &http.Client{Transport: &http.Transport{DialContext: dial(rand.IntN), DisableKeepAlives: true}},
	}
}

// outcome is what became of a request over all of its attempts.
type outcome struct {
	sentAt, endedAt time.Time
	last            attempt // the one that was served, if any was
	connected       bool    // an attempt reached an entry host
}

func (o outcome) served() bool { return o.last.status == http.StatusOK && o.last.complete }

// load is the load on a deployment: programs that start at random times.
type load struct {
	callers  *callers
	balancer *balancer
	pool     []*caller
	size     deploymentSize
	programs atomic.Int64
	// forked gets a value when sub-agents of a program start at the same time, if it is received.
	forked chan struct{}

	mu       sync.Mutex
	outcomes []outcome
}

// request sends a request until it is served, within its timeout, and records the outcome.
// A request that may not be repeated is sent again only if it did not run for certain.
func (l *load) request(ctx context.Context, c *caller, a attempt) attempt {
	o := outcome{sentAt: time.Now()}
	deadline := o.sentAt.Add(a.timeout)
	sending := context.WithoutCancel(ctx) // The end of the test breaks off no requests.
	for n := range retryAttempts + dialAttempts {
		client := c.kept
		if n > 0 {
			client = c.retry
		}
		a.timeout = time.Until(deadline)
		a.impatient()
		o.last = l.callers.do(sending, client, "soak.example", a)
		o.connected = o.connected || o.last.connected
		left := time.Until(deadline)
		if o.last.gaveUp() {
			return o.last
		}
		if !o.last.mayRepeat() || left < 20*time.Millisecond || ctx.Err() != nil {
			break
		}
		pause := o.last.retryAfter
		if !o.connected && n+1 >= retryAttempts {
			pause = dialPause
		}
		types.Sleep(ctx, min(pause, left/3))
		if o.connected && n+1 >= retryAttempts {
			break
		}
	}
	o.endedAt = time.Now()
	l.mu.Lock()
	l.outcomes = append(l.outcomes, o)
	l.mu.Unlock()
	return o.last
}

// mayRepeat reports whether a caller sends the request again.
func (a attempt) mayRepeat() bool {
	switch {
	case a.status == http.StatusOK && a.complete, a.status >= 400 && a.status < 429 && a.status != http.StatusRequestTimeout:
		return false
	case a.path == "/lookup/", !a.connected:
		return true
	}
	return a.guaranteesNotRun()
}

// run starts programs of some kinds, perSecond on average, until ctx ends, and waits for their ends.
func (l *load) run(ctx context.Context, seed uint64, perSecond float64, kinds []programKind) {
	r := rand.New(rand.NewPCG(seed, 2))
	var g errgroup.Group
	for n := 0; types.Sleep(ctx, time.Duration(r.ExpFloat64()/perSecond*float64(time.Second))); n++ {
		g.Go(func() error {
			l.runProgram(ctx, rand.New(rand.NewPCG(seed, uint64(1000+n))), fmt.Sprintf("d%d-%d", seed, n), kinds)
			return nil
		})
	}
	_ = g.Wait() // The goroutines always return nil.
}

// inputSize returns the size of the input of a turn, which is drawn if the sizes vary.
func (s deploymentSize) inputSize(r *rand.Rand) int {
	if !s.varied {
		return s.inputBytes
	}
	return min(int(r.ExpFloat64()*float64(s.inputBytes)), maxInput)
}

// maxEvents returns the most events that a turn has.
func (s deploymentSize) maxEvents() int {
	if !s.varied {
		return s.events
	}
	return 2*s.events - 1
}
