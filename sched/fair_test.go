package sched_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/sched"
	"github.com/banyanspur/banyanspur/types"
)

// TestFairShare checks priorities after one account was served eight times as much
// as another, after a half-life, and after the service has decayed.
func TestFairShare(t *testing.T) {
	var f sched.FairShare[string]
	priorities := func(now types.Mono) []int {
		return []int{f.Priority("large", now), f.Priority("small", now), f.Priority("new", now)}
	}
	if diff := cmp.Diff([]int{0, 0, 0}, priorities(0)); diff != "" {
		t.Errorf("before any service (-want +got):\n%s", diff)
	}
	f.AddUsage("large", 8000, 0)
	f.AddUsage("small", 1000, 0)
	if diff := cmp.Diff([]int{-2, 4, 8}, priorities(0)); diff != "" {
		t.Errorf("after unequal service (-want +got):\n%s", diff)
	}
	f.AddUsage("small", 8000, types.Mono(30*time.Second))
	if diff := cmp.Diff([]int{1, -1, 8}, priorities(types.Mono(30*time.Second))); diff != "" {
		t.Errorf("after a half-life (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{0, 0, 0}, priorities(types.Mono(time.Hour))); diff != "" {
		t.Errorf("after an hour (-want +got):\n%s", diff)
	}
}
