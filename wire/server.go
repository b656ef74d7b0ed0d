package wire

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/panics"
	"github.com/banyanspur/banyanspur/types"
)

// Server handles the messages of other processes. It is an [http.Handler]. Set
// the exported fields and register handlers with [Handle] before it serves.
type Server struct {
	// Secret is the secret that every client must present.
	Secret string
	// Log receives events. The zero value discards them.
	Log event.Log
	// OnPeer, if set, is called with the address of a process that has connected, if
	// it told one. It must not block.
	OnPeer func(address string)
	// Budget bounds the memory of messages. If it is nil, that of a host whose memory is not
	// known does.
	Budget *Budget

	handlers map[Kind]handler
}

// handler handles one encoded request and returns the encoded reply.
type handler func(ctx context.Context, body []byte) ([]byte, error)

// maxConcurrentRequests bounds the requests in flight on one connection.
const maxConcurrentRequests = 4096

// kindCounters count the messages of one kind that this process handles.
type kindCounters struct {
	requests, requestBytes, replyBytes *metrics.Counter
}

func newKindCounters(kind Kind) kindCounters {
	counter := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(name + `{kind="` + string(kind) + `"}`)
	}
	return kindCounters{
		requests: counter("banyanspur_wire_requests_total"), requestBytes: counter("banyanspur_wire_request_bytes_total"), replyBytes: counter("banyanspur_wire_reply_bytes_total"),
	}
}

// Handle registers fn as the handler of messages of the given kind. fn must be
// safe for concurrent use.
//
// A panic of fn is logged, and the sender gets a fault that the message may have been handled. fn
// must therefore unlock what it locks by deferred calls.
func Handle[Req, Resp any](s *Server, kind Kind, fn func(ctx context.Context, req Req) (Resp, error)) {
	s.register(kind, s.recovering(kind, newHandler(kind, fn)))
}

// HandleState is like [Handle] for messages that change state whose other replicas rely on it. A
// panic of fn ends the process, since the state may have been changed in part.
func HandleState[Req, Resp any](s *Server, kind Kind, fn func(ctx context.Context, req Req) (Resp, error)) {
	s.register(kind, newHandler(kind, fn))
}

func newHandler[Req, Resp any](kind Kind, fn func(ctx context.Context, req Req) (Resp, error)) handler {
	counters := newKindCounters(kind)
	return func(ctx context.Context, body []byte) ([]byte, error) {
		counters.requests.Inc()
		counters.requestBytes.Add(len(body))
		req, err := types.Decode[Req](body)
		if err != nil {
			return nil, types.NewFault(types.CodeBadRequest, "%v", err)
		}
		reply, err := fn(ctx, req)
		if err != nil {
			return nil, err
		}
		encoded := types.Encode(reply)
		counters.replyBytes.Add(len(encoded))
		return encoded, nil
	}
}

var handlerPanics = metrics.NewCounter("banyanspur_wire_panics_total")

// errPanicked is returned for a message whose handler has panicked.
var errPanicked = types.NewFault(types.CodeInternal, "the host failed to handle the message").WithRan(types.MayHaveRun)

// recovering returns a handler that recovers the panics of h.
func (s *Server) recovering(kind Kind, h handler) handler {
	return func(ctx context.Context, body []byte) (reply []byte, err error) {
		defer func() {
			if v := recover(); v != nil {
				panics.Report(s.Log, event.MessagePanicked, handlerPanics, event.Fields{"kind": kind, "bytes": len(body)}, v)
				reply, err = nil, errPanicked
			}
		}()
		return h(ctx, body)
	}
}

func (s *Server) register(kind Kind, h handler) {
	if s.handlers == nil {
		s.handlers = map[Kind]handler{}
	}
	s.handlers[kind] = h
}

// ServeHTTP accepts a WebSocket connection and handles its messages until the
// connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(secretHeader)), []byte(s.Secret)) != 1 {
		s.Log.Write(event.PeerRefused, event.Fields{"from": r.RemoteAddr})
		http.Error(w, "wire: wrong secret", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // Accept has written the HTTP response.
	}
	if address := r.Header.Get(addressHeader); address != "" && s.OnPeer != nil {
		s.OnPeer(address)
	}
	s.serve(r.Context(), newStream(conn, false, s.Budget.orDefault(), hostOf(r.RemoteAddr)), r.RemoteAddr)
}

func (s *Server) serve(ctx context.Context, conn *stream, from string) {
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	g.SetLimit(maxConcurrentRequests)
	kept := false
	err := conn.run(ctx, func(e envelope) {
		if !kept { // The connection of what sends no message may be closed for others.
			kept = true
			intake.Keep(ctx)
		}
		if e.ID == 0 {
			s.dispatch(ctx, e) // Messages without a reply are handled in order.
			return
		}
		size := int64(e.size()) + requestOverhead
		charged := conn.budget.admit(size, e.Low)
		if charged == nil {
			fullRequests.Inc()
			s.reply(conn, e.Kind, envelope{ID: e.ID, Reply: true, Fault: errBudgetFull})
			return
		}
		g.Go(func() error {
			reply := s.dispatch(ctx, e)
			e.Body = nil
			charged.release(size) // Before the reply, after which the next request may be as large.
			s.reply(conn, e.Kind, reply)
			return nil
		})
	})
	switch {
	case isOversized(err):
		logRefusedFrame(s.Log, from)
	case errors.Is(err, errInvalidFrame), errors.Is(err, errFrameTimeout):
		abortedFrames.Inc()
		s.Log.Write(event.FrameInvalid, event.Fields{"address": from, "error": err.Error()})
	}
	cancel()
	_ = g.Wait()
}

// hostOf returns the IP address of a network address.
func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// reply sends a reply, or a fault instead of one that cannot be sent.
func (s *Server) reply(conn *stream, kind Kind, e envelope) {
	err := conn.send(e)
	if err == nil {
		return
	}
	if errors.Is(err, errMessageTooLarge) {
		logRefusedMessage(s.Log, kind, len(e.Body))
	}
	_ = conn.send(envelope{ID: e.ID, Reply: true, Fault: types.AsFault(err).WithRan(types.MayHaveRun)}) // Also fails if many are queued.
}

// dispatch calls the handler of a message and returns the reply.
func (s *Server) dispatch(ctx context.Context, e envelope) envelope {
	reply := envelope{ID: e.ID, Reply: true}
	h, ok := s.handlers[e.Kind]
	if !ok {
		reply.Fault = types.NewFault(types.CodeBadRequest, "no handler for messages of kind %q", e.Kind)
		return reply
	}
	body, err := h(ctx, e.Body)
	if err != nil {
		reply.Fault = types.AsFault(err)
		return reply
	}
	reply.Body = body
	return reply
}

// pendingRequests tracks the requests of one connection that await a reply.
type pendingRequests struct {
	mu      sync.Mutex
	lastID  uint64
	replies map[uint64]chan envelope // nil once the connection has ended
}

// add returns a new request ID and the channel for its reply; ok is false if the
// connection has ended.
func (p *pendingRequests) add() (id uint64, reply chan envelope, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.replies == nil {
		return 0, nil, false
	}
	p.lastID++
	reply = make(chan envelope, 1)
	p.replies[p.lastID] = reply
	return p.lastID, reply, true
}

// remove removes the request with the given ID and returns its channel, or nil
// if there is no such request.
func (p *pendingRequests) remove(id uint64) chan envelope {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := p.replies[id]
	delete(p.replies, id)
	return reply
}

// failAll closes the channels of all pending requests and makes add fail from
// then on.
func (p *pendingRequests) failAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, reply := range p.replies {
		close(reply)
	}
	p.replies = nil
}
