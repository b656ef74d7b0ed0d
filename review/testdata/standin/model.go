package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// startModel serves a stand-in for a model replica, which answers each turn with a stream
// of two events.
func startModel(id, zone string) map[string]any {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	handler := func(w http.ResponseWriter, req *http.Request) {
		request := req.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", request)
		if target := req.Header.Get("X-Target-Instance"); target != "" && target != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		w.Header().Set("X-Response-Signature", "s."+id+"."+request)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 2 {
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

// keepTime is keep_s: how long a turn is kept.
const keepTime = 60 * time.Second

// chatConfig returns a configuration with one route that keeps turns.
func chatConfig() map[string]any {
	config := plainConfig("idempotent")
	config["routes"] = []any{map[string]any{
		"name": "r-chat", "hostname": "rooms.example", "path_prefix": "/chat/", "route_kind": "streaming", "timeout_ms": 4000,
		"target_latency_ms": 250, "priority": 1, "service": "models", "max_attempts": 1, "stateful": true, "keep_s": keepTime.Seconds(),
		"anonymous": false, "sticky": true, "resumable": false, "gap_aim_ms": 300,
	}}
	config["services"] = []any{map[string]any{
		"name": "models", "health_path": "/healthz", "max_connections": 300, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 48, "kv_tokens": 1333755, "stride": 16},
	}}
	config["tenants"] = []any{map[string]any{"name": "studio", "api_keys": []string{"key-studio-1"}, "priority": 1, "per_s": 5000, "burst": 5000}}
	return config
}

// turn is one turn of a program and what its client saw.
type turn struct {
	id, program, previous string
	status                int
	whole                 bool
	sentAt, endedAt       time.Time
}

// chat sends turns to one entry host.
type chat struct {
	url    string
	client *http.Client
	rec    *record

	mu    sync.Mutex
	turns []turn
}

func (f *fleet) newChat(h *host, rec *record) *chat {
	return &chat{
		url: fmt.Sprintf("http://%s:%d/chat/x", h.ip, f.front), rec: rec,
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
}

// send sends one turn and reads the answer to its end.
func (c *chat) send(id, program, previous, input string) turn {
	t := turn{id: id, program: program, previous: previous, sentAt: time.Now()}
	req, err := http.NewRequest(http.MethodPost, c.url, strings.NewReader(input))
	check(err)
	req.Host = "rooms.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "4000", "Authorization": "Bearer key-studio-1", "X-Program-Id": program, "X-Session-Id": program,
		"X-Token-Budget": "100000", "X-Token-Usage": strconv.Itoa(len(input)) + ",64", "X-Prompt-Prefix": fmt.Sprintf("%x:%d", len(program), len(input)),
	} {
		req.Header.Set(name, value)
	}
	if previous != "" {
		req.Header.Set("X-Previous-Turn", previous)
	}
	c.rec.line("sent     %s after %q, %d bytes", id, previous, len(input))
	resp, err := c.client.Do(req)
	if err == nil {
		t.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	t.whole, t.endedAt = err == nil && t.status == http.StatusOK, time.Now()
	c.rec.line("answered %s %d whole %t", id, t.status, t.whole)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turns = append(c.turns, t)
	return t
}
