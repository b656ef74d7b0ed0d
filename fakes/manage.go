package fakes

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// loadSample is the number of running and waiting calls at one point in time.
type loadSample struct {
	sampledAt time.Time
	calls     int
}

// maxLoadSamples is the maximum number of load samples that are kept.
const maxLoadSamples = 1024

func (e *Engine) recordLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadSamples = append(e.loadSamples, loadSample{sampledAt: time.Now(), calls: e.batch.inFlight()})
	if len(e.loadSamples) > maxLoadSamples {
		e.loadSamples = e.loadSamples[1:]
	}
}

// laggedLoad returns the load as of LoadLag ago.
func (e *Engine) laggedLoad() int {
	if e.LoadLag == 0 {
		return e.batch.inFlight()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	calls := 0
	for _, s := range e.loadSamples {
		if time.Since(s.sampledAt) >= e.LoadLag {
			calls = s.calls
		}
	}
	return calls
}

// ReportLoad sets the header fields that report the engine's load as of LoadLag
// ago.
func (e *Engine) ReportLoad(h http.Header) {
	e.init()
	h.Set("Load-Calls", strconv.Itoa(e.laggedLoad()))
	h.Set("Load-Slots", strconv.Itoa(e.Slots))
}

func (e *Engine) writeLoadHeaders(w http.ResponseWriter) {
	e.ReportLoad(w.Header())
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.writeLoadHeaders(w)
	writeJSON(w, map[string]int{"calls": e.laggedLoad(), "slots": e.Slots})
}

// CachedPrefixes returns the lengths of the cached prefixes in tokens, by key.
func (e *Engine) CachedPrefixes() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	lengths := map[string]int{}
	for key := range e.cache.entries {
		lengths[key] = e.cache.cachedTokens(key)
	}
	return lengths
}

func (e *Engine) handleListPrefixes(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.CachedPrefixes())
}

// Evict evicts the prefix with the given key from the cache.
func (e *Engine) Evict(key string) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.evict(key)
}

func (e *Engine) handleEvict(w http.ResponseWriter, r *http.Request) {
	e.Evict(mux.Vars(r)["name"])
	w.WriteHeader(http.StatusNoContent)
}

// exportedPrefix represents the cached prefix of a program in a transfer between
// engines.
type exportedPrefix struct {
	Tokens int `json:"tokens"`
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	n := e.cache.cachedTokens(mux.Vars(r)["name"])
	e.mu.Unlock()
	if n == 0 {
		http.Error(w, "no prefix is cached under this key", http.StatusNotFound)
		return
	}
	writeJSON(w, exportedPrefix{Tokens: n})
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var imported exportedPrefix
	if err := json.NewDecoder(r.Body).Decode(&imported); err != nil || imported.Tokens < 1 {
		http.Error(w, "the body contains no prefix", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.update(mux.Vars(r)["name"], imported.Tokens)
	w.WriteHeader(http.StatusNoContent)
}

// handleCacheEvents sends cache events after EventLag and loses a fraction of
// them.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	published := []cacheEvent{}
	for i := range e.cache.events {
		ev := &e.cache.events[i]
		if ev.Seq <= after || time.Since(ev.createdAt) < e.EventLag || ev.lost {
			continue
		}
		if ev.lost = e.rand.Float64() < e.EventLoss; !ev.lost {
			published = append(published, *ev)
		}
	}
	writeJSON(w, published)
}

// engineOrder is an order to load a model, an adapter or a version, or to change
// the engine's role.
type engineOrder struct {
	FencingToken uint64 `json:"fence"`
	Kind         string `json:"kind"`
	Value        string `json:"value"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && o.FencingToken < e.fencingToken {
		http.Error(w, "the order's fencing token is stale", http.StatusConflict)
		return
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	e.orders[o.Kind] = o.Value
	writeJSON(w, e.orders)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
