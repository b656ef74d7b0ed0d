package wire

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
)

// Kind names a type of message, such as "ledger.command".
type Kind string

// envelope is one message within a frame.
type envelope struct {
	// ID matches a reply to its request. It is 0 in a message that has no reply.
	ID    uint64           `json:"id,omitempty"`
	Kind  Kind             `json:"kind,omitempty"` // empty in a reply
	Body  types.RawMessage `json:"body,omitempty"`
	Fault *types.Fault     `json:"fault,omitempty"`
	Reply bool             `json:"answer,omitempty"`
	// Low is set in a request with low precedence, see [WithLowPrecedence]. Earlier builds do not send it.
	Low bool `json:"low,omitempty"`

	// tail is the rest of Body. It is not copied when the envelope is written.
	tail []byte
	// written is closed once an envelope with a tail has been written.
	written chan struct{}
}

const (
	// batchBytes is the size from which on no further message is added to a
	// frame.
	batchBytes = 256 << 10
	// queueLength is the maximum length of the send queue of one connection, in
	// messages.
	queueLength = 8192
	// writeTimeout bounds the writing of one frame.
	writeTimeout = 10 * time.Second
)

var (
	sentFrames    = metrics.NewCounter("banyanspur_wire_sent_frames_total")
	sentBytes     = metrics.NewCounter("banyanspur_wire_sent_bytes_total")
	receivedBytes = metrics.NewCounter("banyanspur_wire_received_bytes_total")
	pings         = metrics.NewCounter("banyanspur_wire_pings_total")
)

// secretHeader is the HTTP header with the secret that all processes of the
// fleet share.
const secretHeader = "Banyanspur-Secret"

// addressHeader is the HTTP header with the address at which the process that dials
// accepts connections itself. Earlier builds do not send it.
const addressHeader = "Banyanspur-Address"

// errQueueFull is returned if messages are sent faster than the connection can
// write them.
var errQueueFull = errors.New("wire: the send queue of the connection is full")

// errInvalidFrame marks the end of a connection whose peer has sent what is no message.
var errInvalidFrame = errors.New("wire: the frame is not valid")

// stream sends and receives envelopes over one WebSocket connection.
type stream struct {
	conn  *websocket.Conn
	queue *queue[envelope]
	done  chan struct{} // closed when run returns
	// dialed is set on the side that has opened the connection. Only this side expects
	// replies, and checks whether the peer is alive.
	dialed   bool
	liveness *liveness
	// pingTimeout is how long the peer may take to respond to a ping.
	pingTimeout time.Duration
	// frameTimeout bounds the receipt of one frame.
	frameTimeout time.Duration
	budget       *Budget
	peer         string // IP address of the other side
}

func newStream(conn *websocket.Conn, dialed bool, budget *Budget, peer string) *stream {
	conn.SetReadLimit(maxFrameBytes)
	queue := newQueue[envelope](queueLength, maxQueuedBytes)
	queue.total = &budget.queued
	return &stream{
		conn: conn, queue: queue, done: make(chan struct{}), dialed: dialed, liveness: newLiveness(), budget: budget, peer: peer,
		pingTimeout: minPingTimeout, frameTimeout: frameTimeout,
	}
}

// send queues one envelope. It never blocks. It returns errQueueFull if the queue is full,
// and errMessageTooLarge for a message that the peer would not accept.
func (s *stream) send(e envelope) error {
	if e.size() > MaxMessageBytes {
		refusedMessages.Inc()
		return errMessageTooLarge
	}
	if !s.queue.put(e, e.size()) {
		return errQueueFull
	}
	return nil
}

// run reads and writes until the connection fails or ctx ends. It calls receive
// for each received envelope, in order.
func (s *stream) run(ctx context.Context, receive func(envelope)) error {
	defer close(s.done)
	defer s.queue.close()
	defer s.conn.CloseNow()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.writeLoop(ctx) })
	g.Go(func() error { return s.readLoop(ctx, receive) })
	g.Go(func() error { return s.pingLoop(ctx) })
	return g.Wait()
}

func (s *stream) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.queue.ready:
			if err := s.writeQueued(ctx); err != nil {
				return err
			}
		}
	}
}

// writeQueued writes the queued envelopes.
func (s *stream) writeQueued(ctx context.Context) error {
	for {
		batch := s.queue.take(batchBytes)
		if len(batch) == 0 {
			return nil
		}
		err := s.writeBatch(ctx, batch)
		s.queue.reuse(batch)
		if err != nil {
			return err
		}
	}
}

// writeBatch writes envelopes, as many as possible in one frame.
func (s *stream) writeBatch(ctx context.Context, batch []queued[envelope]) error {
	var frame []byte
	for i := range batch {
		e := &batch[i].message
		frame = e.appendTo(frame)
		e.Body = nil // The frame has a copy, which may take long to be written.
		if len(e.tail) == 0 && len(frame) < batchBytes && i < len(batch)-1 {
			continue
		}
		if err := s.write(ctx, frame, e.tail); err != nil {
			return err // The connection ends, and s.done tells that no tail is used any more.
		}
		frame, e.tail = nil, nil
		if e.written != nil {
			close(e.written)
		}
	}
	return nil
}

// appendTo appends the envelope without its tail, which must follow.
func (e *envelope) appendTo(frame []byte) []byte {
	if len(e.tail) == 0 {
		b := types.Encode(*e)
		if len(frame) == 0 {
			return b
		}
		return append(frame, b...)
	}
	frame = append(frame, types.EncodeHead(func(body types.RawMessage) envelope {
		return envelope{ID: e.ID, Kind: e.Kind, Body: body}
	})...)
	return append(frame, e.Body...)
}

// write writes a frame that consists of two parts.
func (s *stream) write(ctx context.Context, frame, tail []byte) error {
	sentFrames.Inc()
	sentBytes.Add(len(frame) + len(tail))
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if s.dialed {
		s.liveness.sent()
	}
	if len(tail) == 0 {
		return s.conn.Write(ctx, websocket.MessageBinary, frame)
	}
	w, err := s.conn.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	for _, part := range [][]byte{frame, tail} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return w.Close()
}

func (s *stream) readLoop(ctx context.Context, receive func(envelope)) error {
	for {
		f, err := s.readFrame(ctx)
		if err != nil {
			return err
		}
		s.liveness.received()
		receivedBytes.Add(len(f.bytes))
		err = decodeFrame(f.bytes, receive)
		s.budget.frames.release(f)
		if err != nil {
			return err
		}
	}
}

// decodeFrame decodes the envelopes of a frame and passes each to receive.
func decodeFrame(frame []byte, receive func(envelope)) error {
	for len(frame) > 0 {
		e, rest, err := types.DecodeFirst[envelope](frame)
		if err != nil {
			return errors.Mark(err, errInvalidFrame)
		}
		receive(e)
		frame = rest
	}
	return nil
}
