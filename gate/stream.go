package gate

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// eventBuffer is the size of an event that is read in one step.
	eventBuffer = 8 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
)

// errEvent tells that a stream broke off within an event or held one that is
// too long.
var errEvent = errors.New("gate: the stream broke off within an event")

// stream passes the events of an answer on as they come. The caller gets the
// end only once the turn is kept.
func (c *call) stream(service *plan.Service, t fleet.Target, resp *fetch.Response) verdict {
	if v, bad := c.checkSignature(t, resp); bad {
		return v
	}
	var stride types.Tokens
	if service.Engine != nil {
		stride = service.Engine.Stride
	}
	s := &passing{call: c, in: bufio.NewReaderSize(resp.Body, eventBuffer), stride: stride}
	err := s.run(t, resp)
	c.turn.handed += types.Tokens(s.events) * stride
	if !s.began && err != nil {
		return c.judgeError(t, err)
	}
	c.runs++
	if err == nil {
		err = c.keep(s.output.Bytes(), types.Tokens(s.events)*stride)
	}
	if err != nil {
		c.broken = true
		c.noteBreak(t, err, s.events)
	}
	return answered
}

func (c *call) noteBreak(t fleet.Target, err error, events int) {
	if c.r.Context().Err() == nil && c.left() > 0 {
		c.gate.loads.failed(t.ID)
	}
	c.gate.Log.Write(event.TargetFailed, event.Fields{
		"request": c.id, "target": t.ID, "sent": true, "events": events, "error": err.Error(), "callerGone": c.r.Context().Err() != nil,
	})
}

// passing is a stream on its way to the caller.
type passing struct {
	call   *call
	in     *bufio.Reader
	stride types.Tokens
	began  bool      // the caller has got the head
	last   time.Time // when the last event came
	events int
	output bytes.Buffer // the data of all events, a line feed behind each
}

// run passes events on until the stream ends. It returns nil only if it ended
// after a whole event.
func (s *passing) run(t fleet.Target, resp *fetch.Response) error {
	for {
		event, err := s.next()
		if err == io.EOF {
			s.begin(resp) // A stream without events is whole as well.
			return nil
		}
		if err != nil {
			return err
		}
		came := time.Now()
		if s.began {
			s.call.gate.loads.worked(t.ID, came.Sub(s.last))
		}
		s.last, s.call.lastAt = came, came
		if !s.began {
			s.call.firstAt = came
			firstTime.UpdateDuration(s.call.start)
			s.call.gate.loads.read(t.ID, parsePrompt(s.call.r.Header.Get(s.call.gate.Names.Prompt)))
		}
		s.begin(resp)
		if _, err := s.call.w.Write(event); err != nil {
			return err
		}
		s.events++
		s.keepData(event)
		if err := http.NewResponseController(s.call.w).Flush(); err != nil {
			return err
		}
		passTime.UpdateDuration(came)
	}
}

func (s *passing) begin(resp *fetch.Response) {
	if s.began {
		return
	}
	s.began = true
	copyHeader(s.call.w.Header(), resp.Header)
	s.call.status = resp.Status
	s.call.w.WriteHeader(resp.Status)
}

// next returns the next event with the blank line that ends it, or io.EOF if
// the stream ended after the event before. The result is valid until the next
// call.
func (s *passing) next() ([]byte, error) {
	var event []byte
	for {
		line, err := s.in.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err == io.EOF && len(event) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, errEvent
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		}
		if len(event) > maxEvent {
			return nil, errEvent
		}
	}
}

// keepData notes the data of an event for the turn.
func (s *passing) keepData(event []byte) {
	if !s.call.route.Stateful {
		return
	}
	first := true
	for line := range bytes.Lines(event) {
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
