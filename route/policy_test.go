package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// TestLowestExpectedTime checks the choice in cases where one target is clearly
// better.
func TestLowestExpectedTime(t *testing.T) {
	policy := route.LowestExpectedTime(route.DefaultCosts)
	idle := route.Candidate{Target: "idle", ReportAge: -1, SameZone: true}
	with := func(change func(*route.Candidate)) route.Candidate {
		c := idle
		change(&c)
		return c
	}
	for _, c := range []struct {
		name   string
		prompt types.Tokens
		list   []route.Candidate
		want   int
	}{
		{"none", 0, nil, -1},
		{"same zone", 0, []route.Candidate{with(func(c *route.Candidate) { c.SameZone = false }), idle}, 1},
		{"own calls", 0, []route.Candidate{with(func(c *route.Candidate) { c.InFlight = 3 }), idle}, 1},
		{"fresh report", 0, []route.Candidate{with(func(c *route.Candidate) { c.Reported, c.ReportAge = 9, 0 }), idle}, 1},
		{"long prefix beats load", 40000, []route.Candidate{idle, with(func(c *route.Candidate) { c.Cached, c.InFlight = 36000, 8 })}, 1},
		{"load beats short prefix", 400, []route.Candidate{idle, with(func(c *route.Candidate) { c.Cached, c.InFlight = 360, 32 })}, 0},
		{"old report is discounted", 0, []route.Candidate{with(func(c *route.Candidate) { c.Reported, c.ReportAge = 9, time.Minute }), with(func(c *route.Candidate) { c.InFlight = 1 })}, 0},
	} {
		got := policy(route.Request{Prompt: c.prompt}, c.list)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestRetryBudget tries to retry every call. The budget must limit retries to a
// tenth of the calls plus the reserve.
func TestRetryBudget(t *testing.T) {
	var b route.RetryBudget
	retries := 0
	for range 1000 {
		b.Earn()
		if b.Spend() {
			retries++
		}
	}
	if retries < 100 || retries > 110 {
		t.Errorf("%d retries for 1000 calls", retries)
	}
}

// BenchmarkLowestExpectedTime selects among the targets of a large service.
func BenchmarkLowestExpectedTime(b *testing.B) {
	for _, n := range []int{18, 200, 600} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			policy := route.LowestExpectedTime(route.DefaultCosts)
			list := make([]route.Candidate, n)
			for i := range list {
				list[i] = route.Candidate{InFlight: i % 7, Reported: i % 11, ReportAge: time.Second}
			}
			for range b.N {
				policy(route.Request{Prompt: 1000}, list)
			}
		})
	}
}
