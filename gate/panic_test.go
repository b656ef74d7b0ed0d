package gate_test

import (
	"bytes"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/gate"
)

// panickingLog is a log that panics once when it gets a line with the given text.
type panickingLog struct {
	io.Writer
	text atomic.Pointer[string]
}

func (l *panickingLog) Write(b []byte) (int, error) {
	if text := l.text.Load(); text != nil && bytes.Contains(b, []byte(*text)) {
		l.text.Store(nil)
		panic("broken log")
	}
	return l.Writer.Write(b)
}

// panickingFleet panics once when a request asks it for the age of the plan. The gate also asks in
// the background, where a panic ends the process.
type panickingFleet struct {
	*fakeFleet
	broken atomic.Bool
}

func (f *panickingFleet) Staleness() time.Duration {
	if f.broken.Load() && bytes.Contains(debug.Stack(), []byte("ServeHTTP")) && f.broken.Swap(false) {
		panic("broken fleet")
	}
	return f.fakeFleet.Staleness()
}

// TestPanicOfRequestIsAnswered guards against requests without an answer, and without a trace in
// the log, since the gate panics while it handles them, and against an answer that says that no
// target has run a request that one may have run.
func TestPanicOfRequestIsAnswered(t *testing.T) {
	lines := &lockedBuffer{}
	log := &panickingLog{Writer: lines}
	var control *panickingFleet
	b := newTestbedWith(t, func(g *gate.Gate) {
		control = &panickingFleet{fakeFleet: g.Fleet.(*fakeFleet)}
		g.Fleet, g.Log = control, event.New(log)
	})
	var ran atomic.Int32
	b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		respondTurn(w, r)
	})
	request := testRequest{path: "/chat/", key: "choir-key", body: "input", header: map[string]string{"Program": "p", "Budget": "1000", "Tokens": "100,40"}}
	type outcome struct {
		Status int
		Runs   int32
		Cut    bool
		Events int
	}
	for name, test := range map[string]struct {
		text string // of the line at which the log panics; the fleet panics if it is empty
		want outcome
	}{
		"before it is sent":     {"", outcome{Status: http.StatusServiceUnavailable, Events: 1}},
		"after it was sent":     {`"event":406`, outcome{Status: http.StatusBadGateway, Runs: 1, Events: 1}},
		"within the response":   {`"event":408`, outcome{Status: http.StatusOK, Runs: 1, Cut: true, Events: 1}},
		"not at all, afterward": {`"event":0,`, outcome{Status: http.StatusOK, Runs: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			ran.Store(0)
			before := strings.Count(lines.String(), `"event":108`)
			if test.text == "" {
				control.broken.Store(true)
			} else {
				log.text.Store(&test.text)
			}
			resp := b.do(t.Context(), request)
			_, err := io.ReadAll(resp.Body)
			got := outcome{resp.StatusCode, ran.Load(), err != nil, strings.Count(lines.String(), `"event":108`) - before}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("outcome, -want +got:\n%s", diff)
			}
		})
	}
	if used := b.gate.Backlog.Used(); used != 0 {
		t.Errorf("%d bytes of responses are held after all requests have ended", used)
	}
}
