package wire

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

// Link is a connection to one host that reconnects automatically. Set the
// exported fields, then call [Link.Run]. [Call], [Notify] and the other methods
// are safe for concurrent use at any time.
type Link struct {
	// Address is the host's IP address and port.
	Address string
	// Secret authenticates this process to the host.
	Secret string
	// Log receives events. The zero value discards them.
	Log event.Log
	// OwnAddress, if not empty, is where this process accepts connections. The host is
	// told it, and then knows that this process is up.
	OwnAddress string
	// DialTimeout is how long it may take until the host's kernel has accepted a
	// connection. The default is 250 ms. The handshake may take 2 s more, or also
	// DialTimeout if that is longer.
	DialTimeout time.Duration
	// OnLost, if set, is called after a connection has been lost.
	OnLost func()
	// Budget is that of the process. See [Server].
	Budget *Budget

	mu        sync.Mutex
	active    *connection   // nil while the link is not connected
	connected chan struct{} // closed when a connection is established; nil if no WaitConnected is blocked
	// abort ends the present dial, or the pause before the next one. It is nil while the
	// link is connected and during a dial that [Link.Redial] has caused.
	abort    context.CancelFunc
	redialed bool // Redial has ended the last dial or pause

	pingTimeout time.Duration // of the next connection; only used by Run
}

// connection is one established connection of a link.
type connection struct {
	stream  *stream
	pending pendingRequests
}

const (
	// defaultDialTimeout is the time of two round trips between regions. It is this
	// short because a lost connection request, as to a host without power, is
	// retransmitted only after a second; a new dial is made sooner.
	defaultDialTimeout = 250 * time.Millisecond
	// handshakeTimeout is longer, since nothing is lost by then: the process of the host
	// may have no processor time, as when many start at once. If links gave up sooner than
	// it replies, each would give it one more handshake to do, and none would connect.
	handshakeTimeout = 2 * time.Second

	minRedialDelay = 25 * time.Millisecond
	maxRedialDelay = 100 * time.Millisecond
)

var (
	unmatchedReplies  = metrics.NewCounter("banyanspur_wire_stray_answers_total")
	withdrawnRequests = metrics.NewCounter("banyanspur_wire_withdrawn_requests_total")
)

// errNotConnected is returned if there was no connection to send a request on,
// so that the request never left this process.
var errNotConnected = types.NewFault(types.CodeUnavailable, "no connection to the host").WithRetryAfter(maxRedialDelay)

// errConnectionLost is returned if the connection ended before the reply was
// received.
var errConnectionLost = types.NewFault(types.CodeUnavailable, "the connection to the host was lost").
	WithRan(types.MayHaveRun).WithRetryAfter(maxRedialDelay)

// Run keeps the link connected until ctx ends. It redials with exponential
// backoff and always returns nil.
func (l *Link) Run(ctx context.Context) error {
	delay := minRedialDelay
	logged := false
	dialer := l.newDialer()
	l.pingTimeout = minPingTimeout
	for ctx.Err() == nil {
		start := time.Now()
		attempt, cancel := l.beginAttempt(ctx)
		connected, err := l.connect(ctx, attempt, dialer)
		l.pingTimeout = nextPingTimeout(l.pingTimeout, err)
		if (connected || !logged) && ctx.Err() == nil {
			l.Log.Write(event.LinkLost, event.Fields{"address": l.Address, "connected": connected, "error": err.Error()})
		}
		if connected && l.OnLost != nil && ctx.Err() == nil {
			l.OnLost()
		}
		logged = true // Repeated dial failures are not logged.
		if isOversized(err) {
			logRefusedFrame(l.Log, l.Address)
			types.Sleep(ctx, faultyRedialDelay)
		}
		if time.Since(start) > maxRedialDelay {
			delay = minRedialDelay
		}
		types.Sleep(attempt, delay)
		cancel()
		delay = min(2*delay, maxRedialDelay)
	}
	return nil
}

// beginAttempt returns the context of one dial and the pause after it, which
// [Link.Redial] may end. It may not end two in a row: each of two hosts would end the
// dial of the other one again and again.
func (l *Link) beginAttempt(ctx context.Context) (attempt context.Context, cancel context.CancelFunc) {
	attempt, cancel = context.WithCancel(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abort = cancel
	if l.redialed {
		l.abort, l.redialed = nil, false
	}
	return attempt, cancel
}

// Redial makes a link that is not connected dial now: its host is known to be up. A dial
// that is under way may have been sent before that, and would only time out.
func (l *Link) Redial() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.abort != nil {
		l.abort()
		l.abort, l.redialed = nil, true
	}
}

// newDialer returns the client that dials.
func (l *Link) newDialer() *http.Client {
	dialer := net.Dialer{Timeout: l.dialTimeout()}
	// A connection on which the handshake has failed is not used again.
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: -1, MaxResponseHeaderBytes: maxHandshakeBytes}}
}

func (l *Link) dialTimeout() time.Duration {
	if l.DialTimeout > 0 {
		return l.DialTimeout
	}
	return defaultDialTimeout
}

// connect dials and serves one connection until it ends. It reports whether the
// dial succeeded, and always returns an error. attempt is the context of the dial.
func (l *Link) connect(ctx, attempt context.Context, dialer *http.Client) (connected bool, err error) {
	timeout := l.dialTimeout()
	dialCtx, cancel := context.WithTimeout(attempt, timeout+max(timeout, handshakeTimeout))
	defer cancel()
	header := http.Header{secretHeader: {l.Secret}}
	if l.OwnAddress != "" {
		header.Set(addressHeader, l.OwnAddress)
	}
	conn, _, err := websocket.Dial(dialCtx, "ws://"+l.Address+"/peer", &websocket.DialOptions{HTTPClient: dialer, HTTPHeader: header})
	if err != nil {
		return false, errors.Wrap(err, "wire: dial")
	}
	c := &connection{stream: newStream(conn, true, l.Budget.orDefault(), hostOf(l.Address)), pending: pendingRequests{replies: map[uint64]chan envelope{}}}
	c.stream.pingTimeout = l.pingTimeout
	l.setActive(c)
	defer c.pending.failAll()
	defer l.setActive(nil)
	return true, c.stream.run(ctx, c.receive)
}

func (l *Link) setActive(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active = c
	if c == nil {
		return
	}
	l.abort = nil
	if l.connected != nil {
		close(l.connected)
		l.connected = nil
	}
}

// WaitConnected waits until the link is connected. It returns false if ctx ends
// first.
func (l *Link) WaitConnected(ctx context.Context) bool {
	for {
		l.mu.Lock()
		if l.active != nil {
			l.mu.Unlock()
			return true
		}
		if l.connected == nil {
			l.connected = make(chan struct{})
		}
		connected := l.connected
		l.mu.Unlock()
		select {
		case <-connected:
		case <-ctx.Done():
			return false
		}
	}
}

// WaitAny waits until one of the links is connected and returns it, or nil if ctx ends
// first.
func WaitAny(ctx context.Context, links []*Link) *Link {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connected := make(chan *Link, len(links))
	var g errgroup.Group
	for _, l := range links {
		g.Go(func() error {
			if l.WaitConnected(ctx) {
				connected <- l
				cancel()
			}
			return nil
		})
	}
	_ = g.Wait()
	close(connected)
	return <-connected
}

func (l *Link) activeConnection() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active
}

// IsConnected reports whether the link is connected. A connection that broke
// without being closed counts as connected until a ping fails.
func (l *Link) IsConnected() bool { return l.activeConnection() != nil }

// Check makes the link ping its host, if it is connected, and reconnect if the host does
// not respond. It does not block.
func (l *Link) Check() {
	if c := l.activeConnection(); c != nil {
		c.stream.liveness.check()
	}
}

func (c *connection) receive(e envelope) {
	reply := c.pending.remove(e.ID)
	if reply == nil {
		unmatchedReplies.Inc()
		return
	}
	reply <- e
}

// Call sends a request over the link and waits for the reply until ctx ends. It
// fails at once if the link is not connected. An error is a [types.Fault] whose
// Ran reports whether the host may have processed the request, unless the reply
// cannot be decoded.
func Call[Req, Resp any](ctx context.Context, l *Link, kind Kind, req Req) (Resp, error) {
	return call[Resp](ctx, l, envelope{Kind: kind, Body: types.Encode(req)}, func(*connection, envelope) {})
}

// CallEncoded is [Call] for a request whose encoding is head followed by tail, such as one that
// [types.EncodeHead] returns and what it lacks. tail may be shared by requests to several hosts,
// and must not change until all calls have returned.
//
// If ctx ends before the request has been written, it is not sent. If it is being written, CallEncoded
// returns once tail is no longer used, at the latest when the connection ends.
func CallEncoded[Resp any](ctx context.Context, l *Link, kind Kind, head, tail []byte) (Resp, error) {
	e := envelope{Kind: kind, Body: head, tail: tail}
	if len(tail) > 0 {
		e.written = make(chan struct{})
	}
	return call[Resp](ctx, l, e, (*connection).withdraw)
}

// withdraw removes an envelope from the send queue, or waits until its tail has been written.
func (c *connection) withdraw(e envelope) {
	if c.stream.queue.drop(func(o envelope) bool { return o.ID == e.ID }) {
		withdrawnRequests.Inc()
		return
	}
	if e.written == nil {
		return
	}
	select {
	case <-e.written:
	case <-c.stream.done:
	}
}

// call sends a request and waits for the reply until ctx ends, after which it calls canceled.
func call[Resp any](ctx context.Context, l *Link, e envelope, canceled func(*connection, envelope)) (Resp, error) {
	var zero Resp
	c := l.activeConnection()
	if c == nil {
		return zero, errNotConnected
	}
	id, reply, ok := c.pending.add()
	if !ok {
		return zero, errNotConnected
	}
	e.ID, e.Low = id, hasLowPrecedence(ctx)
	err := c.stream.send(e)
	if errors.Is(err, errMessageTooLarge) {
		c.pending.remove(id)
		return zero, errMessageTooLarge
	}
	if err != nil {
		c.pending.remove(id)
		return zero, types.NewFault(types.CodeOverloaded, "%v", err).WithRetryAfter(maxRedialDelay)
	}
	select {
	case e, ok := <-reply:
		if !ok {
			return zero, errConnectionLost
		}
		return decodeReply[Resp](e)
	case <-ctx.Done():
		c.pending.remove(id)
		canceled(c, e)
		return zero, types.NewFault(types.CodeDeadlineExceeded, "the host did not reply in time").WithRan(types.MayHaveRun)
	}
}

func decodeReply[Resp any](e envelope) (Resp, error) {
	if e.Fault != nil {
		var zero Resp
		return zero, e.Fault
	}
	return types.Decode[Resp](e.Body)
}

// Notify sends a message that has no reply. The message is lost without an error
// if the link is not connected or the connection fails, or if it is too large, which is
// logged.
func Notify[Req any](l *Link, kind Kind, req Req) {
	c := l.activeConnection()
	if c == nil {
		return
	}
	body := types.Encode(req)
	err := c.stream.send(envelope{Kind: kind, Body: body}) // Dropped if the queue is full.
	if errors.Is(err, errMessageTooLarge) {
		logRefusedMessage(l.Log, kind, len(body))
	}
}
