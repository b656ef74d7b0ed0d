package soak_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// responseFlushTime bounds the time from the end of a handler until its response is sent.
	responseFlushTime = 20 * time.Millisecond
	// listenRetry is how often a target tries to listen on an address that is in use. The end
	// of an outgoing connection may have taken the port while the target was down.
	listenRetry = 50 * time.Millisecond
)

// slowdown returns the factor by which a request takes longer at its target.
func slowdown(r *http.Request) time.Duration {
	return time.Duration(max(1, r.Context().Value(serverKey{}).(*targetServer).slowdown.Load()))
}

// setInFlight records that a request runs, or that it has ended.
func (s *targetServer) setInFlight(id string, inFlight bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if inFlight {
		s.inFlight[id] = true
		return
	}
	delete(s.inFlight, id)
}

// targetEnd is the time in which the process of a target closed its connections.
type targetEnd struct{ from, to time.Time }

// end ends the process, which breaks off the requests that run. It reports whether the process
// ran.
func (s *targetServer) end() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return false
	}
	begin := time.Now() // Callers may get the answer to a reset before all connections are closed.
	_ = s.server.Close()
	s.server = nil
	s.ends = append(s.ends, targetEnd{begin, time.Now()})
	for id := range s.inFlight {
		s.brokenOff[id] = true
	}
	return true
}

// closeIdle starts the process again so that it closes connections which are idle for d.
func (s *targetServer) closeIdle(ctx context.Context, d time.Duration) {
	s.end()
	s.mu.Lock()
	s.idleTimeout = d
	s.mu.Unlock()
	s.restart(ctx)
}

// restart starts the process again after [targetServer.end].
func (s *targetServer) restart(ctx context.Context) {
	if l := listenAgain(ctx, s.address); l != nil {
		s.serveOn(l)
	}
}

// listenAgain listens on an address as soon as it is free. It returns nil if ctx ends before.
func listenAgain(ctx context.Context, address string) net.Listener {
	for {
		l, err := net.Listen("tcp4", address)
		if err == nil {
			return l
		}
		if !types.Sleep(ctx, listenRetry) {
			return nil
		}
	}
}

// refuseMisdirected refuses a request for another target.
func (t *targets) refuseMisdirected(w http.ResponseWriter, r *http.Request) {
	t.misdirected.Add(1)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// endedDuring reports whether a target ended while an attempt was under way, which was answered that its target
// sent no valid response: such a target may have got the request without recording it.
func (t *targets) endedDuring(a attempt) bool {
	return a.status == http.StatusBadGateway && slices.ContainsFunc(t.servers, func(s *targetServer) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return slices.ContainsFunc(s.ends, func(end targetEnd) bool { return end.to.After(a.sentAt) && end.from.Before(a.endedAt) })
	})
}

// brokeOff reports whether the last target that ran a request ended while it ran.
func (t *targets) brokeOff(id string) bool {
	runs := t.runsOf(id)
	if len(runs) == 0 {
		return false
	}
	s := runs[len(runs)-1].server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.brokenOff[id]
}
