package fakes

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// loadSample is the load at one moment.
type loadSample struct {
	at    time.Time
	calls int
}

// maxSamples bounds the samples that are kept.
const maxSamples = 1024

func (e *Engine) noteLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads = append(e.loads, loadSample{at: time.Now(), calls: e.batch.load()})
	if len(e.loads) > maxSamples {
		e.loads = e.loads[1:]
	}
}

// lagged returns the load as it was LoadLag ago.
func (e *Engine) lagged() int {
	if e.LoadLag == 0 {
		return e.batch.load()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	calls := 0
	for _, s := range e.loads {
		if time.Since(s.at) >= e.LoadLag {
			calls = s.calls
		}
	}
	return calls
}

// ReportLoad writes the headers by which the engine reports its load, which is
// as old as LoadLag.
func (e *Engine) ReportLoad(h http.Header) {
	e.init()
	h.Set("Load-Calls", strconv.Itoa(e.lagged()))
	h.Set("Load-Slots", strconv.Itoa(e.Slots))
}

func (e *Engine) reportLoad(w http.ResponseWriter) {
	e.ReportLoad(w.Header())
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.reportLoad(w)
	writeBody(w, map[string]int{"calls": e.lagged(), "slots": e.Slots})
}

// Holds returns the names for which the engine holds memory, with its size in
// tokens.
func (e *Engine) Holds() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	holds := map[string]int{}
	for name := range e.cache.entries {
		holds[name] = e.cache.size(name)
	}
	return holds
}

func (e *Engine) listHolds(w http.ResponseWriter, _ *http.Request) { writeBody(w, e.Holds()) }

// Release drops what the engine holds under a name.
func (e *Engine) Release(name string) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.drop(name)
}

func (e *Engine) release(w http.ResponseWriter, r *http.Request) {
	e.Release(mux.Vars(r)["name"])
	w.WriteHeader(http.StatusNoContent)
}

// exported stands for the memory of a program as it travels between engines.
type exported struct {
	Tokens int `json:"tokens"`
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	n := e.cache.size(mux.Vars(r)["name"])
	e.mu.Unlock()
	if n == 0 {
		http.Error(w, "nothing is held under this name", http.StatusNotFound)
		return
	}
	writeBody(w, exported{Tokens: n})
}

func (e *Engine) importHold(w http.ResponseWriter, r *http.Request) {
	var x exported
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil || x.Tokens < 1 {
		http.Error(w, "no memory in the body", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.use(mux.Vars(r)["name"], x.Tokens)
	w.WriteHeader(http.StatusNoContent)
}

// cacheEvents publishes the cache's events late and with gaps.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	published := []cacheEvent{}
	for i := range e.cache.events {
		ev := &e.cache.events[i]
		if ev.Seq <= after || time.Since(ev.at) < e.EventLag || ev.dropped {
			continue
		}
		if ev.dropped = e.rand.Float64() < e.EventLoss; !ev.dropped {
			published = append(published, *ev)
		}
	}
	writeBody(w, published)
}

// engineOrder is an order to load a model, an adapter or a version, or to
// change role.
type engineOrder struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Value string `json:"value"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Fenced && o.Fence < e.fence {
		http.Error(w, "the order's fencing number is old", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders[o.Kind] = o.Value
	writeBody(w, e.orders)
}

func writeBody(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
