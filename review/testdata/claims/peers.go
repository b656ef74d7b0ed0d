package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	keepTime       = 60 * time.Second // keep_s
	turnMax        = 64               // tokens that one turn may generate
	tokensPerEvent = 16               // stride
	turnEvents     = 2                // events of each answer
	budget         = 5 * turnMax
	// studioRate is the rate of the tenant whose programs are observed. Its turns wait for the
	// limit for a fraction of a second when many come at once.
	studioRate, studioBurst = 40, 4
)

// arrivals holds the IDs of the requests that have reached a replica.
type arrivals struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids[id] = true
}

func (a *arrivals) has(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ids[id]
}

// startModel serves a stand-in for a model replica, which answers each turn with a stream of
// turnEvents events, and returns its entry in the platform's list.
func startModel(id, zone string, reached *arrivals, rec *record) map[string]any {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	handler := func(w http.ResponseWriter, req *http.Request) {
		request := req.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", request)
		if target := req.Header.Get("X-Target-Instance"); target != "" && target != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		reached.add(request)
		rec.line("reached  %s at %s", request, id)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		w.Header().Set("X-Response-Signature", "s."+id+"."+request)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range turnEvents {
			fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", i, request, i)
			w.(http.Flusher).Flush()
		}
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(handler)) }() // Ends with the process.
	return map[string]any{
		"id": id, "service": "models", "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 48,
		"state": "ready", "cold_left_ms": 0, "stage": "both", "models": []any{}, "born": 1760000000000,
	}
}

// startPlatform serves the platform's list of replicas and returns its address.
func startPlatform(entries []map[string]any) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil}) // Fails if the caller has left.
	})
	go func() { _ = http.Serve(l, mux) }() // Ends with the process.
	return l.Addr().String()
}

// chatConfig returns a configuration with one route that keeps turns.
func chatConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-chat", "hostname": "rooms.example", "path_prefix": "/chat/", "route_kind": "streaming", "timeout_ms": 4000,
			"target_latency_ms": 250, "priority": 1, "service": "models", "max_attempts": 1, "stateful": true, "keep_s": keepTime.Seconds(),
			"anonymous": false, "sticky": true, "resumable": false, "gap_aim_ms": 300,
		}},
		"services": []any{map[string]any{
			"name": "models", "health_path": "/healthz", "max_connections": 300, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 48, "kv_tokens": 1333755, "stride": tokensPerEvent},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "studio", "api_keys": []string{"key-studio"}, "priority": 1, "per_s": studioRate, "burst": studioBurst},
			map[string]any{"name": "choir", "api_keys": []string{"key-choir"}, "priority": 1, "per_s": 400, "burst": 400},
		},
	}
}

// turn is one turn of a program and what its client saw.
type turn struct {
	tenant, program, session, previous string
	name                               string
	ids                                []string // of its attempts
	whole                              bool
	status                             int       // of the last answer, 0 for a connection that ended
	endedAt                            time.Time // when the last attempt ended
}

// reached reports whether any attempt has reached a replica.
func (t *turn) reached(a *arrivals) bool {
	for _, id := range t.ids {
		if a.has(id) {
			return true
		}
	}
	return false
}

// id returns the ID of the last attempt, which the next turn names.
func (t *turn) id() string { return t.ids[len(t.ids)-1] }

// clients sends turns as PROTOCOL.md tells, each attempt on a new connection.
type clients struct {
	fleet *fleet
	rec   *record
	// onWhole is called after each turn that was answered whole.
	onWhole func()
}

const (
	turnDeadline = 4 * time.Second
	// sends is how often a turn is sent, from its start again after a failure.
	sends     = 3
	sendPause = 250 * time.Millisecond
	// retryPause is the pause after a connection that was refused, and maxAttempts how many
	// attempts one send has.
	retryPause  = 500 * time.Millisecond
	maxAttempts = 6
)

// run sends a turn until it is answered whole, is refused for good or has failed sends times.
func (c *clients) run(t *turn) {
	for n := range sends {
		if n > 0 {
			time.Sleep(sendPause)
		}
		if c.send(t) {
			return
		}
	}
}

// send sends a turn once, with the attempts that any request has, and reports whether it has ended.
func (c *clients) send(t *turn) (ended bool) {
	deadline := time.Now().Add(turnDeadline)
	for range maxAttempts {
		left := time.Until(deadline)
		if left <= 0 {
			return false
		}
		pause, again := c.attempt(t, left)
		if !again {
			return t.whole || t.status == 400 || t.status >= 401 && t.status <= 404 || t.status == 413
		}
		time.Sleep(min(pause, time.Until(deadline)/3))
	}
	return false
}

// attempt makes one attempt. again is set if it may be repeated after the pause: it was refused
// with a promise, or the connection.
func (c *clients) attempt(t *turn, left time.Duration) (pause time.Duration, again bool) {
	entries := c.fleet.role("entry")
	number := len(t.ids)
	id := fmt.Sprintf("%s-%d", t.name, number)
	t.ids = append(t.ids, id)
	var sum int
	for _, b := range []byte(t.program) {
		sum += int(b)
	}
	h := entries[(sum+number)%len(entries)]
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", h.ip, c.fleet.front), time.Second)
	if err != nil {
		t.status, t.endedAt = 0, time.Now()
		c.rec.line("refused  %s by %s: no connection", id, h.name)
		return retryPause, true
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
	client := &http.Client{Timeout: left, Transport: transport}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/chat/x", h.ip, c.fleet.front), bodyOf(t))
	check(err)
	req.Host = "rooms.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10), "Authorization": "Bearer key-" + t.tenant, "X-Program-Id": t.program, "X-Session-Id": t.session,
		"X-Finish-Ms": "30000", "X-Token-Budget": strconv.Itoa(budget), "X-Token-Usage": "200," + strconv.Itoa(turnMax), "X-Prompt-Prefix": fmt.Sprintf("%x:200", len(t.program)),
	} {
		req.Header.Set(name, value)
	}
	if t.previous != "" {
		req.Header.Set("X-Previous-Turn", t.previous)
	}
	c.rec.line("sent     %s to %s after %q", id, h.name, t.previous)
	resp, err := client.Do(req)
	t.status = 0
	if err == nil {
		t.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	t.whole, t.endedAt = err == nil && t.status == http.StatusOK, time.Now()
	c.rec.line("answered %s %d whole %t", id, t.status, t.whole)
	if t.whole {
		c.onWhole()
	}
	if t.status != http.StatusServiceUnavailable && t.status != http.StatusTooManyRequests && t.status != http.StatusRequestTimeout {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return retryPause, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
