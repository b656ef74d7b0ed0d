package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Service stands in for a plain service or a tool service. It counts every
// effect by the call's id, so that a doubled one shows. The zero value is
// ready; it is safe for concurrent use.
type Service struct {
	// Delay is how long each call takes.
	Delay time.Duration

	mu      sync.Mutex
	effects map[string]int
	headers []http.Header
}

// Behaviour is what a request's body may ask of the stand-in. Any other body is
// answered as it is.
type Behaviour struct {
	// SleepMs lengthens the call.
	SleepMs int `json:"sleepMs"`
	// Crash breaks the connection after the effect.
	Crash bool `json:"crash"`
}

// maxHeaders bounds the headers that are kept for tests.
const maxHeaders = 4096

// ServeHTTP counts the effect and answers with how often it was made.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/effects" {
		writeBody(w, s.Effects())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var behaviour Behaviour
	_ = json.Unmarshal(body, &behaviour) // A body that names none asks for nothing.
	n := s.count(r)
	if !types.Sleep(r.Context(), s.Delay+time.Duration(behaviour.SleepMs)*time.Millisecond) {
		return
	}
	if behaviour.Crash {
		panic(http.ErrAbortHandler)
	}
	writeBody(w, map[string]any{"path": r.URL.Path, "times": n})
}

func (s *Service) count(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.effects == nil {
		s.effects = map[string]int{}
	}
	if len(s.headers) < maxHeaders {
		s.headers = append(s.headers, r.Header.Clone())
	}
	id := r.Header.Get("Banyanspur-Call-Id")
	if id == "" {
		return 0
	}
	id = r.URL.Path + " " + id
	s.effects[id]++
	return s.effects[id]
}

// Effects returns how often each call had its effect, by path and call id.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	effects := map[string]int{}
	for id, n := range s.effects {
		effects[id] = n
	}
	return effects
}

// Headers returns the headers of the first requests that came.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.headers...)
}
