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

// BenchmarkInForce reports how long a change takes until it is in force at
// eight entry hosts.
func BenchmarkInForce(b *testing.B) {
	f := newFleet(b, 3, 8, idleEngine)
	var fleet config.Fleet
	if err := f.operate(http.MethodGet, "/admin/v1/configuration", nil, &fleet); err != nil {
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
		if err := f.operate(http.MethodPost, "/admin/v1/orders", body, &d); err != nil || !d.Accepted {
			b.Fatal(d, err)
		}
		version = d.Version
		f.eventually("in force", func() error {
			var reply struct{ InForce bool }
			if err := f.operate(http.MethodGet, fmt.Sprintf("/admin/v1/versions/%d", version), nil, &reply); err != nil || !reply.InForce {
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

// BenchmarkFailover kills the leader of the account's group and reports how
// long calls fail. The call that was under way counts.
func BenchmarkFailover(b *testing.B) {
	f := newFleetOf(b, 3, 1, 1, false, idleEngine)
	h := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	l := f.newLoad(b, f.entries[0], "/booking/rooms", 1000000)
	b.ResetTimer()
	for range b.N {
		leader := f.leader("1")
		l.call(b)
		f.kill(leader)
		start := time.Now()
		l.next++
		if _, err := f.persist(0, http.MethodPost, fmt.Sprintf("/v1/programs/%s/calls/%d/booking/rooms", l.program, l.next), nil); err != nil {
			b.Fatal(err)
		}
		_ = h.RecordValue(time.Since(start).Microseconds())
		f.start(leader)
		f.healthy(int(leader[len(leader)-1] - '0'))
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
}

// leader returns the control host that leads a group.
func (f *fleet) leader(group string) (name string) {
	const roleLeader = 3
	f.eventually("a leader", func() error {
		for i := range 3 {
			if s, err := f.status(i); err == nil && s[group].Status.Role == roleLeader {
				name = fmt.Sprintf("control-%d", i)
				return nil
			}
		}
		return fmt.Errorf("none")
	})
	return name
}

// BenchmarkHandover stops the leader of the account's group in an orderly way
// and reports how long a call takes that is made at once.
func BenchmarkHandover(b *testing.B) {
	f := newFleetOf(b, 3, 1, 1, false, idleEngine)
	h := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	l := f.newLoad(b, f.entries[0], "/booking/rooms", 1000000)
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
		f.healthy(int(leader[len(leader)-1] - '0'))
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
}
