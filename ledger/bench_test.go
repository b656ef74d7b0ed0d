package ledger_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
)

// BenchmarkCall measures applying the Begin and the Close of one call.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 16 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			d := newDriver()
			body := bytes.Repeat([]byte("x"), size)
			b.ReportAllocs()
			for i := range b.N {
				p := types.ProgramID(fmt.Sprint("p", i/100))
				if i%100 == 0 {
					d.open(p, "", ledger.Budget{Calls: 1000, Tokens: 1e9, WallTime: time.Hour})
				}
				d.beginAndClose(p, types.CallNumber(i%100+1), body)
			}
		})
	}
}

func (d *driver) beginAndClose(p types.ProgramID, n types.CallNumber, body []byte) {
	d.attempts++
	id := types.AttemptID(fmt.Sprint("attempt-", d.attempts))
	d.apply(ledger.Command{Begin: &ledger.Begin{
		Account: "a", Limit: bigLimit, Program: p, Number: n, Attempt: id, Session: session(0), Service: "s",
		Fingerprint: types.FingerprintOf(body), Idempotent: true, Request: bytes.Clone(body), CacheTarget: "t",
	}})
	d.apply(ledger.Command{Close: &ledger.Close{
		Account: "a", Program: p, Number: n, Attempt: id, Outcome: ledger.OutcomeAnswered, Status: 200,
		ContentType: "application/json", Response: bytes.Clone(body), Target: "t", Cached: true,
	}})
}

// BenchmarkMemory reports the heap size per program, with calls that have empty
// bodies, the time and size of a snapshot, and the time of the leader's periodic
// scans. Run it with -benchtime 1x, because what one iteration leaves on the
// heap distorts the result of the next.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 5000} {
		for _, calls := range []int{0, 20, 100} {
			b.Run(fmt.Sprintf("programs=%d/calls=%d", n, calls), func(b *testing.B) {
				for range b.N {
					measureMemory(b, n, calls)
				}
			})
		}
	}
}

func measureMemory(b *testing.B, programs, calls int) {
	before := heapBytes()
	d := newDriver()
	for i := range programs {
		p := types.ProgramID(fmt.Sprint("program-", i))
		d.open(p, "", ledger.Budget{Calls: 1000, Tokens: 1e9, WallTime: time.Hour})
		for n := range calls {
			d.beginAndClose(p, types.CallNumber(n+1), nil)
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(programs), "B/program")
	start := time.Now()
	size := len(d.m.Snapshot())
	b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "snapshot-ms")
	b.ReportMetric(float64(size)/float64(programs), "snapshot-B/program")
	start = time.Now()
	d.m.PendingReleases(d.at, 10)
	d.m.Overdue(d.at, 10)
	d.m.ActiveSessions()
	b.ReportMetric(float64(time.Since(start).Microseconds()), "scan-µs")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
