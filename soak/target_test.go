package soak_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one execution of a request by a target.
type run struct {
	id, account, key, path, body string
	startedAt                    time.Time
}

// targets are the targets of the fleet and the server that lists them in the
// platform's format. They record all requests that they run.
type targets struct {
	mu      sync.Mutex
	runs    map[string][]run // by request ID
	list    []map[string]any
	servers []io.Closer
}

// turnOutput returns the output events of a turn. They depend only on the request
// ID.
func turnOutput(id string) []string { return []string{"a-" + id, "b-" + id} }

// tokensPerEvent is the number of tokens per output event.
const tokensPerEvent = 10

// startTargets starts the given numbers of targets of the services "models" and
// "plain". It returns them and the address of the server that lists them.
func startTargets(models, plain int) (*targets, string, error) {
	t := &targets{runs: map[string][]run{}}
	for i := range models + plain {
		service, handler := "models", t.serveTurn
		if i >= models {
			service, handler = "plain", t.serveCall
		}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, "", err
		}
		id := fmt.Sprintf("t%d", i)
		t.list = append(t.list, map[string]any{
			"id": id, "service": service, "address": l.Addr().String(), "zone": fmt.Sprint("zone-", i%3), "slots": 50, "state": "ready",
		})
		t.serve(l, handler)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	t.serve(l, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": t.list, "next": nil})
	})
	return t, l.Addr().String(), nil
}

func (t *targets) serve(l net.Listener, h http.HandlerFunc) {
	s := &http.Server{Handler: h}
	t.servers = append(t.servers, s)
	go func() { _ = s.Serve(l) }()
}

func (t *targets) close() {
	for _, c := range t.servers {
		_ = c.Close()
	}
}

// recordRun records that a request runs and sets the response headers that
// identify it.
func (t *targets) recordRun(w http.ResponseWriter, r *http.Request) (id string, ok bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return "", false
	}
	id = r.Header.Get("X-Request-Id")
	t.mu.Lock()
	t.runs[id] = append(t.runs[id], run{
		id: id, account: r.Header.Get("X-Tenant"), key: r.Header.Get("Authorization"), path: r.URL.Path, body: string(body), startedAt: time.Now(),
	})
	t.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "signed "+id)
	return id, true
}

// serveCall handles a request to the service "plain".
func (t *targets) serveCall(w http.ResponseWriter, r *http.Request) {
	if id, ok := t.recordRun(w, r); ok {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "done "+id)
	}
}

// serveTurn handles a turn for the service "models" and streams its output.
func (t *targets) serveTurn(w http.ResponseWriter, r *http.Request) {
	id, ok := t.recordRun(w, r)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i, data := range turnOutput(id) {
		time.Sleep(10 * time.Millisecond)
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
