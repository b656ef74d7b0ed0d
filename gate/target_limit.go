package gate

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

var limitedSendsTotal = metrics.NewCounter("banyanspur_gate_limited_sends_total")

// targetLimits holds the limits that targets name in their responses. The zero value
// is ready to use. It is safe for concurrent use.
type targetLimits struct {
	mu      sync.Mutex
	notices limit.Notices
}

// rate returns the limit that a target names, and false if it names none.
func (l *targetLimits) rate(id types.TargetID) (types.PerSecond, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.notices.Get(id)
	return n.Rate, ok && !n.Lifted
}

// recordNotice records the limit in a response of a target. A response without a limit
// lifts an earlier one only if its request was sent after the limit was last named,
// since responses on different connections may overtake each other.
func (c *call) recordNotice(t fleet.Target, h http.Header, sentAt types.Mono) {
	rate, named, err := parseRate(h.Get(c.gate.HeaderNames.TargetLimit))
	if err != nil {
		c.gate.Log.Write(event.TargetLimited, event.Fields{"target": t.ID, "request": c.id, "error": err.Error()})
		return
	}
	l := &c.gate.targetLimits
	l.mu.Lock()
	previous, known := l.notices.Get(t.ID)
	changed := false
	if named || known && sentAt >= previous.At {
		changed = l.notices.Add(t.ID, limit.Notice{Rate: rate, Lifted: !named, At: c.gate.Clock()})
	}
	l.mu.Unlock()
	if changed {
		c.gate.Log.Write(event.TargetLimited, event.Fields{"target": t.ID, "request": c.id, "limit": rate, "lifted": !named})
	}
}

// parseRate parses a rate in requests per second. It reports false for an empty text.
func parseRate(text string) (rate types.PerSecond, named bool, err error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, false, nil
	}
	f, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(f) || math.IsInf(f, 0) || f < 0) {
		err = strconv.ErrRange
	}
	return types.PerSecond(f), err == nil, err
}
