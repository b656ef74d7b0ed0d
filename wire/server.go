package wire

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

// Server answers the messages of other processes. Set the exported fields and
// register handlers with [Handle] and [Receive] before it serves.
type Server struct {
	// Secret must be presented by whoever connects.
	Secret string
	// Log receives events. The zero value discards them.
	Log event.Log

	handlers map[Kind]handler
}

// handler answers one encoded request.
type handler func(ctx context.Context, body []byte) ([]byte, error)

// maxConcurrent bounds the requests that one connection has under way.
const maxConcurrent = 4096

// Handle registers fn for requests of the given kind.
func Handle[Req, Resp any](s *Server, kind Kind, fn func(ctx context.Context, req Req) (Resp, error)) {
	s.register(kind, func(ctx context.Context, body []byte) ([]byte, error) {
		req, err := types.Decode[Req](body)
		if err != nil {
			return nil, types.NewFault(types.CodeBadRequest, "%v", err)
		}
		resp, err := fn(ctx, req)
		if err != nil {
			return nil, err
		}
		return types.Encode(resp), nil
	})
}

func (s *Server) register(kind Kind, h handler) {
	if s.handlers == nil {
		s.handlers = map[Kind]handler{}
	}
	s.handlers[kind] = h
}

// ServeHTTP accepts a connection and answers on it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(secretHeader)), []byte(s.Secret)) != 1 {
		s.Log.Write(event.PeerRefused, event.Fields{"from": r.RemoteAddr})
		http.Error(w, "wire: wrong secret", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // Accept has answered already.
	}
	s.serve(r.Context(), newStream(conn))
}

func (s *Server) serve(ctx context.Context, st *stream) {
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	g.SetLimit(maxConcurrent)
	_ = st.run(ctx, func(e envelope) {
		if e.ID == 0 {
			s.answer(ctx, e) // In order, and without an answer.
			return
		}
		g.Go(func() error { return st.send(s.answer(ctx, e)) })
	})
	cancel()
	_ = g.Wait()
}

func (s *Server) answer(ctx context.Context, e envelope) envelope {
	reply := envelope{ID: e.ID, Answer: true}
	h, ok := s.handlers[e.Kind]
	if !ok {
		reply.Fault = types.NewFault(types.CodeBadRequest, "no handler for %q", e.Kind)
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

// pending holds the requests of one connection that wait for an answer.
type pending struct {
	mu    sync.Mutex
	next  uint64
	calls map[uint64]chan envelope // nil once the connection is gone
}

// add returns a fresh id and the channel for its answer; ok is false if the
// connection is gone.
func (p *pending) add() (id uint64, reply chan envelope, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls == nil {
		return 0, nil, false
	}
	p.next++
	reply = make(chan envelope, 1)
	p.calls[p.next] = reply
	return p.next, reply, true
}

// take removes the request with the given id and returns its channel, or nil
// if nobody waits for it.
func (p *pending) take(id uint64) chan envelope {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := p.calls[id]
	delete(p.calls, id)
	return reply
}

// fail ends all requests and refuses new ones.
func (p *pending) fail() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, reply := range p.calls {
		close(reply)
	}
	p.calls = nil
}
