package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/types"
)

// eventStream writes server-sent events to the caller. The final [DONE] event is
// held back until the outcome of the call has been stored.
type eventStream struct {
	w       http.ResponseWriter
	started bool
	closed  bool // the caller has disconnected or may no longer be served
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// writeEvent writes and flushes one event, and the response header before the
// first one.
func (s *eventStream) writeEvent(event []byte) {
	if s.closed {
		return
	}
	s.writeHeader()
	if _, err := s.w.Write(event); err != nil {
		s.closed = true
		return
	}
	_ = http.NewResponseController(s.w).Flush() // If the caller has disconnected, the next write fails.
}

func (s *eventStream) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// writeDone writes the final [DONE] event.
func (s *eventStream) writeDone() { s.writeEvent([]byte("data: [DONE]\n\n")) }

// writeError writes an error event in place of the final [DONE] event.
func (s *eventStream) writeError(f *types.Fault) {
	b, _ := json.Marshal(errorBody{Error: newErrorDetail(f)}) // Marshaling a fault never fails.
	s.writeEvent([]byte("event: error\ndata: " + string(b) + "\n\n"))
}

// receiveStream reads server-sent events up to the final [DONE] event, appends
// them to sent.body and forwards them to the caller. It sets sent.err if the
// stream ends without [DONE] or exceeds maxResponseBytes.
func (e *Entry) receiveStream(body io.Reader, c *call, stream *eventStream, sent *sendResult) {
	reader := bufio.NewReaderSize(io.LimitReader(body, maxResponseBytes+1), responseBufferLen) // Also bounds an event without end.
	var event []byte
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			sent.err = errors.Wrap(err, "entry: event stream ended without [DONE]")
			return
		}
		event = append(event, line...)
		if len(bytes.TrimSpace(line)) > 0 {
			continue
		}
		if isDoneEvent(event) {
			return
		}
		if len(sent.body)+len(event) > maxResponseBytes {
			sent.err = errors.Newf("entry: event stream exceeds %d bytes", maxResponseBytes)
			return
		}
		sent.body = append(sent.body, event...)
		e.forwardEvent(event, c, stream, sent)
		event = nil
	}
}

// forwardEvent forwards an event to the caller. If the caller's key has been
// revoked meanwhile, it ends the caller's stream with an error event instead.
func (e *Entry) forwardEvent(event []byte, c *call, stream *eventStream, sent *sendResult) {
	if err := e.recheckCaller(c.caller); types.IsCode(err, types.CodeUnauthorized) && !stream.closed {
		stream.writeError(errInvalidKey.WithRan(types.DidRun))
		stream.closed = true
	}
	stream.writeEvent(event)
	sent.forwarded = sent.forwarded || stream.started
}

func isDoneEvent(event []byte) bool {
	data, ok := bytes.CutPrefix(bytes.TrimSpace(event), dataPrefix)
	return ok && bytes.Equal(bytes.TrimSpace(data), doneMarker)
}

// usageBody is the part of an engine's response that contains token counts.
type usageBody struct {
	Usage *struct {
		CompletionTokens types.Tokens `json:"completion_tokens"`
	} `json:"usage"`
}

// generatedTokens returns the number of tokens that the engine reports to have
// generated. A response without that number counts as the whole reservation.
func generatedTokens(c *call, body []byte) types.Tokens {
	if !c.stream {
		var u usageBody
		if json.Unmarshal(body, &u) == nil && u.Usage != nil {
			return u.Usage.CompletionTokens
		}
		return c.reserve
	}
	for _, event := range lastEventsReversed(bytes.Split(body, []byte("\n\n"))) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(event), dataPrefix)
		var u usageBody
		if ok && json.Unmarshal(data, &u) == nil && u.Usage != nil {
			return u.Usage.CompletionTokens
		}
	}
	return c.reserve
}

// maxUsageEvents is the number of events at the end of a stream that are searched
// for token counts.
const maxUsageEvents = 4

// lastEventsReversed returns up to maxUsageEvents events, starting with the last.
func lastEventsReversed(events [][]byte) [][]byte {
	var last [][]byte
	for i := len(events) - 1; i >= 0 && len(last) < maxUsageEvents; i-- {
		last = append(last, events[i])
	}
	return last
}
