package host_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/fakes"
)

const (
	maxLatencyMicros = 60_000_000
	histogramDigits  = 3
)

// BenchmarkOverhead reports the latency of calls through an entry host and of
// direct calls to a fake service, one at a time, in the same run.
func BenchmarkOverhead(b *testing.B) {
	f := newFleet(b, 3, 3, func() *fakes.Engine { return &fakes.Engine{} })
	direct := strings.TrimPrefix(f.serveTarget(&fakes.Service{}), "http://")
	for _, c := range []struct{ name, address, path string }{
		{"direct", direct, ""},
		{"idempotent", f.entries[0], "/booking/rooms"},
		{"nonIdempotent", f.entries[0], "/booking/deposits"},
	} {
		b.Run(c.name, func(b *testing.B) {
			h := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
			l := f.newLoadGenerator(b, c.address, c.path, b.N)
			b.ResetTimer()
			for range b.N {
				_ = h.RecordValue(l.call(b).Microseconds())
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
		})
	}
}

// BenchmarkThroughput reports the throughput of concurrent calls of many programs
// through one entry host.
func BenchmarkThroughput(b *testing.B) {
	f := newFleet(b, 3, 3, func() *fakes.Engine { return &fakes.Engine{} })
	for _, path := range []string{"/booking/rooms", "/booking/deposits"} {
		for _, n := range []int{16, 64, 256} {
			b.Run(fmt.Sprintf("%s/%d", strings.TrimPrefix(path, "/booking/"), n), func(b *testing.B) {
				f.measureThroughput(b, path, n)
			})
		}
	}
}

func (f *fleet) measureThroughput(b *testing.B, path string, n int) {
	loads := make([]*loadGenerator, n)
	for i := range loads {
		loads[i] = f.newLoadGenerator(b, f.entries[0], path, b.N)
	}
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var g errgroup.Group
	b.ResetTimer()
	start := time.Now()
	for _, l := range loads {
		g.Go(func() error {
			for remaining.Add(-1) >= 0 {
				l.call(b)
			}
			return nil
		})
	}
	_ = g.Wait()
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "calls/s")
}

// loadGenerator makes the calls of one program, or direct calls to a service if
// path is empty.
type loadGenerator struct {
	client  *http.Client
	address string
	program string
	path    string
	number  int // of the last call
}

// benchmarkPrograms counts the programs, to give each a unique name.
var benchmarkPrograms atomic.Int64

func (f *fleet) newLoadGenerator(b *testing.B, address, path string, calls int) *loadGenerator {
	b.Helper()
	l := &loadGenerator{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, address: address, path: path}
	if path == "" {
		return l
	}
	l.program = fmt.Sprintf("bench-%d", benchmarkPrograms.Add(1))
	open := map[string]any{"program": l.program, "budget": map[string]any{"calls": calls + 1, "tokens": 0, "seconds": 3600}}
	if _, err := f.requestUntilAnswered(0, http.MethodPost, "/v1/programs", open); err != nil {
		b.Fatal(err)
	}
	return l
}

// call makes the next call and returns its latency.
func (l *loadGenerator) call(b *testing.B) time.Duration {
	l.number++
	url := "http://" + l.address + "/deposits"
	if l.path != "" {
		url = fmt.Sprintf("http://%s/v1/programs/%s/calls/%d%s", l.address, l.program, l.number, l.path)
	}
	body, _ := json.Marshal(map[string]int{"amount": l.number})
	start := time.Now()
	req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := l.client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	response, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Errorf("%s: %s", resp.Status, response)
	}
	return time.Since(start)
}
