package relay

import (
	"context"
	"crypto/subtle"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/types"
)

// Path is the path at which a host serves relayed connections on its peer address.
const Path = "/relay"

const (
	secretHeader = "Banyanspur-Relay-Secret"
	// hostHeader is the host that asks for the connection.
	hostHeader = "Banyanspur-Relay-Host"
	// targetParam is the query parameter with the address of the target.
	targetParam = "target"
	// maxRelayed limits the connections that a host relays at the same time, and memoryShare, as a
	// divisor, the part of the memory for callers that these may take: they last as long as the cut
	// that they bypass.
	maxRelayed  = 1000
	memoryShare = 2
	// frameBytes is the size of the buffer from which one frame is sent, and
	// maxFrameBytes the maximum size of a received frame.
	frameBytes    = 16 << 10
	maxFrameBytes = 64 << 10
	// relayBytes is the memory of a relayed connection: a buffer for each direction, and the
	// connection to the target.
	relayBytes = 3 * frameBytes
	// maxHandshakeBytes is the maximum size of the header of the response to a handshake.
	maxHandshakeBytes = 16 << 10
	// statusTargetLost is the close code for a target's connection that broke.
	statusTargetLost websocket.StatusCode = 4000
)

var (
	relayedTotal  = metrics.NewCounter("banyanspur_relay_connections_total")
	relayedFailed = metrics.NewCounter("banyanspur_relay_failed_total")
)

// Server forwards connections of other hosts to targets. It is an [http.Handler]. Set
// the exported fields before it serves.
type Server struct {
	// Secret is the secret that every host must present.
	Secret string
	// IsTarget reports whether a target has the given address. Other addresses are
	// refused.
	IsTarget func(address string) bool
	// Accepting reports whether this host accepts connections to relay. Those that it
	// relays already continue.
	Accepting func() bool
	// Dial opens a connection to the address of a target.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Received bounds the memory of the connections that the server relays. If it is nil, only
	// their number is bounded.
	Received *intake.Budget
	// Log receives events. The zero value discards them.
	Log event.Log

	active atomic.Int64
}

// Active returns the number of connections that the server relays.
func (s *Server) Active() int { return int(s.active.Load()) }

// ServeHTTP connects to the target that the request names and forwards bytes in both
// directions until one side ends. The status is 502 if the target cannot be reached from
// this host.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(secretHeader)), []byte(s.Secret)) != 1 {
		s.Log.Write(event.PeerRefused, event.Fields{"from": r.RemoteAddr})
		http.Error(w, "relay: wrong secret", http.StatusUnauthorized)
		return
	}
	address := r.URL.Query().Get(targetParam)
	if !s.IsTarget(address) {
		http.Error(w, "relay: no target has this address", http.StatusNotFound)
		return
	}
	defer s.active.Add(-1)
	if s.active.Add(1) > s.maxActive() || !s.Accepting() {
		http.Error(w, "relay: this host does not relay now", http.StatusServiceUnavailable)
		return
	}
	if s.Received != nil {
		held := s.Received.Open(intake.PeerAccount(r.RemoteAddr), func() {})
		defer held.Close()
		held.SetPhase(intake.Working)
		if held.Add(relayBytes) != nil {
			http.Error(w, "relay: this host has no memory for more connections", http.StatusServiceUnavailable)
			return
		}
	}
	target, err := s.Dial(r.Context(), address)
	fields := event.Fields{"from": types.HostID(r.Header.Get(hostHeader)), "address": address}
	if err != nil {
		relayedFailed.Inc()
		fields["error"] = err.Error()
		s.Log.Write(event.ConnectionRelayed, fields)
		http.Error(w, "relay: "+err.Error(), http.StatusBadGateway)
		return
	}
	defer target.Close()
	peer, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // Accept has written the HTTP response.
	}
	defer peer.CloseNow()
	intake.Keep(r.Context())
	peer.SetReadLimit(maxFrameBytes)
	relayedTotal.Inc()
	start := time.Now()
	forward(r.Context(), peer, target)
	fields["tookMs"] = time.Since(start).Milliseconds()
	s.Log.Write(event.ConnectionRelayed, fields)
}

// maxActive returns the number of connections that may be relayed at the same time.
func (s *Server) maxActive() int64 {
	if s.Received == nil {
		return maxRelayed
	}
	return min(maxRelayed, s.Received.Limit()/memoryShare/relayBytes)
}

// forward forwards bytes in both directions until either side ends.
func forward(ctx context.Context, peer *websocket.Conn, target net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		toPeer(ctx, peer, target)
		return nil
	})
	g.Go(func() error {
		defer target.Close()
		return toTarget(ctx, target, peer)
	})
	_ = g.Wait() // Either side has ended, which the other one is told.
}

// toPeer forwards what the target sends, and tells the peer how the target's connection
// has ended.
func toPeer(ctx context.Context, peer *websocket.Conn, target net.Conn) {
	b := make([]byte, frameBytes)
	for {
		n, err := target.Read(b)
		if n > 0 {
			if peer.Write(ctx, websocket.MessageBinary, b[:n]) != nil {
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = peer.Close(websocket.StatusNormalClosure, "")
			return
		case err != nil:
			_ = peer.Close(statusTargetLost, "the target's connection broke")
			return
		}
	}
}

// toTarget forwards what the peer sends, as it arrives: a frame that is not complete takes no
// memory. Once the target takes no more, it waits until what that has sent is forwarded.
func toTarget(ctx context.Context, target net.Conn, peer *websocket.Conn) error {
	b := make([]byte, frameBytes)
	w := &errorWriter{Writer: target}
	for {
		_, r, err := peer.Reader(ctx)
		if err != nil {
			return err
		}
		_, err = io.CopyBuffer(w, r, b)
		if w.err != nil {
			<-ctx.Done()
		}
		if err != nil {
			return err
		}
	}
}

// errorWriter is a writer that keeps its error.
type errorWriter struct {
	io.Writer
	err error
}

// Write writes to the writer.
func (w *errorWriter) Write(p []byte) (n int, err error) {
	n, w.err = w.Writer.Write(p)
	return n, w.err
}
