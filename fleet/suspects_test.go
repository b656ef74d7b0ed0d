package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/poison"
	"github.com/banyanspur/banyanspur/types"
)

// crashReports returns the reports of a request that ended n targets, one after the
// other, the last one a second ago.
func crashReports(f types.Fingerprint, n int) []fleet.CrashReport {
	var reports []fleet.CrashReport
	for i := range n {
		ago := time.Duration(n-i) * time.Second
		reports = append(reports, fleet.CrashReport{
			Fingerprint: f, Attempt: types.AttemptID(ago.String()), Target: types.TargetID(ago.String()), Zone: "zone-a", SentAgo: ago + 100*time.Millisecond, EndedAgo: ago,
		})
	}
	return reports
}

// suspectLists returns the lists of a reply, which must contain them.
func suspectLists(t *testing.T, s *fleet.Suspects) [2][]types.Fingerprint {
	t.Helper()
	if s == nil {
		t.Fatal("the reply has no list of suspects")
	}
	return [2][]types.Fingerprint{s.Poisonous, s.Watched}
}

// TestQuarantineReachesAllHosts guards against a poison request that is refused only by
// the host, or only under the leader, that has seen its crashes: two hosts see three
// crashes together, a third host receives the verdict, also from the next leader, and a
// completion ends it.
func TestQuarantineReachesAllHosts(t *testing.T) {
	f := newFleet(t, 3)
	f.runAll()
	c, peers := f.client("entry-1")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	reports := crashReports("p", poison.Threshold)
	exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-1", Crashes: reports[:1]})
	exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-1", Crashes: reports[:1]}) // The reply to the first was lost.
	second := exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-2", Crashes: reports[1:2]})
	if diff := cmp.Diff([2][]types.Fingerprint{nil, {"p"}}, suspectLists(t, second.Suspects)); diff != "" {
		t.Errorf("poisonous and watched after two crashes (-want +got):\n%s", diff)
	}
	exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-2", Crashes: reports[2:], SuspectsChecksum: second.Suspects.Checksum})
	var third fleet.LoadsReply
	waitFor(t, "the verdict on a third host", func() bool {
		third = exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-3", SuspectsChecksum: second.Suspects.Checksum})
		return third.Suspects != nil
	})
	if diff := cmp.Diff([2][]types.Fingerprint{{"p"}, nil}, suspectLists(t, third.Suspects)); diff != "" {
		t.Errorf("poisonous and watched after three crashes (-want +got):\n%s", diff)
	}
	f.waitForVoters(peers, 3, f.controls...)
	for _, p := range f.controls {
		p.stop()
	}
	f.runAll()
	restarted := exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-3"})
	if diff := cmp.Diff([2][]types.Fingerprint{{"p"}, nil}, suspectLists(t, restarted.Suspects)); diff != "" {
		t.Errorf("poisonous and watched after a restart of all control hosts (-want +got):\n%s", diff)
	}
	exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-3", Completed: []types.Fingerprint{"p"}, SuspectsChecksum: restarted.Suspects.Checksum})
	var last fleet.LoadsReply
	waitFor(t, "the end of the quarantine", func() bool {
		last = exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-1", SuspectsChecksum: restarted.Suspects.Checksum})
		return last.Suspects != nil
	})
	if diff := cmp.Diff([2][]types.Fingerprint{nil, nil}, suspectLists(t, last.Suspects)); diff != "" {
		t.Errorf("poisonous and watched after the completion (-want +got):\n%s", diff)
	}
}

// TestCopiesOnSeveralHostsAreQuarantined guards against missing a request whose copies crash
// three targets at the same time, each seen by another host.
func TestCopiesOnSeveralHostsAreQuarantined(t *testing.T) {
	f := newFleet(t, 3)
	f.runAll()
	c, _ := f.client("entry-1")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	endedAt := time.Now().Add(-100 * time.Millisecond)
	report := func() { // Again with each exchange, as hosts do for a new leader.
		for _, host := range []types.HostID{"entry-1", "entry-2", "entry-3"} {
			ago := time.Since(endedAt)
			exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: host, Crashes: []fleet.CrashReport{{
				Fingerprint: "p", Attempt: types.AttemptID(host), Target: types.TargetID("t-" + host), Zone: "zone-a", SentAgo: ago + 20*time.Millisecond, EndedAgo: ago,
			}}})
		}
	}
	waitFor(t, "the verdict", func() bool {
		report()
		reply := exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-4"})
		return reply.Suspects != nil && cmp.Equal([]types.Fingerprint{"p"}, reply.Suspects.Poisonous)
	})
}

// TestQuarantineExpires guards against a quarantine that lasts forever, and one that
// grows without bound.
func TestQuarantineExpires(t *testing.T) {
	var m fleet.Machine
	m.Apply(1, fleet.Command{Quarantine: &fleet.Quarantine{Add: []types.Fingerprint{"b", "a"}}})
	m.Apply(types.LogTime(time.Minute), fleet.Command{Quarantine: &fleet.Quarantine{Add: []types.Fingerprint{"a", "c"}}})
	for at, want := range map[time.Duration][]types.Fingerprint{
		time.Minute:                            {"a", "b", "c"},
		poison.QuarantineTime + 30*time.Second: {"c"},
		poison.QuarantineTime + 2*time.Minute:  nil,
	} {
		if diff := cmp.Diff(want, m.Quarantined(types.LogTime(at))); diff != "" {
			t.Errorf("after %v (-want +got):\n%s", at, diff)
		}
	}
	for i := range 5000 {
		at := types.LogTime(poison.QuarantineTime) + types.LogTime(i)
		m.Apply(at, fleet.Command{Quarantine: &fleet.Quarantine{Add: []types.Fingerprint{types.Fingerprint(time.Duration(i).String())}}})
	}
	if n := len(m.Quarantined(types.LogTime(poison.QuarantineTime) + 5000)); n != 4096 {
		t.Errorf("%d requests are in quarantine, at most 4096 may", n)
	}
}
