package gate

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// eventBufferSize is the size of the read buffer in bytes. Longer lines take
	// several reads.
	eventBufferSize = 8 << 10
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 128 << 10
)

var (
	// errIncompleteEvent is returned for a stream that ends within an event, or before
	// the first one without a mark of its end, or has one of more than maxEventBytes.
	errIncompleteEvent = errors.New("gate: incomplete or oversized event in stream")
	// errTooManyEvents is returned for a stream with more tokens than its request
	// allows.
	errTooManyEvents = errors.New("gate: target generates more tokens than the request allows")
)

// forwardStream forwards the events of a response as they arrive. The end of the
// stream is sent only after the turn was stored.
func (c *call) forwardStream(service *plan.Service, t fleet.Target, resp *fetch.Response) sendOutcome {
	var tokensPerEvent types.Tokens
	if service.Engine != nil {
		tokensPerEvent = service.Engine.TokensPerEvent
	}
	s := &streamForwarder{
		call: c, unread: c.newUnread(true), events: bufio.NewReaderSize(resp.Body, eventBufferSize), tokensPerEvent: tokensPerEvent, maxEvents: maxEvents(c.turn.budget.MaxTokens, tokensPerEvent),
	}
	defer s.releaseOutput()
	err := s.run(t, resp)
	c.endAttempt()
	c.turn.delivered += types.Tokens(s.eventCount) * tokensPerEvent
	if errors.Is(err, errUnconfirmed) {
		c.runs++
		return outcomeUnconfirmed
	}
	if !s.headSent && err != nil {
		return c.classifyError(t, err)
	}
	c.runs++
	if err != nil && !callerAtFault(err) && c.interruptedByTarget() {
		c.gate.targets.recordServerError(t.ID)
		c.recordInterrupted(t)
	}
	if err == nil {
		c.recordCompleted()
		err = c.commitTurn(s.output.Bytes(), types.Tokens(s.eventCount)*tokensPerEvent)
	}
	if err != nil {
		c.truncated = true
		c.recordTruncation(t, err, s.eventCount)
	}
	c.finishResponse(s.unread, err)
	return outcomeForwarded
}

// maxEvents returns the maximum number of events of a turn that may generate the given
// number of tokens, 0 if there is none. It allows for a last event without tokens.
func maxEvents(maxTokens, tokensPerEvent types.Tokens) int {
	if maxTokens <= 0 || tokensPerEvent <= 0 {
		return 0
	}
	return int((maxTokens+tokensPerEvent-1)/tokensPerEvent) + 1
}

// recordTruncation logs a stream that was truncated after the given number of
// events. It counts against the target unless the deadline passed, the caller
// disconnected or the host is stopping.
func (c *call) recordTruncation(t fleet.Target, err error, events int) {
	if c.r.Context().Err() == nil && c.remaining() > 0 && !callerAtFault(err) && !c.gate.answersEnded() {
		c.gate.targets.recordFailure(t.ID)
	}
	c.logTargetFailed(t, event.Fields{"sent": true, "events": events, "error": err.Error(), "callerGone": c.r.Context().Err() != nil})
}

// streamForwarder forwards the event stream of a target to the caller.
type streamForwarder struct {
	call           *call
	unread         *unreadResponse
	events         *bufio.Reader // body of the target's response
	tokensPerEvent types.Tokens
	maxEvents      int          // 0 means no limit
	headSent       bool         // the response header was sent to the caller
	delayed        bool         // the first event has waited, so that times between the others say nothing of the target
	lastEventAt    time.Time    // when the last event was received
	eventCount     int          // events forwarded
	output         bytes.Buffer // data of all events of a stateful route, each followed by a line feed
	outputHeld     int64        // bytes taken from the backlog for output
}

// run forwards events until the stream ends. It returns nil only if the stream
// ended at the end of an event.
func (s *streamForwarder) run(t fleet.Target, resp *fetch.Response) error {
	for {
		raw, err := s.nextEvent()
		if err == io.EOF && s.eventCount == 0 && resp.Unframed {
			return errIncompleteEvent // The target may have stopped after the head.
		}
		if err == io.EOF {
			s.sendHead(resp) // A stream without events is valid.
			return nil
		}
		if err != nil {
			return err
		}
		if s.maxEvents > 0 && s.eventCount >= s.maxEvents {
			return errTooManyEvents
		}
		receivedAt := time.Now()
		if s.headSent && !s.delayed {
			s.call.gate.targets.recordUnitTime(t.ID, receivedAt.Sub(s.lastEventAt))
		}
		s.lastEventAt, s.call.lastEventAt = receivedAt, receivedAt
		if !s.headSent {
			s.call.firstEventAt = receivedAt
			firstEventSeconds.UpdateDuration(s.call.start)
			s.call.gate.targets.recordPrefill(t.ID, parsePromptParts(s.call.r.Header.Get(s.call.gate.HeaderNames.PromptParts)))
			waited, err := s.call.awaitClaim()
			if err != nil {
				return err
			}
			s.delayed = waited
		}
		s.sendHead(resp)
		s.eventCount++
		if err := s.holdOutput(len(raw)); err != nil {
			return err
		}
		s.appendData(raw)
		if err := s.unread.add(s.call.r.Context(), piece{b: raw, receivedAt: receivedAt}); err != nil {
			return err
		}
	}
}

// sendHead sends the status and header of the response to the caller, once.
func (s *streamForwarder) sendHead(resp *fetch.Response) {
	if s.headSent {
		return
	}
	s.headSent = true
	s.call.dropChain()
	copyHeader(s.call.w.Header(), resp.Header)
	s.call.status = resp.Status
	s.call.w.WriteHeader(resp.Status)
}

// nextEvent returns the next event including the blank line that ends it, or
// io.EOF if the stream ended after the previous event. The result is valid until
// the next call.
func (s *streamForwarder) nextEvent() ([]byte, error) {
	var raw []byte
	for {
		line, err := s.events.ReadSlice('\n')
		raw = append(raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err == io.EOF && len(raw) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, errIncompleteEvent
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return raw, nil
		}
		if len(raw) > maxEventBytes {
			return nil, errIncompleteEvent
		}
	}
}

// appendData appends the data of an event to the output of the turn. It does
// nothing on routes that are not stateful.
func (s *streamForwarder) appendData(raw []byte) {
	if !s.call.route.Stateful {
		return
	}
	first := true
	for line := range bytes.Lines(raw) {
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data:"))
		if !ok {
			continue
		}
		if !first {
			s.output.WriteByte('\n')
		}
		first = false
		s.output.Write(bytes.TrimPrefix(data, []byte(" ")))
	}
	s.output.WriteByte('\n')
}
