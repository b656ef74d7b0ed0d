package host_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/banyanspur/banyanspur/admin"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/manage"
	"github.com/banyanspur/banyanspur/types"
)

// BenchmarkInForce reports the time from an order to its configuration being in
// force on eight entry hosts.
func BenchmarkInForce(b *testing.B) {
	f := newFleet(b, 3, 8, defaultEngine)
	var fleet config.Fleet
	if err := f.adminRequest(http.MethodGet, "/admin/v1/configuration", nil, &fleet); err != nil {
		b.Fatal(err)
	}
	h := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	version := fleet.Version
	b.ResetTimer()
	for i := range b.N {
		start := time.Now()
		body := manage.OrderBody{ID: types.OrderID(types.RandomID()), Base: version, Summary: "rate"}
		body.Change.PutAccounts = []config.Account{{ID: "band", Rate: types.PerSecond(i + 1), Burst: 1}}
		var d admin.Decision
		if err := f.adminRequest(http.MethodPost, "/admin/v1/orders", body, &d); err != nil || !d.Accepted {
			b.Fatal(d, err)
		}
		version = d.Version
		f.eventually("the order is in force", func() error {
			var reply struct{ InForce bool }
			if err := f.adminRequest(http.MethodGet, fmt.Sprintf("/admin/v1/versions/%d", version), nil, &reply); err != nil || !reply.InForce {
				return fmt.Errorf("%v %w", reply, err)
			}
			return nil
		})
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
}

// BenchmarkFailover kills the leader of the account's group and reports the time
// until the next call is answered, including failed attempts.
func BenchmarkFailover(b *testing.B) {
	f := newCustomFleet(b, 3, 1, 1, false, defaultEngine)
	h := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	l := f.newLoadGenerator(b, f.entries[0], "/booking/rooms", 1000000)
	b.ResetTimer()
	for range b.N {
		leader := f.leader("1")
		l.call(b)
		f.kill(leader)
		start := time.Now()
		l.number++
		if _, err := f.requestUntilAnswered(0, http.MethodPost, fmt.Sprintf("/v1/programs/%s/calls/%d/booking/rooms", l.program, l.number), nil); err != nil {
			b.Fatal(err)
		}
		_ = h.RecordValue(time.Since(start).Microseconds())
		f.start(leader)
		f.waitHealthy(int(leader[len(leader)-1] - '0'))
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
}

// leader waits until a control host leads the group and returns its name.
func (f *fleet) leader(group string) (name string) {
	const roleLeader = 3
	f.eventually("a leader", func() error {
		for i := range 3 {
			if s, err := f.replicas(i); err == nil && s[group].Status.Role == roleLeader {
				name = fmt.Sprintf("control-%d", i)
				return nil
			}
		}
		return fmt.Errorf("none")
	})
	return name
}

// BenchmarkHandover stops the leader of the account's group with SIGTERM and
// reports the latency of a call that is made 5 ms later.
func BenchmarkHandover(b *testing.B) {
	f := newCustomFleet(b, 3, 1, 1, false, defaultEngine)
	h := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	l := f.newLoadGenerator(b, f.entries[0], "/booking/rooms", 1000000)
	b.ResetTimer()
	for range b.N {
		leader := f.leader("1")
		l.call(b)
		if err := f.hosts[leader].Process.Signal(syscall.SIGTERM); err != nil {
			b.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
		_ = h.RecordValue(l.call(b).Microseconds())
		_ = f.hosts[leader].Wait()
		f.start(leader)
		f.waitHealthy(int(leader[len(leader)-1] - '0'))
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
}
