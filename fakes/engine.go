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

// Engine is a fake model engine with continuous batching and a prompt cache. It
// simulates the duration of calls. The exported fields must be set before its
// first use; the zero value answers without delay. It is safe for concurrent use.
type Engine struct {
	// Slots is the maximum batch size, in calls. The default is 16.
	Slots int
	// PrefillRate is the number of prompt tokens computed per second. 0 means
	// that prefill takes no time.
	PrefillRate float64
	// TokenTime is the duration of one decoding step of a single call.
	TokenTime time.Duration
	// BatchSlowdown is the fraction of TokenTime by which each further call in
	// the batch lengthens a step.
	BatchSlowdown float64
	// CacheTokens is the capacity of the prompt cache. The default is 1,000,000.
	CacheTokens int
	// LoadLag is the age of the load in the engine's load reports.
	LoadLag time.Duration
	// EventLag is the delay after which cache events are published. EventLoss
	// is the probability with which an event is lost.
	EventLag  time.Duration
	EventLoss float64
	// ChecksFencing is set if orders with a stale fencing token are rejected.
	ChecksFencing bool
	// AnswerTokens is the length of an answer, unless the caller sets a lower
	// limit. The default is 16.
	AnswerTokens int
	// Seed is the seed of the random number generator.
	Seed uint64

	once         sync.Once
	mu           sync.Mutex // guards the fields below
	rand         *rand.Rand
	batch        batch
	cache        promptCache
	loadSamples  []loadSample
	fencingToken uint64
	orders       map[string]string
	streams      map[string][]string // tokens of recent streams, by call ID
	// computed is the number of prompt tokens computed so far, recomputed the
	// number of those that had been computed under the same key before.
	computed, recomputed int
}

const (
	defaultSlots        = 16
	defaultCacheTokens  = 1_000_000
	defaultAnswerTokens = 16
	defaultMaxTokens    = 1024
	maxStoredStreams    = 1024
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
		e.cache = newPromptCache(e.CacheTokens)
		e.orders = map[string]string{}
		e.streams = map[string][]string{}
	})
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	e.init()
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", e.handleCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{call}", e.handleResume).Methods(http.MethodGet)
	router.HandleFunc("/v1/holds", e.handleListPrefixes).Methods(http.MethodGet)
	router.HandleFunc("/v1/holds/{name}", e.handleEvict).Methods(http.MethodDelete)
	router.HandleFunc("/v1/holds/{name}", e.handleExport).Methods(http.MethodGet)
	router.HandleFunc("/v1/holds/{name}", e.handleImport).Methods(http.MethodPut)
	router.HandleFunc("/v1/cache/events", e.handleCacheEvents).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", e.handleOrder).Methods(http.MethodPost)
	router.HandleFunc("/load", e.handleLoad).Methods(http.MethodGet)
	return router
}

// chatRequest contains the fields of a chat-completions request that the engine
// evaluates.
type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Priority  int               `json:"priority"`
}

// completionCall is one chat-completions call.
type completionCall struct {
	chatRequest
	Job
	callID string
}

// Job contains the properties of a call that determine its duration.
type Job struct {
	// CacheKey is the key under which the prefix is cached. An empty key disables
	// caching.
	CacheKey string
	// Lengths of the prompt and of the answer, in tokens.
	PromptTokens, AnswerTokens int
	// Priority orders waiting calls, highest first.
	Priority int
}

// Generate blocks for the simulated duration of a call, including its time in
// the queue. It reports false if ctx ended first.
func (e *Engine) Generate(ctx context.Context, j Job) bool {
	e.init()
	if !e.admit(ctx, j) {
		return false
	}
	defer e.batch.release()
	return types.Sleep(ctx, time.Duration(j.AnswerTokens)*e.stepTime())
}

// admit waits for a slot and simulates prefill. If it reports true, the caller
// must release the slot.
func (e *Engine) admit(ctx context.Context, j Job) bool {
	if !e.batch.acquire(ctx, j.Priority) {
		return false
	}
	e.recordLoad()
	if !types.Sleep(ctx, e.prefill(j)) {
		e.batch.release()
		return false
	}
	return true
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var c completionCall
	if err := json.NewDecoder(r.Body).Decode(&c.chatRequest); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.callID, c.CacheKey = r.Header.Get("Banyanspur-Call-Id"), r.Header.Get("Banyanspur-Hold")
	c.Job.Priority = c.chatRequest.Priority
	for _, m := range c.Messages {
		c.PromptTokens += estimateTokens(m)
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	c.AnswerTokens = min(e.AnswerTokens, c.MaxTokens)
	if !e.admit(r.Context(), c.Job) {
		return
	}
	defer e.batch.release()
	e.writeAnswer(w, r, c)
}

// prefill caches the prefix and returns the time it takes to compute the part of
// the prompt that was not cached.
func (e *Engine) prefill(j Job) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached, longest := e.cache.update(j.CacheKey, j.PromptTokens+j.AnswerTokens)
	missing := max(0, j.PromptTokens-cached)
	e.computed += missing
	e.recomputed += max(0, min(longest, j.PromptTokens)-cached)
	if e.PrefillRate == 0 {
		return 0
	}
	return time.Duration(float64(missing) / e.PrefillRate * float64(time.Second))
}

// PrefillTokens returns the number of prompt tokens computed so far, and of those
// that had been computed under the same key before.
func (e *Engine) PrefillTokens() (computed, recomputed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.computed, e.recomputed
}

func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, c completionCall) {
	e.writeLoadHeaders(w)
	if !c.Stream {
		if !types.Sleep(r.Context(), time.Duration(c.AnswerTokens)*e.stepTime()) {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(newCompletion(c, strings.Join(generateWords(c.AnswerTokens), " ")))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.streamTokens(w, r, c, 0)
}

// stepTime returns the duration of one decoding step at the current batch size.
func (e *Engine) stepTime() time.Duration {
	others := max(0, e.batch.running()-1)
	return time.Duration(float64(e.TokenTime) * (1 + e.BatchSlowdown*float64(others)))
}

func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, c completionCall, first int) {
	for i, word := range generateWords(c.AnswerTokens) {
		if i < first {
			continue
		}
		if !types.Sleep(r.Context(), e.stepTime()) {
			return
		}
		e.storeToken(c.callID, word)
		writeEvent(w, newChunk(c, word+" ", i == c.AnswerTokens-1))
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) storeToken(callID, word string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.streams) > maxStoredStreams {
		clear(e.streams)
	}
	e.streams[callID] = append(e.streams[callID], word)
}

// handleResume sends the rest of a stream, starting with the token at the index
// given by the query parameter "from".
func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	callID := mux.Vars(r)["call"]
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	stored := len(e.streams[callID])
	e.mu.Unlock()
	if stored == 0 || from > stored {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.streamTokens(w, r, completionCall{callID: callID, Job: Job{AnswerTokens: e.AnswerTokens}}, from)
}

func writeEvent(w http.ResponseWriter, v any) {
	b, _ := json.Marshal(v) // The types passed here never fail to encode.
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
	_ = http.NewResponseController(w).Flush()
}
