package wire

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// MaxMessageBytes is the maximum size of an encoded message. The largest is a snapshot of
	// the configuration group: [github.com/banyanspur/banyanspur/fleet] accepts plans of up to
	// 16 MiB in their two forms, and the rest of its state is below 4 MiB. The reply to a chain
	// has 1 MiB and a turn, whose output has at most 8 MiB; a list of the turns of a shard 70
	// bytes for each.
	MaxMessageBytes = 24 << 20
	// maxFrameBytes bounds the size of a received WebSocket frame, as senders build them: a
	// batch, the last message of it, and the names around each. Earlier builds build no larger
	// ones, unless they hold a larger plan.
	maxFrameBytes = MaxMessageBytes + batchBytes + 64<<10
	// frameTimeout bounds the time from the first byte of a received frame to the last. The
	// sender ends the connection after writeTimeout.
	frameTimeout = writeTimeout + 5*time.Second

	// freePartBytes is the size of the first part of a frame, which is read without a part of
	// the budget, and chunkBytes the maximum size of the others.
	freePartBytes = 4 << 10
	chunkBytes    = 256 << 10
	// frameWait is for how long a frame waits for memory. A host that does not read for longer
	// does not respond to pings either, and would be taken for dead.
	frameWait = minPingTimeout / 2
	// maxQueuedBytes bounds the memory of the send queue of one connection.
	maxQueuedBytes = 32 << 20
	// faultyRedialDelay is the pause after a host has sent a frame beyond maxFrameBytes. It
	// would send the next one, too.
	faultyRedialDelay = 5 * time.Second
	// maxHandshakeBytes is the maximum size of the header of the response to a handshake.
	maxHandshakeBytes = 16 << 10
)

var (
	refusedFrames   = metrics.NewCounter("banyanspur_wire_refused_frames_total")
	abortedFrames   = metrics.NewCounter("banyanspur_wire_aborted_frames_total")
	fullRequests    = metrics.NewCounter("banyanspur_wire_full_requests_total")
	refusedMessages = metrics.NewCounter("banyanspur_wire_refused_messages_total")
)

// errMessageTooLarge is returned for a message that the receiver would not accept.
var errMessageTooLarge = types.NewFault(types.CodePayloadTooLarge, "the message is larger than %d bytes", MaxMessageBytes)

// errBudgetFull is the reply to a request while others that take the whole budget are handled.
var errBudgetFull = types.NewFault(types.CodeOverloaded, "the host handles too many large requests").WithRetryAfter(maxRedialDelay)

func logRefusedFrame(log event.Log, address string) {
	refusedFrames.Inc()
	log.Write(event.FrameRefused, event.Fields{"address": address, "maxBytes": maxFrameBytes})
}

func logRefusedMessage(log event.Log, kind Kind, size int) {
	log.Write(event.MessageRefused, event.Fields{"kind": kind, "bytes": size, "maxBytes": MaxMessageBytes})
}

// size returns the approximate memory of an envelope.
func (e *envelope) size() int {
	n := len(e.Body) + len(e.tail) + len(e.Kind)
	if e.Fault != nil {
		n += len(e.Fault.Message)
	}
	return n
}

// isOversized reports whether a connection ended because its peer has sent a frame beyond
// maxFrameBytes, or the largest of those that are too many together.
func isOversized(err error) bool {
	return errors.Is(err, websocket.ErrMessageTooBig) || errors.Is(err, errFrameBudget)
}
