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

// sink passes a stream of server-sent events on to the caller. The last event
// is held back until the outcome is stored.
type sink struct {
	w       http.ResponseWriter
	started bool
	gone    bool // the caller has left or may no longer be served
}

var (
	dataPrefix = []byte("data:")
	doneEvent  = []byte("[DONE]")
)

// forward sends one event at once.
func (s *sink) forward(event []byte) {
	if s.gone {
		return
	}
	s.start()
	if _, err := s.w.Write(event); err != nil {
		s.gone = true
		return
	}
	_ = http.NewResponseController(s.w).Flush() // A caller that is gone shows at the next write.
}

func (s *sink) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// done sends the last event: the outcome is stored.
func (s *sink) done() { s.forward([]byte("data: [DONE]\n\n")) }

// fail ends the stream with an error event in place of the last one.
func (s *sink) fail(f *types.Fault) {
	b, _ := json.Marshal(errorBody{Error: detailOf(f)}) // A fault always encodes.
	s.forward([]byte("event: error\ndata: " + string(b) + "\n\n"))
}

// receiveStream reads server-sent events up to the last one and forwards them.
// A stream that ends without it was cut short.
func (e *Entry) receiveStream(body io.Reader, k *call, sink *sink, a *answer) {
	reader := bufio.NewReaderSize(body, responseBufferLen)
	var event []byte
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			a.err = errors.Wrap(err, "entry: the stream was cut short")
			return
		}
		event = append(event, line...)
		if len(bytes.TrimSpace(line)) > 0 {
			continue
		}
		if isDone(event) {
			return
		}
		if len(a.body)+len(event) > maxResponseBytes {
			a.err = errors.Newf("entry: the stream is larger than %d bytes", maxResponseBytes)
			return
		}
		a.body = append(a.body, event...)
		e.passOn(event, k, sink, a)
		event = nil
	}
}

// passOn forwards an event unless the caller's key was withdrawn meanwhile.
func (e *Entry) passOn(event []byte, k *call, sink *sink, a *answer) {
	if err := e.recheck(k.caller); types.IsCode(err, types.CodeUnauthorized) && !sink.gone {
		sink.fail(errNoKey.WithRan(types.DidRun))
		sink.gone = true
	}
	sink.forward(event)
	a.forwarded = a.forwarded || sink.started
}

func isDone(event []byte) bool {
	data, ok := bytes.CutPrefix(bytes.TrimSpace(event), dataPrefix)
	return ok && bytes.Equal(bytes.TrimSpace(data), doneEvent)
}

// usage is the part of an engine's answer that counts tokens.
type usage struct {
	Usage *struct {
		CompletionTokens types.Tokens `json:"completion_tokens"`
	} `json:"usage"`
}

// usageOf returns the number of tokens that the engine generated. An answer
// that does not tell counts as the whole reservation.
func usageOf(k *call, body []byte) types.Tokens {
	if !k.stream {
		var u usage
		if json.Unmarshal(body, &u) == nil && u.Usage != nil {
			return u.Usage.CompletionTokens
		}
		return k.reserve
	}
	for _, event := range lastFirst(bytes.Split(body, []byte("\n\n"))) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(event), dataPrefix)
		var u usage
		if ok && json.Unmarshal(data, &u) == nil && u.Usage != nil {
			return u.Usage.CompletionTokens
		}
	}
	return k.reserve
}

// usageEvents is how many events from the end may hold the usage.
const usageEvents = 4

func lastFirst(events [][]byte) [][]byte {
	var last [][]byte
	for i := len(events) - 1; i >= 0 && len(last) < usageEvents; i-- {
		last = append(last, events[i])
	}
	return last
}
