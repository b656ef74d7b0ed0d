package soak_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/types"
)

// run is one execution of a request by a target.
type run struct {
	id, account, key, path, body string
	target                       string
	startedAt                    time.Time
	server                       *targetServer
}

// targets are the targets of the fleet and the server that lists them in the
// platform's format. They record all requests that they run.
type targets struct {
	mu      sync.Mutex
	runs    map[string][]run // by request ID
	list    []map[string]any
	servers []*targetServer // in the order of list, then the server of the list
	crashes []time.Time     // when a target ended because it ran crashingInput
	// limits holds the limits that targets name, and arrivals when each target got
	// a request, both by target ID.
	limits   map[string]float64
	arrivals map[string][]time.Time
	// draining holds whether targets announce that they drain, by ID, and drains when
	// they have done so.
	draining map[string]bool
	drains   []drainPeriod
	// faulty is set if targets write refusals of other requests and the list has an odd
	// entry.
	faulty atomic.Bool
	// events is the number of output events of a turn, the mean one if varied is set, and eventGap
	// the pause before each.
	// calls is how long calls take, by path; plainCallTime if there is no entry.
	events   int
	varied   bool
	eventGap time.Duration
	calls    map[string]time.Duration
	// slowTurns is the number of turns of which one takes slowTurnTime; no turn does if it is 0.
	slowTurns int
	// answers is the fault of how targets respond, if there is one.
	answers atomic.Pointer[answerFault]
	// misdirected counts the requests for other targets, which were refused.
	misdirected atomic.Int64
}

const slowTurnTime = 2 * time.Second

// gapOf returns the pause before each event of a turn.
func (t *targets) gapOf(id string) time.Duration {
	if t.slowTurns > 0 && xxhash.Sum64String(id)%uint64(t.slowTurns) == 0 {
		return slowTurnTime / time.Duration(t.eventsOf(id))
	}
	return t.eventGap
}

// text is a long text without its content: prompts are many, and contain those before them.
type text struct {
	sum   xxhash.Digest
	size  int
	short string // the whole text, if it has less than minDigested bytes
}

// minDigested is the size from which on a text is represented by its digest.
const minDigested = 1000

// with returns the text followed by s.
func (t text) with(s string) text {
	_, _ = t.sum.WriteString(s) // It never returns an error.
	t.size += len(s)
	if t.size < minDigested {
		t.short += s
	}
	return t
}

// digest returns the text if it is short, or else a text that stands for it.
func (t text) digest() string {
	if t.size < minDigested {
		return t.short
	}
	return fmt.Sprintf("%d bytes %x", t.size, t.sum.Sum64())
}

// digest returns the digest of a body.
func digest(body string) string { return text{sum: *xxhash.New()}.with(body).digest() }

// turnOutput returns the output events of a turn. They depend only on the request
// ID.
func (t *targets) turnOutput(id string) (list []string) {
	for i := range t.eventsOf(id) {
		list = append(list, fmt.Sprint(i, "-", id))
	}
	return list
}

// eventsOf returns the number of output events of a turn.
func (t *targets) eventsOf(id string) int {
	if !t.varied {
		return t.events
	}
	return 1 + int(xxhash.Sum64String("events "+id)%uint64(2*t.events-1))
}

// plainCallTime is how long calls take unless [targets] says otherwise.
const plainCallTime = 5 * time.Millisecond

// tokensPerEvent is the number of tokens per output event.
const tokensPerEvent = 10

// startTargets starts the given numbers of targets of the services "models" and
// "plain". It returns them and the address of the server that lists them.
func startTargets(models, plain int) (*targets, string, error) {
	t := &targets{runs: map[string][]run{}, arrivals: map[string][]time.Time{}, draining: map[string]bool{}, events: 2, eventGap: 10 * time.Millisecond}
	for i := range models + plain {
		service := "models"
		if i >= models {
			service = "plain"
		}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, "", err
		}
		id := fmt.Sprintf("t%d", i)
		t.list = append(t.list, map[string]any{
			"id": id, "service": service, "address": l.Addr().String(), "zone": fmt.Sprint("zone-", i%3), "version": "v1", "slots": 50, "state": "ready", "cold_left_ms": 0,
		})
		t.serveTarget(l, id, service)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	t.serve(l, func(w http.ResponseWriter, _ *http.Request) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.faulty.Load() {
			writeFaultyList(w, t.list)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": t.list, "next": nil})
	})
	return t, l.Addr().String(), nil
}

func (t *targets) serve(l net.Listener, h http.HandlerFunc) {
	s := &targetServer{address: l.Addr().String(), handler: h}
	s.serveOn(l)
	t.servers = append(t.servers, s)
}

// serveTarget starts a target of a service. It refuses requests for other targets.
func (t *targets) serveTarget(l net.Listener, id, service string) *targetServer {
	s := &targetServer{address: l.Addr().String(), id: id, service: service, inFlight: map[string]bool{}, brokenOff: map[string]bool{}}
	s.handler = func(w http.ResponseWriter, r *http.Request) {
		if name := r.Header.Get("X-Target-Instance"); name != "" && name != id {
			t.refuseMisdirected(w, r)
			return
		}
		requestID := r.Header.Get("X-Request-Id")
		s.setInFlight(requestID, true)
		// The end of the response is written after the handler has returned.
		defer time.AfterFunc(responseFlushTime, func() { s.setInFlight(requestID, false) })
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		r = r.WithContext(context.WithValue(r.Context(), serverKey{}, s))
		serve := t.serveCall
		if service == "models" {
			serve = t.serveTurn
		}
		if f := t.faultOf(s, requestID); f != nil {
			s.respondFaulty(w, r, f, serve)
			return
		}
		serve(w, r)
	}
	s.serveOn(l)
	t.servers = append(t.servers, s)
	return s
}

func (t *targets) close() {
	for _, s := range t.servers {
		s.stop()
	}
}

// serverKey is the context key of the [targetServer] that serves a request.
type serverKey struct{}

// targetServer is the process of one target, which can end and start again.
type targetServer struct {
	address     string
	id, service string // empty if this is the server of the list
	handler     http.HandlerFunc
	slowdown    atomic.Int64 // factor by which requests take longer, if it is above 1
	leaving     atomic.Bool  // responses close their connections

	mu          sync.Mutex
	idleTimeout time.Duration   // connections that are idle for so long are closed; 0 means never
	server      *http.Server    // nil while the process is down
	stopped     bool            // for good
	inFlight    map[string]bool // requests that run, by ID
	brokenOff   map[string]bool // requests that ran when the process ended, by ID
	ends        []targetEnd     // of the process
}

func (s *targetServer) serveOn(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := &http.Server{Handler: s.handler, IdleTimeout: s.idleTimeout}
	if s.stopped {
		_ = l.Close()
		return
	}
	s.server = server
	go func() { _ = server.Serve(l) }()
}

// crash ends the process, which closes its listener and all connections, and starts
// it again after d.
func (s *targetServer) crash(d time.Duration) {
	if s.end() {
		time.AfterFunc(d, func() { s.restart(context.Background()) })
	}
}

// endRandomly ends single targets, and all targets of a zone at once, until ctx ends.
func (t *targets) endRandomly(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 6))
	for types.Sleep(ctx, time.Duration(500+r.IntN(1500))*time.Millisecond) {
		first, step := r.IntN(len(t.list)), len(t.list)
		if r.IntN(2) == 0 {
			first, step = r.IntN(3), 3 // Target i is in zone i modulo 3.
		}
		for i := first; i < len(t.list); i += step {
			t.servers[i].crash(crashDowntime / 2)
		}
	}
}

// stop ends the process for good.
func (s *targetServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.server != nil {
		_ = s.server.Close()
	}
}

// crashingInput is the body of a request that ends the process of each target that
// runs it, for crashDowntime.
const (
	crashingInput = "crash;"
	crashDowntime = time.Second
)

// waitInput and a number of milliseconds are the body of a request on which a target works
// for that long.
const waitInput = "wait "

// recordRun records that a request runs and sets the response headers that
// identify it.
func (t *targets) recordRun(w http.ResponseWriter, r *http.Request) (id string, ok bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return "", false
	}
	id = r.Header.Get("X-Request-Id")
	target := r.Header.Get("X-Target-Instance")
	t.mu.Lock()
	t.arrivals[target] = append(t.arrivals[target], time.Now())
	if rate, ok := t.limits[target]; ok {
		w.Header().Set("Server-Limit", strconv.FormatFloat(rate, 'f', -1, 64))
	}
	if t.draining[target] {
		w.Header().Set("Server-Leaving", "1")
	}
	server := r.Context().Value(serverKey{}).(*targetServer)
	t.runs[id] = append(t.runs[id], run{
		id: id, target: target, server: server, account: r.Header.Get("X-Tenant"), key: r.Header.Get("Authorization"), path: r.URL.Path, body: digest(string(body)), startedAt: time.Now(),
	})
	crashing := strings.HasSuffix(string(body), crashingInput)
	if crashing {
		t.crashes = append(t.crashes, time.Now())
	}
	t.mu.Unlock()
	if crashing {
		server.crash(crashDowntime)
		return "", false
	}
	if ms, ok := strings.CutPrefix(string(body), waitInput); ok {
		n, _ := strconv.Atoi(strings.TrimSuffix(ms, ";")) // Sent by a test of this package.
		types.Sleep(r.Context(), time.Duration(n)*time.Millisecond)
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "signed "+id)
	return id, true
}

// serveCall handles a request to the service "plain".
func (t *targets) serveCall(w http.ResponseWriter, r *http.Request) {
	id, ok := t.recordRun(w, r)
	if !ok {
		return
	}
	time.Sleep(cmp.Or(t.calls[r.URL.Path], plainCallTime) * slowdown(r))
	if t.faulty.Load() && writesStrayRefusal(id) {
		respondAfterRefusal(w, id, "done "+id)
		return
	}
	_, _ = io.WriteString(w, "done "+id)
}

// serveTurn handles a turn for the service "models" and streams its output.
func (t *targets) serveTurn(w http.ResponseWriter, r *http.Request) {
	id, ok := t.recordRun(w, r)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	gap := t.gapOf(id) * slowdown(r)
	for i, data := range t.turnOutput(id) {
		time.Sleep(gap)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		w.(http.Flusher).Flush()
	}
}

// runsOf returns the recorded runs of a request.
func (t *targets) runsOf(id string) []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]run(nil), t.runs[id]...)
}
