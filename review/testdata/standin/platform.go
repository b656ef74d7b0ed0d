package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in for one replica of a plain service, as PROTOCOL.md tells.
type replica struct {
	id, service, zone string
	address           string
	work              time.Duration

	rec *record
	// poison is a body that crashes the replica when it begins to run the request.
	poison string

	mu       sync.Mutex
	runs     []run
	server   *http.Server
	downTime time.Duration // how long the process is down after a crash
}

// run is one request that a replica has run.
type run struct {
	id      string
	arrived time.Time
}

// startReplica serves a replica on a free loopback port.
func startReplica(id, service, zone string, work time.Duration, rec *record) *replica {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	r := &replica{id: id, service: service, zone: zone, address: l.Addr().String(), work: work, rec: rec, downTime: 2 * time.Second}
	r.serveOn(l)
	return r
}

func (r *replica) serveOn(l net.Listener) {
	server := &http.Server{Handler: r}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }() // Ends with a crash, or with this process.
}

// crash ends the process of the replica: its listener and all its connections are
// closed. It is back at the same address after downTime.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server == nil {
		return
	}
	_ = r.server.Close()
	r.server = nil
	r.rec.line("crashed  %s", r.id)
	time.AfterFunc(r.downTime, func() {
		l, err := net.Listen("tcp4", r.address)
		check(err)
		r.rec.line("back     %s", r.id)
		r.serveOn(l)
	})
}

// ServeHTTP runs a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	sent, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, run{id, time.Now()})
	r.mu.Unlock()
	r.rec.line("run      %s at %s", id, r.id)
	time.Sleep(r.work)
	if r.poison != "" && string(sent) == r.poison {
		r.crash()
		return
	}
	w.Header().Set("X-Response-Signature", "s."+r.id+"."+id)
	body := "ok " + id + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body)) // Fails if the caller has left.
}

// entry returns the complete entry of a replica in the platform's list.
func (r *replica) entry(state string) map[string]any {
	return map[string]any{
		"id": r.id, "service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6,
		"state": state, "cold_left_ms": 0, "stage": "both", "models": []any{}, "born": 1760000000000,
	}
}

// platform is a stand-in for the platform's list of replicas.
type platform struct {
	address string

	mu      sync.Mutex
	entries []map[string]any
}

func startPlatform() *platform {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	p := &platform{address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.entries, "next": nil}) // Fails if the caller has left.
	})
	go func() { _ = http.Serve(l, mux) }() // Ends with the process.
	return p
}

func (p *platform) set(entries []map[string]any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
}

// plainConfig returns a configuration with one route to a plain service.
func plainConfig(kind string) map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-lookup", "hostname": "rooms.example", "path_prefix": "/lookup/", "route_kind": kind, "timeout_ms": 1200,
			"target_latency_ms": 80, "priority": 2, "service": "booking", "max_attempts": 1, "anonymous": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "booking", "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "studio", "api_keys": []string{"key-studio-1"}, "priority": 1, "per_s": 400, "burst": 400}},
	}
}

// caller sends requests to one entry host.
type caller struct {
	url, prefix  string
	method, body string
	rec          *record

	client *http.Client
	mu     sync.Mutex
	sentAt map[string]time.Time
	status map[int]int
}

// newCaller returns a caller of an entry host.
func (f *fleet) newCaller(h *host, prefix, method, path string, rec *record) *caller {
	return &caller{
		url: fmt.Sprintf("http://%s:%d%s", h.ip, f.front, path), prefix: prefix, method: method, rec: rec,
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 20}},
		sentAt: map[string]time.Time{}, status: map[int]int{},
	}
}

// run sends a request at each interval until the given time.
func (c *caller) run(interval time.Duration, until time.Time) {
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.send(fmt.Sprintf("%s%06d", c.prefix, n))
		}()
		time.Sleep(interval)
	}
	wg.Wait()
}

// send sends one request and waits for the answer.
func (c *caller) send(id string) {
	req, err := http.NewRequest(c.method, c.url, strings.NewReader(c.body))
	check(err)
	req.Host = "rooms.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "1200")
	req.Header.Set("Authorization", "Bearer key-studio-1")
	c.rec.line("sent     %s", id)
	c.mu.Lock()
	c.sentAt[id] = time.Now()
	c.mu.Unlock()
	resp, err := c.client.Do(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	c.rec.line("answered %s %d", id, status)
	c.mu.Lock()
	c.status[status]++
	c.mu.Unlock()
}
