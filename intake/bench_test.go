package intake_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/banyanspur/banyanspur/intake"
)

// BenchmarkRequest measures the processor time of a small request, its caller included, with and
// without a budget.
func BenchmarkRequest(b *testing.B) {
	for name, budget := range map[string]*intake.Budget{"budget": intake.NewBudget(16 * mib), "none": nil} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			address := l.Addr().String()
			server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if budget == nil {
					_, _ = io.ReadAll(r.Body)
					return
				}
				h := budget.Open("a", func() {})
				defer h.Close()
				if _, err := intake.ReadAll(h, r.Body, r.ContentLength, 4*mib); err != nil {
					b.Error(err)
				}
			})}
			if budget != nil {
				l = intake.Listen(l, budget, func() intake.Limits { return intake.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second} })
				server.ConnState = intake.SetState
			}
			var g errgroup.Group
			g.Go(func() error { return server.Serve(l) })
			defer server.Close()
			c, err := net.Dial("tcp4", address)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			request := "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2000\r\nA: " + strings.Repeat("x", 400) + "\r\n\r\n" + strings.Repeat("b", 2000)
			start := processorTime()
			for b.Loop() {
				_, _ = io.WriteString(c, request)
				if _, err := http.ReadResponse(r, nil); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(processorTime()-start)/float64(b.N), "cpu-ns/op")
		})
	}
}

// processorTime returns the processor time of the process so far.
func processorTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u) // Cannot fail.
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
