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
)

// The accounts of the fleet and what they may use.
const (
	calmAccount  = "calm"
	rashAccount  = "rash"
	rashRate     = 10
	rashBurst    = 10
	tokenBudget  = 100
	mostTokens   = 40
	programTurns = 4
)

// attempt is one request as its caller saw it.
type attempt struct {
	id, account, path, sent string
	previous                string // the turn that it continues
	program                 string
	status                  int // 0 if there was no answer
	whole                   bool
	body                    string
	ended                   time.Time
}

// promise is a status that says that nothing has run.
func (a attempt) promise() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired, http.StatusRequestTimeout:
		return true
	}
	return false
}

// callers send programs and note what came of each request.
type callers struct {
	fleet *fleet
	mu    sync.Mutex
	all   []attempt
	next  int
}

func (c *callers) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("%s-%d", c.fleet.net, c.next)
}

// send sends one request to an entry host and notes it.
func (c *callers) send(ctx context.Context, r *rand.Rand, a attempt) attempt {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	a.id = c.id()
	entry := c.fleet.machines[6+r.IntN(2)]
	url := fmt.Sprintf("http://%s:%d%s", c.fleet.address(entry), frontPort, a.path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(a.sent))
	if err != nil {
		panic(err) // The address is well formed.
	}
	req.Host = "soak.example"
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("Authorization", "Bearer key-"+a.account)
	req.Header.Set("X-Deadline-Ms", "4000")
	req.Header.Set("X-Program-Id", a.program)
	if a.path == "/turn/" {
		req.Header.Set("X-Token-Budget", strconv.Itoa(tokenBudget))
		req.Header.Set("X-Token-Usage", fmt.Sprintf("10,%d", mostTokens))
		if a.previous != "" {
			req.Header.Set("X-Previous-Turn", a.previous)
		}
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		a.status = resp.StatusCode
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.body, a.whole = string(body), err == nil
	}
	a.ended = time.Now()
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	return a
}

// programs runs one program after the other until ctx ends.
func (c *callers) programs(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	for n := 0; ctx.Err() == nil; n++ {
		program := fmt.Sprintf("p%d-%d", seed, n)
		previous := ""
		for step := 0; step < programTurns && ctx.Err() == nil; step++ {
			a := c.send(ctx, r, attempt{account: calmAccount, path: "/turn/", sent: fmt.Sprintf("in %s %d;", program, step), previous: previous, program: program})
			if a.status == http.StatusOK && a.whole {
				previous = a.id
			}
			c.send(ctx, r, attempt{account: calmAccount, path: "/charge/", sent: "x", program: program})
			time.Sleep(time.Duration(r.IntN(50)) * time.Millisecond)
		}
	}
}

// rush sends far more than its account may use until ctx ends.
func (c *callers) rush(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3))
	for ctx.Err() == nil {
		c.send(ctx, r, attempt{account: rashAccount, path: "/charge/", sent: "x", program: "rash"})
		time.Sleep(15 * time.Millisecond)
	}
}

// plan is the configuration with the given version, in the platform's words.
func plan(version int) []byte {
	route := func(prefix, kind, service string, stateful bool) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "hostname": "soak.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": 4000,
			"target_latency_ms": 200, "service": service, "max_attempts": 1, "stateful": stateful, "keep_s": 60,
		}
	}
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{route("/turn/", "streaming", "models", true), route("/charge/", "non_idempotent", "plain", false)},
		"services": []any{
			map[string]any{"name": "models", "engine": map[string]any{"slots": 50, "stride": stride}}, map[string]any{"name": "plain"},
		},
		"tenants": []any{
			map[string]any{"name": calmAccount, "api_keys": []string{"key-" + calmAccount}},
			map[string]any{"name": rashAccount, "api_keys": []string{"key-" + rashAccount}, "per_s": rashRate, "burst": rashBurst},
		},
		"note": fmt.Sprint("version ", version),
	})
	if err != nil {
		panic(err) // Plain data.
	}
	return b
}

// operator asks a control host and returns the status and the body.
func (f *fleet) operator(n int, method string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/v1/config", f.address(f.machines[n%3]), operatorPort)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // The address is well formed.
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}
