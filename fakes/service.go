package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Service is a fake of a plain service or a tool service. It counts the side
// effects of each call ID, so that tests can detect duplicates. The zero value is
// ready to use. It is safe for concurrent use.
type Service struct {
	// Delay is the duration of each call.
	Delay time.Duration

	mu      sync.Mutex
	effects map[string]int
	headers []http.Header
}

// RequestOptions are optional instructions to a [Service], given as JSON in the
// body of a request. Any other body has no influence on the response.
type RequestOptions struct {
	// SleepMs is added to the duration of the call, in milliseconds.
	SleepMs int `json:"sleepMs"`
	// Crash aborts the connection after the side effect, without a response.
	Crash bool `json:"crash"`
}

// maxStoredHeaders is the maximum number of requests whose headers are stored
// for tests.
const maxStoredHeaders = 4096

// ServeHTTP counts the side effect of the call and responds with how often this
// call had it.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/effects" {
		writeJSON(w, s.Effects())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var options RequestOptions
	_ = json.Unmarshal(body, &options) // Any other body leaves the options empty.
	n := s.recordCall(r)
	if !types.Sleep(r.Context(), s.Delay+time.Duration(options.SleepMs)*time.Millisecond) {
		return
	}
	if options.Crash {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{"path": r.URL.Path, "times": n})
}

func (s *Service) recordCall(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.effects == nil {
		s.effects = map[string]int{}
	}
	if len(s.headers) < maxStoredHeaders {
		s.headers = append(s.headers, r.Header.Clone())
	}
	callID := r.Header.Get("Banyanspur-Call-Id")
	if callID == "" {
		return 0
	}
	callID = r.URL.Path + " " + callID
	s.effects[callID]++
	return s.effects[callID]
}

// Effects returns how often each call had its side effect, by path and call ID.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	effects := map[string]int{}
	for id, n := range s.effects {
		effects[id] = n
	}
	return effects
}

// Headers returns the headers of the first requests, up to a fixed number.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.headers...)
}
