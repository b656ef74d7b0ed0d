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

// run is one request as a target ran it.
type run struct {
	id, account, key, path, body string
	at                           time.Time
}

// targets are the back ends of the fleet and the platform's list of them.
type targets struct {
	mu    sync.Mutex
	runs  map[string][]run // by request id
	list  []map[string]any
	ended []io.Closer
}

// outputOf is what a turn generates: it depends on the request alone.
func outputOf(id string) []string { return []string{"a-" + id, "b-" + id} }

// stride is how many tokens one event counts for.
const stride = 10

func startTargets(models, plain int) (*targets, string, error) {
	t := &targets{runs: map[string][]run{}}
	for i := range models + plain {
		service, handler := "models", t.stream
		if i >= models {
			service, handler = "plain", t.answer
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
	t.ended = append(t.ended, s)
	go func() { _ = s.Serve(l) }()
}

func (t *targets) close() {
	for _, c := range t.ended {
		_ = c.Close()
	}
}

// note records that a request runs.
func (t *targets) note(w http.ResponseWriter, r *http.Request) (id string, ok bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return "", false
	}
	id = r.Header.Get("X-Request-Id")
	t.mu.Lock()
	t.runs[id] = append(t.runs[id], run{
		id: id, account: r.Header.Get("X-Tenant"), key: r.Header.Get("Authorization"), path: r.URL.Path, body: string(body), at: time.Now(),
	})
	t.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "signed "+id)
	return id, true
}

func (t *targets) answer(w http.ResponseWriter, r *http.Request) {
	if id, ok := t.note(w, r); ok {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "done "+id)
	}
}

func (t *targets) stream(w http.ResponseWriter, r *http.Request) {
	id, ok := t.note(w, r)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i, data := range outputOf(id) {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		w.(http.Flusher).Flush()
	}
}

// ran returns the runs of a request.
func (t *targets) ran(id string) []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]run(nil), t.runs[id]...)
}
