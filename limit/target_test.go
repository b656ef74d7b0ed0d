package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// newLimitedTarget simulates a target that names a limit to the given number of hosts.
func newLimitedTarget(rate types.PerSecond, hosts int) *limitedAccount {
	target := &limitedAccount{limit: limit.TargetLimit(rate), holders: map[limit.Holder]*limit.Share{}, perRequest: true, hosts: hosts}
	target.replaceIssuer()
	return target
}

// mostIn returns the largest number of requests in a time window.
func (acct *limitedAccount) mostIn(window time.Duration) int {
	most, first := 0, 0
	for i, at := range acct.admittedAt {
		for at.Sub(acct.admittedAt[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestTargetLimitHoldsWithoutIssuer guards against a target that gets more than one and
// a half times its limit and 5 requests in 4 s: eight hosts send as much as they can
// while the issuer falls silent for all of them, replies are lost, and issuers are
// replaced.
func TestTargetLimitHoldsWithoutIssuer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, window = 8, 4 * time.Second
		rate := types.PerSecond(rapid.Float64Range(0.1, 30).Draw(t, "rate"))
		target := newLimitedTarget(rate, hosts)
		silentUntil := types.Mono(0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			target.now = target.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 60).Draw(t, "what") {
			case 0:
				target.replaceIssuer()
			case 1:
				silentUntil = target.now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(t, "silence")) * time.Millisecond)
			}
			for h := range hosts {
				holder := limit.Holder(fmt.Sprintf("host-%d/0", h))
				if target.now >= silentUntil {
					target.renew(holder, 1, rapid.IntRange(0, 20).Draw(t, "loss") == 0)
				}
				for target.take(holder) {
				}
			}
		}
		allowed := 1.5*max(0.25, float64(rate))*window.Seconds() + 5
		if most := target.mostIn(window); float64(most) > allowed {
			t.Fatalf("%d requests in %v with a limit of %v per second, %.1f are allowed", most, window, rate, allowed)
		}
	})
}

// TestTargetLimitIsUsedWithoutIssuer guards against capacity that is lost while control
// hosts are down: hosts whose part of a limit is less than one request per second, and
// which so have no bucket of their own, must send some of the requests that the limit
// allows, within the time for which allotments are valid.
func TestTargetLimitIsUsedWithoutIssuer(t *testing.T) {
	const hosts = 8
	target := newLimitedTarget(3, hosts)
	target.now = target.now.Add(10 * time.Second)
	for h := range hosts {
		holder := limit.Holder(fmt.Sprintf("host-%d/0", h))
		target.renew(holder, 0, false)
		target.renew(holder, 0, false)
	}
	silentAt := target.now
	sent := 0
	for target.now.Sub(silentAt) < limit.AllotmentTime {
		target.now = target.now.Add(20 * time.Millisecond)
		for h := range hosts {
			if target.take(limit.Holder(fmt.Sprintf("host-%d/0", h))) {
				sent++
			}
		}
	}
	// Half of 3 per second, from 0.4 s to 3 s, and one.
	if sent < 3 || sent > 5 {
		t.Errorf("%d requests were sent while the issuer was silent, want 3 to 5", sent)
	}
}

// TestNewestNoticeCounts guards against a limit that is kept after it was lifted, or
// lifted by a response that is older than the one that named it.
func TestNewestNoticeCounts(t *testing.T) {
	var n limit.Notices
	at := func(ms int) types.Mono { return types.Mono(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		notice limit.Notice
		want   bool // the limit has changed
	}{
		{limit.Notice{Lifted: true, At: at(5)}, false}, // There is no limit to lift.
		{limit.Notice{Rate: 3, At: at(20)}, true},
		{limit.Notice{Lifted: true, At: at(10)}, false}, // Older.
		{limit.Notice{Rate: 3, At: at(30)}, false},
		{limit.Notice{Lifted: true, At: at(40)}, true},
		{limit.Notice{Rate: 3, At: at(35)}, false}, // Older.
		{limit.Notice{Rate: 2, At: at(50)}, true},
	} {
		if diff := cmp.Diff(c.want, n.Add("t1", c.notice)); diff != "" {
			t.Errorf("change by %+v (-want +got):\n%s", c.notice, diff)
		}
	}
	changed, revision := n.Since(0)
	if diff := cmp.Diff(map[types.TargetID]limit.Notice{"t1": {Rate: 2, At: at(50)}}, changed); diff != "" {
		t.Errorf("notices (-want +got):\n%s", diff)
	}
	n.Add("t1", limit.Notice{Rate: 2, At: at(60)})
	if again, _ := n.Since(revision); len(again) > 0 {
		t.Errorf("an unchanged limit is distributed again: %+v", again)
	}
	n.Expire(at(60).Add(limit.NoticeTime + 1))
	if _, ok := n.Get("t1"); ok {
		t.Error("an expired notice still counts")
	}
}

// TestLowTargetLimitIsUsed guards against limits so low that neither a holder's bucket
// nor the issuer's can hold a token: one host asks for far more than the limit.
func TestLowTargetLimitIsUsed(t *testing.T) {
	for _, rate := range []types.PerSecond{0.5, 1, 1.5, 4} {
		target := newLimitedTarget(rate, 8)
		const duration = 20 * time.Second
		for target.now < types.Mono(duration) {
			target.now = target.now.Add(20 * time.Millisecond)
			for range 5 {
				if !target.take("host-1/0") {
					target.renew("host-1/0", 1, false)
					target.take("host-1/0")
				}
			}
		}
		if n, want := len(target.admittedAt), 0.9*float64(rate)*duration.Seconds(); float64(n) < want-2 {
			t.Errorf("%d requests were sent in %v with a limit of %v per second, want at least %.0f", n, duration, rate, want)
		}
	}
}

// TestLowPrecedenceLeavesReserve guards against new programs that use up a target's
// limit, so that the programs whose prompts it has cached have to move: half of the
// issuer's bucket is kept for the latter.
func TestLowPrecedenceLeavesReserve(t *testing.T) {
	target := newLimitedTarget(11, 2)
	for range 2 { // The first one fills the bucket of a new issuer, which is half as large.
		target.now = target.now.Add(10 * time.Second)
		target.renew("host-3/0", 0, false)
	}
	low, high := &limit.Share{}, &limit.Share{}
	d := low.Demand("host-1/0", 0, target.now)
	d.Low = 20
	low.Apply(target.issuer.Renew(d, target.now), target.now, target.now)
	high.Apply(target.issuer.Renew(high.Demand("host-2/0", 20, target.now), target.now), target.now, target.now)
	count := func(take func(types.Mono) bool) (n int) {
		for take(target.now) {
			n++
		}
		return n
	}
	if diff := cmp.Diff([]int{0, 6, 5}, []int{count(low.Take), count(low.TakeLow), count(high.Take)}); diff != "" {
		t.Errorf("requests admitted: of the first host with high and with low precedence, of the second host with high precedence (-want +got):\n%s", diff)
	}
}
