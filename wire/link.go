package wire

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

// Link is a connection to one host. Set the exported fields, then call
// [Link.Run]; [Call] and [Notify] are safe for concurrent use at any time.
type Link struct {
	// Address is the host's IP number and port.
	Address string
	// Secret is presented to the host.
	Secret string
	// Log receives events. The zero value discards them.
	Log event.Log

	mu      sync.Mutex
	current *connection   // nil while there is none
	changed chan struct{} // closed when a connection is made; nil if nobody waits
}

// connection is one connection of a link.
type connection struct {
	stream  *stream
	pending pending
}

const (
	// dialTimeout is two round trips between regions. A request to connect that
	// met a host without power is thus soon followed by another: what is lost of
	// it is sent again only after a second.
	dialTimeout = 250 * time.Millisecond
	redialFirst = 25 * time.Millisecond
	redialLast  = 100 * time.Millisecond
)

var strayAnswers = metrics.NewCounter("banyanspur_wire_stray_answers_total")

// errLinkDown tells that a request never left this process.
var errLinkDown = types.NewFault(types.CodeUnavailable, "no connection to the host").After(redialLast)

// errLinkLost tells that the connection ended before the answer came.
var errLinkLost = types.NewFault(types.CodeUnavailable, "the connection to the host was lost").
	WithRan(types.Unknown).After(redialLast)

// Run keeps the link connected until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	wait := redialFirst
	lost := false
	for ctx.Err() == nil {
		start := time.Now()
		connected, err := l.connect(ctx)
		if (connected || !lost) && ctx.Err() == nil {
			l.Log.Write(event.LinkLost, event.Fields{"address": l.Address, "connected": connected, "error": err.Error()})
		}
		lost = true // What follows until it is connected again is no news.
		if time.Since(start) > redialLast {
			wait = redialFirst
		}
		types.Sleep(ctx, wait)
		wait = min(2*wait, redialLast)
	}
	return nil
}

// connect dials and serves one connection until it ends. It reports whether
// there was one, and always returns an error.
func (l *Link) connect(ctx context.Context) (connected bool, err error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := http.Header{secretHeader: {l.Secret}}
	conn, _, err := websocket.Dial(dialCtx, "ws://"+l.Address+"/peer", &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		return false, errors.Wrap(err, "wire: dial")
	}
	c := &connection{stream: newStream(conn), pending: pending{calls: map[uint64]chan envelope{}}}
	l.set(c)
	defer c.pending.fail()
	defer l.set(nil)
	return true, c.stream.run(ctx, c.receive)
}

func (l *Link) set(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = c
	if c != nil && l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// Await waits until the link is connected and reports whether it is.
func (l *Link) Await(ctx context.Context) bool {
	for {
		l.mu.Lock()
		if l.current != nil {
			l.mu.Unlock()
			return true
		}
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (l *Link) get() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Up reports whether the link is connected as far as is known.
func (l *Link) Up() bool { return l.get() != nil }

func (c *connection) receive(e envelope) {
	reply := c.pending.take(e.ID)
	if reply == nil {
		strayAnswers.Inc()
		return
	}
	reply <- e
}

// Call sends a request over the link and returns the answer to it. An error is
// a [types.Fault], whose Ran tells whether the host may have acted.
func Call[Req, Resp any](ctx context.Context, l *Link, kind Kind, req Req) (Resp, error) {
	var zero Resp
	c := l.get()
	if c == nil {
		return zero, errLinkDown
	}
	id, reply, ok := c.pending.add()
	if !ok {
		return zero, errLinkDown
	}
	if err := c.stream.send(envelope{ID: id, Kind: kind, Body: types.Encode(req)}); err != nil {
		c.pending.take(id)
		return zero, types.NewFault(types.CodeOverloaded, "%v", err).After(redialLast)
	}
	select {
	case e, ok := <-reply:
		if !ok {
			return zero, errLinkLost
		}
		return decodeAnswer[Resp](e)
	case <-ctx.Done():
		c.pending.take(id)
		return zero, types.NewFault(types.CodeDeadline, "the host did not answer in time").WithRan(types.Unknown)
	}
}

func decodeAnswer[Resp any](e envelope) (Resp, error) {
	if e.Fault != nil {
		var zero Resp
		return zero, e.Fault
	}
	return types.Decode[Resp](e.Body)
}

// Notify sends a message that has no answer. It may be lost.
func Notify[Req any](l *Link, kind Kind, req Req) {
	if c := l.get(); c != nil {
		_ = c.stream.send(envelope{Kind: kind, Body: types.Encode(req)}) // A full queue drops it.
	}
}
