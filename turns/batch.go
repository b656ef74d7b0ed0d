package turns

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
)

// writeKind is what a record is written for.
type writeKind int

const (
	// liveKind is for the claims and ends of live turns, whose callers wait.
	liveKind writeKind = iota
	// copyKind is for what is copied from other stores, or adopted for them.
	copyKind
	// rewriteKind is for what compaction writes again.
	rewriteKind
	writeKinds
)

// kindNames are the names of the kinds in metrics.
var kindNames = [writeKinds]string{"live", "copy", "rewrite"}

var (
	batchBytes, batchRecords [writeKinds]*metrics.Histogram
	liveWriteSeconds         = metrics.NewHistogram("banyanspur_turns_live_write_seconds")
	expiredWrites            = metrics.NewCounter("banyanspur_turns_expired_writes_total")
)

func init() {
	for kind, name := range kindNames {
		batchBytes[kind] = metrics.NewHistogram(`banyanspur_turns_batch_bytes{kind="` + name + `"}`)
		batchRecords[kind] = metrics.NewHistogram(`banyanspur_turns_batch_records{kind="` + name + `"}`)
	}
}

// batchSizes are the numbers of records in a batch, and their encoded bytes, by kind.
type batchSizes struct {
	records, bytes [writeKinds]int
}

func sizesOf(kinds []writeKind, encoded [][]byte) (sizes batchSizes) {
	for i, kind := range kinds {
		sizes.records[kind]++
		sizes.bytes[kind] += len(encoded[i])
	}
	return sizes
}

// total returns the bytes of all kinds.
func (s batchSizes) total() int {
	return s.bytes[liveKind] + s.bytes[copyKind] + s.bytes[rewriteKind]
}

// record adds the batch to the metrics of the kinds that it has.
func (s batchSizes) record() {
	for kind, n := range s.records {
		if n > 0 {
			batchRecords[kind].Update(float64(n))
			batchBytes[kind].Update(float64(s.bytes[kind]))
		}
	}
}

// fields returns the sizes as the fields of a log event.
func (s batchSizes) fields() event.Fields {
	return event.Fields{
		"bytes": s.total(), "records": s.records[liveKind] + s.records[copyKind] + s.records[rewriteKind],
		"liveBytes": s.bytes[liveKind], "copyBytes": s.bytes[copyKind], "rewriteBytes": s.bytes[rewriteKind],
	}
}

// longestWait returns the longest time for which a live write of a batch has waited since its arrival, or 0 if there
// is none.
func longestWait(batch []pendingWrite) (longest time.Duration) {
	for _, w := range batch {
		if w.kind == liveKind {
			longest = max(longest, time.Since(w.queuedAt))
		}
	}
	return longest
}
