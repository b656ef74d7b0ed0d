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

// eventStream passes a stream of server-sent events on to the caller. The last event
// is held back until the outcome is stored.
type eventStream struct {
	w       http.ResponseWriter
	started bool
	closed  bool // the caller has left or may no longer be served
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// writeEvent sends one event at once.
func (s *eventStream) writeEvent(event []byte) {
	if s.closed {
		return
	}
	s.writeHeader()
	if _, err := s.w.Write(event); err != nil {
		s.closed = true
		return
	}
	_ = http.NewResponseController(s.w).Flush() // A caller that is gone shows at the next write.
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

// writeDone sends the last event: the outcome is stored.
func (s *eventStream) writeDone() { s.writeEvent([]byte("data: [DONE]\n\n")) }

// writeError ends the stream with an error event in place of the last one.
func (s *eventStream) writeError(f *types.Fault) {
	b, _ := json.Marshal(errorBody{Error: newErrorDetail(f)}) // A fault always encodes.
	s.writeEvent([]byte("event: error\ndata: " + string(b) + "\n\n"))
}

// receiveStream reads server-sent events up to the last one and forwards them.
// A stream that ends without it was cut short.
func (e *Entry) receiveStream(body io.Reader, c *call, stream *eventStream, sent *sendResult) {
	reader := bufio.NewReaderSize(body, responseBufferLen)
	var event []byte
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			sent.err = errors.Wrap(err, "entry: the stream was cut short")
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
			sent.err = errors.Newf("entry: the stream is larger than %d bytes", maxResponseBytes)
			return
		}
		sent.body = append(sent.body, event...)
		e.forwardEvent(event, c, stream, sent)
		event = nil
	}
}

// forwardEvent forwards an event unless the caller's key was withdrawn meanwhile.
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

// usageBody is the part of an engine's answer that counts tokens.
type usageBody struct {
	Usage *struct {
		CompletionTokens types.Tokens `json:"completion_tokens"`
	} `json:"usage"`
}

// generatedTokens returns the number of tokens that the engine generated. An answer
// that does not tell counts as the whole reservation.
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

// maxUsageEvents is how many events from the end may hold the usage.
const maxUsageEvents = 4

func lastEventsReversed(events [][]byte) [][]byte {
	var last [][]byte
	for i := len(events) - 1; i >= 0 && len(last) < maxUsageEvents; i-- {
		last = append(last, events[i])
	}
	return last
}
