package wire

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
)

// Kind names a type of message, such as "ledger.begin".
type Kind string

// envelope is one message within a frame.
type envelope struct {
	// ID pairs an answer with its request. It is 0 if no answer is wanted.
	ID     uint64       `json:"id,omitempty"`
	Kind   Kind         `json:"kind,omitempty"` // empty in an answer
	Body   types.Raw    `json:"body,omitempty"`
	Fault  *types.Fault `json:"fault,omitempty"`
	Answer bool         `json:"answer,omitempty"`
}

const (
	// maxFrameBytes bounds one WebSocket frame.
	maxFrameBytes = 256 << 20
	// batchBytes is the size from which a frame takes no more messages.
	batchBytes = 256 << 10
	// queueLength is how many messages may wait for one connection.
	queueLength = 8192
	// writeTimeout bounds the sending of one frame.
	writeTimeout = 10 * time.Second
	// pingInterval is how long a connection may be silent before it is checked,
	// and how long the check may take. A peer that lost power is found within
	// twice that.
	pingInterval = 600 * time.Millisecond
)

var (
	sentFrames    = metrics.NewCounter("banyanspur_wire_sent_frames_total")
	sentBytes     = metrics.NewCounter("banyanspur_wire_sent_bytes_total")
	receivedBytes = metrics.NewCounter("banyanspur_wire_received_bytes_total")
)

// secretHeader carries the secret that our processes share.
const secretHeader = "Banyanspur-Secret"

// errQueueFull tells that a connection cannot keep up.
var errQueueFull = errors.New("wire: too many messages wait for the connection")

// stream sends and receives envelopes over one WebSocket connection.
type stream struct {
	conn *websocket.Conn
	out  chan envelope
	gone chan struct{} // closed when run returns
	// heard is when a frame or the answer to a ping came last, in nanoseconds
	// since began.
	heard atomic.Int64
	began time.Time
}

func newStream(conn *websocket.Conn) *stream {
	conn.SetReadLimit(maxFrameBytes)
	return &stream{conn: conn, out: make(chan envelope, queueLength), gone: make(chan struct{}), began: time.Now()}
}

// send queues one envelope. It never blocks.
func (s *stream) send(e envelope) error {
	select {
	case s.out <- e:
		return nil
	default:
		return errQueueFull
	}
}

// run reads and writes until the connection fails or ctx ends.
func (s *stream) run(ctx context.Context, receive func(envelope)) error {
	defer close(s.gone)
	defer s.conn.CloseNow()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.writeAll(ctx) })
	g.Go(func() error { return s.readAll(ctx, receive) })
	g.Go(func() error { return s.pingAll(ctx) })
	return g.Wait()
}

func (s *stream) writeAll(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-s.out:
			if err := s.write(ctx, s.batch(e)); err != nil {
				return err
			}
		}
	}
}

// batch encodes e and the envelopes that wait behind it.
func (s *stream) batch(e envelope) []byte {
	frame := types.Encode(e)
	for len(frame) < batchBytes {
		select {
		case next := <-s.out:
			frame = append(frame, types.Encode(next)...)
		default:
			return frame
		}
	}
	return frame
}

func (s *stream) write(ctx context.Context, frame []byte) error {
	sentFrames.Inc()
	sentBytes.Add(len(frame))
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return s.conn.Write(ctx, websocket.MessageBinary, frame)
}

func (s *stream) readAll(ctx context.Context, receive func(envelope)) error {
	for {
		_, frame, err := s.conn.Read(ctx)
		if err != nil {
			return err
		}
		s.hear()
		receivedBytes.Add(len(frame))
		if err := eachEnvelope(frame, receive); err != nil {
			return err
		}
	}
}

// eachEnvelope decodes the envelopes of a frame one after the other.
func eachEnvelope(frame []byte, receive func(envelope)) error {
	for len(frame) > 0 {
		e, rest, err := types.DecodeFirst[envelope](frame)
		if err != nil {
			return err
		}
		receive(e)
		frame = rest
	}
	return nil
}

// pingAll finds out about a connection that was cut silently.
func (s *stream) pingAll(ctx context.Context) error {
	for types.Sleep(ctx, pingInterval-s.silence()) {
		if s.silence() < pingInterval {
			continue // Whatever came shows that the peer is there.
		}
		pingCtx, cancel := context.WithTimeout(ctx, pingInterval)
		err := s.conn.Ping(pingCtx)
		cancel()
		if err != nil {
			return errors.Wrap(err, "wire: ping")
		}
		s.hear()
	}
	return ctx.Err()
}

func (s *stream) hear() { s.heard.Store(int64(time.Since(s.began))) }

// silence returns how long nothing has come.
func (s *stream) silence() time.Duration {
	return time.Since(s.began) - time.Duration(s.heard.Load())
}
