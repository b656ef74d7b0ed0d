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

// BenchmarkOverhead compares calls through an entry host with calls to the
// stand-in directly, one at a time, in the same run.
func BenchmarkOverhead(b *testing.B) {
	f := newFleet(b, 3, 3, func() *fakes.Engine { return &fakes.Engine{} })
	direct := strings.TrimPrefix(f.target(&fakes.Service{}), "http://")
	for _, c := range []struct{ name, address, path string }{
		{"direct", direct, ""},
		{"idempotent", f.entries[0], "/booking/rooms"},
		{"nonIdempotent", f.entries[0], "/booking/deposits"},
	} {
		b.Run(c.name, func(b *testing.B) {
			h := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
			l := f.newLoad(b, c.address, c.path, b.N)
			b.ResetTimer()
			for range b.N {
				_ = h.RecordValue(l.call(b).Microseconds())
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
		})
	}
}

// BenchmarkThroughput runs calls of many programs at once through one entry
// host.
func BenchmarkThroughput(b *testing.B) {
	f := newFleet(b, 3, 3, func() *fakes.Engine { return &fakes.Engine{} })
	for _, path := range []string{"/booking/rooms", "/booking/deposits"} {
		for _, n := range []int{16, 64, 256} {
			b.Run(fmt.Sprintf("%s/%d", strings.TrimPrefix(path, "/booking/"), n), func(b *testing.B) {
				f.throughput(b, path, n)
			})
		}
	}
}

func (f *fleet) throughput(b *testing.B, path string, n int) {
	loads := make([]*load, n)
	for i := range loads {
		loads[i] = f.newLoad(b, f.entries[0], path, b.N)
	}
	var left atomic.Int64
	left.Store(int64(b.N))
	var g errgroup.Group
	b.ResetTimer()
	start := time.Now()
	for _, l := range loads {
		g.Go(func() error {
			for left.Add(-1) >= 0 {
				l.call(b)
			}
			return nil
		})
	}
	_ = g.Wait()
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "calls/s")
}

// load makes the calls of one program, or direct calls if path is empty.
type load struct {
	client  *http.Client
	address string
	program string
	path    string
	next    int
}

var benchmarkProgram atomic.Int64

func (f *fleet) newLoad(b *testing.B, address, path string, calls int) *load {
	b.Helper()
	l := &load{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, address: address, path: path}
	if path == "" {
		return l
	}
	l.program = fmt.Sprintf("bench-%d", benchmarkProgram.Add(1))
	open := map[string]any{"program": l.program, "budget": map[string]any{"calls": calls + 1, "tokens": 0, "seconds": 3600}}
	if _, err := f.persist(0, http.MethodPost, "/v1/programs", open); err != nil {
		b.Fatal(err)
	}
	return l
}

func (l *load) call(b *testing.B) time.Duration {
	l.next++
	url := "http://" + l.address + "/deposits"
	if l.path != "" {
		url = fmt.Sprintf("http://%s/v1/programs/%s/calls/%d%s", l.address, l.program, l.next, l.path)
	}
	body, _ := json.Marshal(map[string]int{"amount": l.next})
	start := time.Now()
	req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := l.client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	answer, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Errorf("%s: %s", resp.Status, answer)
	}
	return time.Since(start)
}
