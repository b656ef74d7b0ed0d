package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/banyanspur/banyanspur/types"
)

// Engine stands in for a model engine with continuous batching and a prefix
// cache. Set the exported fields before it serves; the zero value answers at
// once. It is safe for concurrent use.
type Engine struct {
	// Slots is how many calls are batched. The default is 16.
	Slots int
	// PrefillRate is how many prompt tokens are computed a second. 0 takes no
	// time.
	PrefillRate float64
	// TokenTime is the time of one decoding step with an idle batch.
	TokenTime time.Duration
	// BatchSlowdown is the share by which each further call in the batch
	// lengthens a step.
	BatchSlowdown float64
	// CacheTokens bounds the cache. 0 stands for a million.
	CacheTokens int
	// LoadLag is how old a reported load is.
	LoadLag time.Duration
	// EventLag is how late cache events are published, and EventLoss the share
	// of them that is lost.
	EventLag  time.Duration
	EventLoss float64
	// Fenced is set if orders with an old fencing number are refused.
	Fenced bool
	// AnswerTokens is the length of an answer; at most what the caller allows.
	// The default is 16.
	AnswerTokens int
	// Seed makes every random choice repeatable.
	Seed uint64

	once    sync.Once
	mu      sync.Mutex // guards the fields below
	rand    *rand.Rand
	batch   batch
	cache   cache
	loads   []loadSample
	fence   uint64
	orders  map[string]string
	streams map[string][]string // the tokens of recent streams, by call id
	// Computed and Recomputed count prompt tokens, and those among them that
	// had been computed for the same program before.
	computed, recomputed int
}

const (
	defaultSlots        = 16
	defaultCacheTokens  = 1_000_000
	defaultAnswerTokens = 16
	defaultMaxTokens    = 1024
	maxStreams          = 1024
)

func (e *Engine) init() {
	e.once.Do(func() {
		if e.Slots == 0 {
			e.Slots = defaultSlots
		}
		if e.CacheTokens == 0 {
			e.CacheTokens = defaultCacheTokens
		}
		if e.AnswerTokens == 0 {
			e.AnswerTokens = defaultAnswerTokens
		}
		e.rand = rand.New(rand.NewPCG(e.Seed, 1))
		e.batch.slots = e.Slots
		e.cache = newCache(e.CacheTokens)
		e.orders = map[string]string{}
		e.streams = map[string][]string{}
	})
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.init()
	m := mux.NewRouter()
	m.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	m.HandleFunc("/v1/streams/{call}", e.resume).Methods(http.MethodGet)
	m.HandleFunc("/v1/holds", e.listHolds).Methods(http.MethodGet)
	m.HandleFunc("/v1/holds/{name}", e.release).Methods(http.MethodDelete)
	m.HandleFunc("/v1/holds/{name}", e.export).Methods(http.MethodGet)
	m.HandleFunc("/v1/holds/{name}", e.importHold).Methods(http.MethodPut)
	m.HandleFunc("/v1/cache/events", e.cacheEvents).Methods(http.MethodGet)
	m.HandleFunc("/v1/orders", e.order).Methods(http.MethodPost)
	m.HandleFunc("/load", e.load).Methods(http.MethodGet)
	return m
}

// chatRequest is what the engine reads of a request.
type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Priority  int               `json:"priority"`
}

// generation is one call that the engine runs.
type generation struct {
	chatRequest
	Job
	call string
}

// Job is what the engine's time model needs to know of a call.
type Job struct {
	// Hold is the name under which the prefix is kept; empty for none.
	Hold string
	// Prompt and Tokens are the lengths of prompt and answer, in tokens.
	Prompt, Tokens int
	// Priority orders the calls that wait; higher goes first.
	Priority int
}

// Generate takes the time that a call takes. It reports false if ctx ended
// first.
func (e *Engine) Generate(ctx context.Context, j Job) bool {
	e.init()
	if !e.admit(ctx, j) {
		return false
	}
	defer e.batch.leave()
	return types.Sleep(ctx, time.Duration(j.Tokens)*e.step())
}

// admit waits for a slot and computes the prompt. The caller leaves the slot
// if it reports true.
func (e *Engine) admit(ctx context.Context, j Job) bool {
	if !e.batch.enter(ctx, j.Priority) {
		return false
	}
	e.noteLoad()
	if !types.Sleep(ctx, e.prefill(j)) {
		e.batch.leave()
		return false
	}
	return true
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var g generation
	if err := json.NewDecoder(r.Body).Decode(&g.chatRequest); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.call, g.Hold = r.Header.Get("Banyanspur-Call-Id"), r.Header.Get("Banyanspur-Hold")
	g.Job.Priority = g.chatRequest.Priority
	for _, m := range g.Messages {
		g.Prompt += countTokens(m)
	}
	if g.MaxTokens == 0 {
		g.MaxTokens = defaultMaxTokens
	}
	g.Tokens = min(e.AnswerTokens, g.MaxTokens)
	if !e.admit(r.Context(), g.Job) {
		return
	}
	defer e.batch.leave()
	e.answer(w, r, g)
}

// prefill finds out how much of the prompt is cached and returns how long the
// rest takes.
func (e *Engine) prefill(j Job) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached, seen := e.cache.use(j.Hold, j.Prompt+j.Tokens)
	missing := max(0, j.Prompt-cached)
	e.computed += missing
	e.recomputed += max(0, min(seen, j.Prompt)-cached)
	if e.PrefillRate == 0 {
		return 0
	}
	return time.Duration(float64(missing) / e.PrefillRate * float64(time.Second))
}

// Waste returns the number of prompt tokens that were computed, and of those
// that had been computed for the same program before.
func (e *Engine) Waste() (computed, recomputed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.computed, e.recomputed
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, g generation) {
	e.reportLoad(w)
	if !g.Stream {
		if !types.Sleep(r.Context(), time.Duration(g.Tokens)*e.step()) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(wholeAnswer(g, strings.Join(words(g.Tokens), " ")))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.streamFrom(w, r, g, 0)
}

// step returns the time of one decoding step with the batch as it is.
func (e *Engine) step() time.Duration {
	others := max(0, e.batch.running()-1)
	return time.Duration(float64(e.TokenTime) * (1 + e.BatchSlowdown*float64(others)))
}

func (e *Engine) streamFrom(w http.ResponseWriter, r *http.Request, g generation, first int) {
	for i, word := range words(g.Tokens) {
		if i < first {
			continue
		}
		if !types.Sleep(r.Context(), e.step()) {
			return
		}
		e.remember(g.call, word)
		writeEvent(w, chunk(g, word+" ", i == g.Tokens-1))
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) remember(call, word string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.streams) > maxStreams {
		clear(e.streams)
	}
	e.streams[call] = append(e.streams[call], word)
}

// resume sends the rest of a stream, from the given token on.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	call := mux.Vars(r)["call"]
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	known := len(e.streams[call])
	e.mu.Unlock()
	if known == 0 || from > known {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.streamFrom(w, r, generation{call: call, Job: Job{Tokens: e.AnswerTokens}}, from)
}

func writeEvent(w http.ResponseWriter, v any) {
	b, _ := json.Marshal(v) // Our own types always encode.
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
	_ = http.NewResponseController(w).Flush()
}
