package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

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
	status                         int  // 0 if there was no response
	complete                       bool // the response body was read to its end
	responseBody                   string
	sentAt, endedAt                time.Time
	entry                          string // name of the entry host
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
	return c.sendTo(ctx, c.fleet.hosts[6+r.IntN(len(c.fleet.hosts)-6)], a)
}

// sendTo sends one request to an entry host and records the outcome.
func (c *callers) sendTo(ctx context.Context, entry *testHost, a attempt) attempt {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	a.id = c.newID()
	a.entry, a.sentAt = entry.name, time.Now()
	url := fmt.Sprintf("http://%s:%d%s", c.fleet.address(entry), callerPort, a.path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(a.requestBody))
	if err != nil {
		panic(err) // Cannot happen: the URL is well-formed.
	}
	req.Host = "soak.example"
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("Authorization", "Bearer key-"+a.account)
	req.Header.Set("X-Deadline-Ms", "4000")
	req.Header.Set("X-Program-Id", a.program)
	if a.path == "/turn/" {
		req.Header.Set("X-Token-Budget", strconv.Itoa(tokenBudget))
		req.Header.Set("X-Token-Usage", fmt.Sprintf("10,%d", maxTurnTokens))
		if a.previous != "" {
			req.Header.Set("X-Previous-Turn", a.previous)
		}
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		a.status = resp.StatusCode
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.responseBody, a.complete = string(body), err == nil
	}
	a.endedAt = time.Now()
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	return a
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

// requestConfig sends a request about the configuration to control host n modulo
// 3 and returns the status and the body of the response. The status is 0 if there
// was none.
func (f *fleet) requestConfig(n int, method string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/v1/config", f.address(f.hosts[n%3]), operatorPort)
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
