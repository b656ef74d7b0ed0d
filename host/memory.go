package host

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// memoryReadInterval is the pause between two readings of the memory in use.
	memoryReadInterval = 2 * time.Second
	// memoryLogInterval is the shortest time between two events about it.
	memoryLogInterval = time.Minute
	// nearLimitShare is the fraction of its limit from which on a process is near it. It is above
	// memoryLimitShare, up to which the runtime lets garbage grow.
	nearLimitShare = 0.8
)

var (
	memoryUsed  = metrics.NewGauge("banyanspur_memory_used_bytes", nil)
	memoryPeak  = metrics.NewGauge("banyanspur_memory_peak_bytes", nil)
	memoryLimit = metrics.NewGauge("banyanspur_memory_limit_bytes", nil)
)

// MemoryUse is the resident memory of a process in bytes: now, and at most since its start.
type MemoryUse struct{ Now, Peak int64 }

// MemoryWatch logs that the memory of the process comes near its limit. Set the fields, then call
// [MemoryWatch.Run].
type MemoryWatch struct {
	// Limit returns the limit in bytes, or 0 if there is none.
	Limit func() int64
	// Read returns the memory in use. The default is that of the process.
	Read func() (MemoryUse, error)
	// Log receives events. The zero value discards them.
	Log event.Log
}

// Run reads the memory in use every memoryReadInterval until ctx ends. It always returns nil.
func (w *MemoryWatch) Run(ctx context.Context) error {
	read := w.Read
	if read == nil {
		read = readMemoryUse
	}
	var loggedAt time.Time
	var loggedPeak int64
	for types.Sleep(ctx, memoryReadInterval) {
		use, err := read()
		if err != nil {
			continue // The platform does not tell it.
		}
		limit := w.Limit()
		memoryUsed.Set(float64(use.Now))
		memoryPeak.Set(float64(use.Peak))
		memoryLimit.Set(float64(limit))
		near := int64(nearLimitShare * float64(limit))
		// A peak between two readings counts, too, once.
		if limit == 0 || use.Now < near && (use.Peak < near || use.Peak <= loggedPeak) {
			continue
		}
		if !loggedAt.IsZero() && time.Since(loggedAt) < memoryLogInterval {
			continue
		}
		loggedAt, loggedPeak = time.Now(), use.Peak
		w.Log.Write(event.MemoryNearLimit, event.Fields{"bytes": use.Now, "peakBytes": use.Peak, "limitBytes": limit})
	}
	return nil
}

// readMemoryUse returns the memory that this process uses. The peak that getrusage(2) reports is no
// use: it includes that of the process from which this one was forked.
func readMemoryUse() (MemoryUse, error) {
	b, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return MemoryUse{}, errors.Wrap(err, "host: read memory in use")
	}
	now, err := statusBytes(b, "VmRSS:")
	if err != nil {
		return MemoryUse{}, err
	}
	peak, err := statusBytes(b, "VmHWM:")
	if err != nil {
		return MemoryUse{}, err
	}
	return MemoryUse{Now: now, Peak: max(now, peak)}, nil
}

// statusBytes returns the value of a line of /proc/self/status in bytes.
func statusBytes(status []byte, name string) (int64, error) {
	for line := range strings.Lines(string(status)) {
		value, ok := strings.CutPrefix(line, name)
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		return kb << 10, errors.Wrapf(err, "host: memory in use: %s", line)
	}
	return 0, errors.Newf("host: memory in use: no line %s", name)
}
