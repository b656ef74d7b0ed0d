package soak_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

// The accounts of the fleet and their limits.
const (
	unlimitedAccount = "calm"
	limitedAccount   = "rash"
	limitedRate      = 10 // requests per second
	limitedBurst     = 10
	tokenBudget      = 100 // tokens that a program may generate
	maxTurnTokens    = 40  // tokens that a turn may generate
	programTurns     = 4
)

// attempt is one request and its response as observed by the caller.
type attempt struct {
	id, account, path, requestBody string
	previous                       string // ID of the turn that this one continues
	program                        string
	session                        string // of the line of turns; that of the program if empty, none if noSession
	loops                          bool   // the program runs until its budget is spent
	status                         int    // 0 if there was no response
	complete                       bool   // the response body was read to its end
	responseBody                   string
	sentAt, endedAt                time.Time
	entry                          string // name of the entry host
	budget, maxTokens              int    // tokens that the program and the turn may generate; tokenBudget and maxTurnTokens if 0
	timeout                        time.Duration
	patience                       time.Duration // after which the caller gives up; 0 means never
	slow                           bool          // the body takes slowSend
	connected                      bool          // there was a connection to an entry host
	reused                         bool          // the connection had carried a request before
	failure                        string        // why there is no complete response
	retryAfter                     time.Duration
}

// noSession is the session of attempts that name none.
const noSession = "none"

const (
	// One in unusualCallers requests is given up by its caller, and one is sent slowly.
	unusualCallers = 50
	slowSend       = 300 * time.Millisecond
)

// impatient makes some requests of programs ones that the caller gives up or sends slowly.
func (a *attempt) impatient() {
	switch n := xxhash.Sum64String(a.program + a.path + a.previous + a.session); n % unusualCallers {
	case 0:
		a.patience = time.Duration(20+n%400) * time.Millisecond
	case 1:
		a.slow = true
	}
}

// gaveUp reports whether the caller has given up the request.
func (a attempt) gaveUp() bool {
	return a.patience > 0 && !a.complete && a.endedAt.Sub(a.sentAt) >= a.patience-20*time.Millisecond
}

// pause is a reader that is empty after a time.
type pause time.Duration

func (p pause) Read([]byte) (int, error) {
	time.Sleep(time.Duration(p))
	return 0, io.EOF
}

// guaranteesNotRun reports whether the status guarantees that no target has run
// the request.
func (a attempt) guaranteesNotRun() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired, http.StatusRequestTimeout:
		return true
	}
	return false
}

// callers sends programs and records the outcome of each request. Its methods are
// safe for concurrent use.
type callers struct {
	fleet    *fleet
	mu       sync.Mutex
	attempts []attempt
	lastID   int
}

// newID returns a unique request ID.
func (c *callers) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return fmt.Sprintf("%s-%d", c.fleet.netPrefix, c.lastID)
}

// send sends one request to a random entry host and records the outcome.
func (c *callers) send(ctx context.Context, r *rand.Rand, a attempt) attempt {
	return c.sendTo(ctx, c.fleet.randomEntry(r), a)
}

// sendTo sends one request to an entry host and records the outcome.
func (c *callers) sendTo(ctx context.Context, entry *testHost, a attempt) attempt {
	a.entry = entry.name
	return c.do(ctx, http.DefaultClient, fmt.Sprintf("%s:%d", c.fleet.address(entry), callerPort), a)
}

// do sends one request through a client and records the outcome. The address is that of an
// entry host, or one that the client resolves.
func (c *callers) do(ctx context.Context, client *http.Client, address string, a attempt) attempt {
	a.timeout = cmp.Or(a.timeout, 4*time.Second)
	a.budget, a.maxTokens = cmp.Or(a.budget, tokenBudget), cmp.Or(a.maxTokens, maxTurnTokens)
	a.id, a.sentAt = c.newID(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(cmp.Or(a.patience, a.timeout), a.timeout))
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.connected, a.reused = true, info.Reused
		if h := c.fleet.hostAt(info.Conn.RemoteAddr()); h != nil {
			a.entry = h.name
		}
	}})
	url := fmt.Sprintf("http://%s%s", address, a.path)
	var body io.Reader = strings.NewReader(a.requestBody)
	if a.slow {
		body = io.MultiReader(strings.NewReader(a.requestBody[:1]), pause(slowSend), strings.NewReader(a.requestBody[1:]))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		panic(err) // Cannot happen: the URL is well-formed.
	}
	req.ContentLength = int64(len(a.requestBody))
	req.Host = "soak.example"
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("Authorization", "Bearer key-"+a.account)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(a.timeout.Milliseconds(), 10))
	req.Header.Set("X-Program-Id", a.program)
	if a.session != noSession {
		req.Header.Set("X-Session-Id", cmp.Or(a.session, a.program))
	}
	if a.path == "/turn/" {
		req.Header.Set("X-Token-Budget", strconv.Itoa(a.budget))
		req.Header.Set("X-Token-Usage", fmt.Sprintf("10,%d", a.maxTokens))
		if a.previous != "" {
			req.Header.Set("X-Previous-Turn", a.previous)
		}
	}
	resp, err := client.Do(req)
	if err == nil {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 without the header field.
		a.retryAfter = time.Duration(seconds * float64(time.Second))
		a.status = resp.StatusCode
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.responseBody, a.complete = string(body), err == nil
	}
	if err != nil {
		a.failure = err.Error()
	}
	a.endedAt = time.Now()
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	return a
}

// hostAt returns the entry host with the address of a connection, or nil.
func (f *fleet) hostAt(address net.Addr) *testHost {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || !strings.HasPrefix(tcp.IP.String(), f.netPrefix+".1.") {
		return nil
	}
	n := int(tcp.IP.To4()[3])
	for _, h := range f.entries() {
		if h.number == n {
			return h
		}
	}
	return nil
}

// runInBackground runs programs concurrently until stop is called.
func (c *callers) runInBackground(seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for i := range uint64(concurrentPrograms) {
		g.Go(func() error { c.runPrograms(ctx, seed*100+i); return nil })
	}
	return func() {
		cancel()
		_ = g.Wait() // The goroutines always return nil.
	}
}

// runPrograms runs programs one after another until ctx ends. Each turn is followed
// by a non-idempotent call.
func (c *callers) runPrograms(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	for n := 0; ctx.Err() == nil; n++ {
		program := fmt.Sprintf("p%d-%d", seed, n)
		previous := ""
		for turn := 0; turn < programTurns && ctx.Err() == nil; turn++ {
			a := c.send(ctx, r, attempt{account: unlimitedAccount, path: "/turn/", requestBody: fmt.Sprintf("in %s %d;", program, turn), previous: previous, program: program})
			if a.status == http.StatusOK && a.complete {
				previous = a.id
			}
			c.send(ctx, r, attempt{account: unlimitedAccount, path: "/charge/", requestBody: "x", program: program})
			time.Sleep(time.Duration(r.IntN(50)) * time.Millisecond)
		}
	}
}

// exceedRateLimit sends requests for limitedAccount far above its rate limit until
// ctx ends.
func (c *callers) exceedRateLimit(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	for ctx.Err() == nil {
		c.send(ctx, r, attempt{account: limitedAccount, path: "/charge/", requestBody: "x", program: "rash"})
		time.Sleep(15 * time.Millisecond)
	}
}

// planDocument returns the plan with the given version in the platform's format.
func planDocument(version int) []byte {
	route := func(prefix, kind, service string, stateful bool) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "hostname": "soak.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": 4000,
			"target_latency_ms": 200, "service": service, "max_attempts": 2, "stateful": stateful, "keep_s": 60,
		}
	}
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("/turn/", "streaming", "models", true), route("/charge/", "non_idempotent", "plain", false), route("/lookup/", "idempotent", "plain", false),
		},
		"services": []any{
			map[string]any{"name": "models", "engine": map[string]any{"slots": 50, "stride": tokensPerEvent}}, map[string]any{"name": "plain"},
		},
		"tenants": []any{
			map[string]any{"name": unlimitedAccount, "api_keys": []string{"key-" + unlimitedAccount}},
			map[string]any{"name": limitedAccount, "api_keys": []string{"key-" + limitedAccount}, "per_s": limitedRate, "burst": limitedBurst},
		},
		"note": fmt.Sprint("version ", version),
	})
	if err != nil {
		panic(err) // Cannot happen: the document holds only values that JSON can encode.
	}
	return b
}

// requestConfig sends a request about the configuration to the control host at index n, modulo
// their number.
func (f *fleet) requestConfig(n int, method string, body []byte) (int, []byte) {
	return f.requestControl(n, method, "/v1/config", body, 2*time.Second)
}

// requestControl sends a request of an operator to the control host at index n, modulo their
// number, and returns the status and the body of the response. The status is 0 if there was none.
func (f *fleet) requestControl(n int, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s", f.address(f.hosts[n%f.size.controls]), operatorPort, path)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // Cannot happen: the URL is well-formed.
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, response
}
