package turns_test

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/turns"
)

// metricValue returns the value of a metric of this process, or 0 if it has none yet.
func metricValue(t *testing.T, name string) float64 {
	t.Helper()
	var b bytes.Buffer
	metrics.WritePrometheus(&b, false)
	for line := range strings.Lines(b.String()) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			value, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			if err != nil {
				t.Fatal(err)
			}
			return value
		}
	}
	return 0
}

// eventLog keeps the events that are written to it, as an [io.Writer] of [event.New].
type eventLog struct {
	mu     sync.Mutex
	events []map[string]any
}

func (l *eventLog) Write(line []byte) (int, error) {
	fields := map[string]any{}
	if err := json.Unmarshal(line, &fields); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, fields)
	return len(line), nil
}

// of returns the events of a kind.
func (l *eventLog) of(kind event.Kind) (found []map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fields := range l.events {
		if fields["event"] == float64(kind.Number) {
			found = append(found, fields)
		}
	}
	return found
}

// TestWritesAreToldApart guards against a store whose disk is late, and of which nobody can tell whether it writes
// live turns or copies, nor how long the live ones wait.
func TestWritesAreToldApart(t *testing.T) {
	const syncTime, turnBytes = 300 * time.Millisecond, 20_000
	c := newLostDisk(t, 30, turnBytes)
	slow, log := &slowDisk{simulated: true}, &eventLog{}
	slow.slow(syncTime)
	c.disks, c.log = []store.Disk{{}, {}, {}, slow.disk()}, event.New(log)
	liveBytes, copyBytes := `banyanspur_turns_batch_bytes_sum{kind="live"}`, `banyanspur_turns_batch_bytes_sum{kind="copy"}`
	beforeLive, beforeCopies, beforeWaits := metricValue(t, liveBytes), metricValue(t, copyBytes), metricValue(t, "banyanspur_turns_live_write_seconds_sum")
	c.copyAll()
	if copied := metricValue(t, copyBytes) - beforeCopies; copied < 10*turnBytes {
		t.Errorf("%v bytes counted as copied, want those of ten turns of %d at least", copied, turnBytes)
	}
	if live := metricValue(t, liveBytes) - beforeLive; live != 0 {
		t.Errorf("%v bytes of copies counted as live", live)
	}
	c.writeTurnOn(turns.Turn{ID: "live", Input: make([]byte, turnBytes)}, "p", 3)
	if live := metricValue(t, liveBytes) - beforeLive; live < turnBytes {
		t.Errorf("%v bytes counted as live, want those of a turn of %d at least", live, turnBytes)
	}
	if waited := metricValue(t, "banyanspur_turns_live_write_seconds_sum") - beforeWaits; waited < syncTime.Seconds() {
		t.Errorf("a live write counts as written after %v s, a sync takes %v", waited, syncTime)
	}
	var live, copied float64
	for _, fields := range log.of(event.StoreWriteSlow) {
		liveBytes, _ := fields["liveBytes"].(float64)
		copyBytes, _ := fields["copyBytes"].(float64)
		live, copied = live+liveBytes, copied+copyBytes
	}
	if live < turnBytes || copied < turnBytes {
		t.Errorf("events of slow writes tell %v live and %v copied bytes", live, copied)
	}
}
