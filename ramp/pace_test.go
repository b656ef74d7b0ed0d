package ramp_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/types"
)

// release replaces half of the targets after 5 s and returns how many.
func release(s *sim) (replaced int) {
	replaced = simTargets / 2
	s.unlisted = replaced
	s.run(startedAt)
	s.unlisted = 0
	for i := range replaced {
		s.pace.Start(targetID(i), s.now)
		for h := range s.hosts { // Hosts get the list and the limits that come with it.
			s.hosts[h].allowed[targetID(i)], _ = s.pace.Allowed(targetID(i))
		}
	}
	return replaced
}

// startedAt is when targets start in [release].
const startedAt = 5 * time.Second

// TestStartedTargetsAreNotFlooded guards against a target that gets more than its fair share
// as soon as it starts, since it is idle: in a release that replaces half of a service, and
// as it returns after a crash of 2 s, which must not cost each host several requests. It must
// have most of its share after 5 s.
func TestStartedTargetsAreNotFlooded(t *testing.T) {
	crash := func(s *sim) (replaced int) {
		s.fails = downBetween(startedAt-2*time.Second, startedAt)
		s.run(startedAt)
		return 1
	}
	for name, start := range map[string]func(*sim) int{"release": release, "crash": crash} {
		play := func(paced bool) (first, later, failed int) {
			s := newSim(paced, downBetween(0, 0))
			replaced := start(s)
			s.run(startedAt + 8*time.Second)
			for i := range replaced {
				first = max(first, s.between(i, startedAt, startedAt+time.Second))
				later += s.between(i, startedAt+5*time.Second, startedAt+8*time.Second)
			}
			return first, later / replaced, s.failed
		}
		const allowedFailures = simHosts + 4 // Each host may find it out once, and two probes per second.
		first, later, failed := play(true)
		if first > fairShare || later < fairShare*3*7/10 || failed > allowedFailures {
			t.Errorf("%s: a started target got %d requests in its first second and %d in 3 s from 5 s on, and %d failed, want at most %d, at least %d, at most %d", name, first, later, failed, fairShare, fairShare*3*7/10, allowedFailures)
		}
		todayFirst, _, todayFailed := play(false)
		if todayFirst <= fairShare && todayFailed <= allowedFailures {
			t.Errorf("%s: with a backoff of each host, a started target got %d requests in its first second, and %d failed, so that this test shows nothing", name, todayFirst, todayFailed)
		}
		t.Logf("%s: %d requests in the first second, %d with a backoff of each host; %d from 5 s to 8 s; %d and %d failed", name, first, todayFirst, later, failed, todayFailed)
	}
}

// TestPaceWithoutLeader guards against targets that are flooded, or limited for ever, as the
// leader that limits them is lost half a second after their start: for a second, and for 10 s,
// in which hosts decide by themselves after 4 s. The next leader knows what hosts report.
func TestPaceWithoutLeader(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 10 * time.Second} {
		s := newSim(true, downBetween(0, 0))
		replaced := release(s)
		s.run(startedAt + 500*time.Millisecond)
		s.leader = false
		s.run(startedAt + 500*time.Millisecond + silence)
		s.replaceLeader()
		end := startedAt + silence + 8*time.Second
		s.run(end)
		first, later := 0, 0
		for i := range replaced {
			first = max(first, s.between(i, startedAt, startedAt+2*time.Second))
			later += s.between(i, end-3*time.Second, end)
		}
		if later /= replaced; first > fairShare || later < fairShare*3*7/10 {
			t.Errorf("without a leader for %v, a started target got %d requests in its first two seconds and %d in the last 3 s, want at most %d and at least %d", silence, first, later, fairShare, fairShare*3*7/10)
		}
		if silence > 9*time.Second {
			if n := s.between(0, startedAt+5*time.Second, startedAt+10*time.Second); n < fairShare*5/2 {
				t.Errorf("without a leader, a target that has started got %d requests from the 5th to the 10th second", n)
			}
		}
	}
}

// TestFailingTargetIsAvoided guards against targets that cost requests for as long as they
// fail: one that is down and up every 1.4 s, one that fails 45% of its requests while its
// health check is good, and one whose health response lies. Each host may find it out once,
// and two probes per second are allowed, of requests that may be repeated. With a backoff of
// each host, more requests fail.
func TestFailingTargetIsAvoided(t *testing.T) {
	const duration = 30 * time.Second
	allowed := simHosts + int(2*duration.Seconds())
	for name, fails := range map[string]func(int, time.Duration) float64{
		"flapping": func(i int, now time.Duration) float64 {
			if i == 0 && now/(1400*time.Millisecond)%2 == 1 {
				return 1
			}
			return 0
		},
		"failing 45%": func(i int, _ time.Duration) float64 {
			if i == 0 {
				return 0.45
			}
			return 0
		},
		"lying health response": downBetween(time.Second, time.Hour),
	} {
		play := func(paced bool) *sim {
			s := newSim(paced, fails)
			s.run(duration)
			return s
		}
		s, today := play(true), play(false)
		if s.failed > allowed || s.probedUnsafe > 0 {
			t.Errorf("%s: %d requests failed in %v, %d are allowed; %d were probes that must not be repeated", name, s.failed, duration, allowed, s.probedUnsafe)
		}
		if today.failed <= allowed {
			t.Errorf("%s: with a backoff of each host, %d requests failed, so that this test shows nothing", name, today.failed)
		}
		t.Logf("%s: %d requests failed, %d with a backoff of each host; %d and %d must not be repeated", name, s.failed, today.failed, s.unsafe, today.unsafe)
	}
}

// TestNeighborsFailAsWell guards against targets that are avoided for the requests that they
// get: if a fifth of the requests fails on every target, or all of them, the others would have
// to carry what the avoided ones do not.
func TestNeighborsFailAsWell(t *testing.T) {
	for _, probability := range []float64{0.25, 1} {
		s := newSim(true, func(int, time.Duration) float64 { return probability })
		s.run(10 * time.Second)
		avoided := 0
		for _, m := range s.members {
			if a, _ := s.pace.Allowed(m.ID); a.Probe {
				avoided++
			}
		}
		if allowed := simTargets / 10; avoided > allowed {
			t.Errorf("%d of %d targets are avoided while %.0f%% of the requests fail on all of them, want at most %d", avoided, simTargets, 100*probability, allowed)
		}
	}
}

// steps makes steps of a service with one paced target and neighbors that answer 20 requests
// per second within 50 ms, while the target gives one report per step on each of two hosts.
func steps(p *ramp.Pace, now *types.Mono, n int, r ramp.Report) {
	members := []ramp.Member{{ID: "t0", Service: "s"}}
	for i := 1; i < 4; i++ {
		members = append(members, ramp.Member{ID: targetID(i), Service: "s"})
	}
	for range n {
		*now = now.Add(ramp.StepInterval)
		for _, host := range []types.HostID{"entry-1", "entry-2"} {
			for _, m := range members[1:] {
				p.Observe(m.ID, host, ramp.Report{Responses: 3, UnitSeconds: 0.05}, *now)
			}
			p.Observe("t0", host, r, *now)
		}
		p.Step(members, *now)
	}
}

// TestPaceFollowsEvidence guards against a rate that grows without responses or while the
// target refuses, fails or is slow, and against a limit or an avoidance without end: no
// request may come that shows anything.
func TestPaceFollowsEvidence(t *testing.T) {
	sound := ramp.Report{Responses: 3, UnitSeconds: 0.05}
	start := func(p *ramp.Pace, now types.Mono) { p.Start("t0", now) }
	avoid := func(p *ramp.Pace, now types.Mono) { p.Adopt("t0", ramp.Allowed{Rate: 2, Probe: true}, now) }
	type outcome struct {
		Allowed ramp.Allowed
		Limited bool
	}
	limited := func(rate types.PerSecond, probe bool) outcome {
		return outcome{ramp.Allowed{Rate: rate, Probe: probe}, true}
	}
	for name, c := range map[string]struct {
		begin  func(*ramp.Pace, types.Mono)
		report ramp.Report
		steps  int
		want   outcome
	}{
		// The unit time before the start is 0.05 s.
		"sound":                    {start, sound, 2, limited(16, false)},
		"sound, the end":           {start, sound, 20, outcome{}},
		"no requests":              {start, ramp.Report{}, 20, limited(4, false)},
		"refuses":                  {start, ramp.Report{Responses: 3, Refusals: 1, UnitSeconds: 0.05}, 1, limited(2, false)},
		"fails":                    {start, ramp.Report{Responses: 9, Failures: 1, UnitSeconds: 0.05}, 2, limited(1, false)},
		"fails mostly":             {start, ramp.Report{Responses: 1, Failures: 3}, 2, limited(2, true)},
		"slow":                     {start, ramp.Report{Responses: 3, UnitSeconds: 0.1}, 2, limited(9, false)},
		"very slow":                {start, ramp.Report{Responses: 3, UnitSeconds: 0.5}, 1, limited(2, false)},
		"very slow, the end":       {start, ramp.Report{Responses: 3, UnitSeconds: 0.5}, 105, outcome{}},
		"probes answered":          {avoid, sound, 1, limited(4, false)},
		"probes not answered":      {avoid, ramp.Report{Failures: 1}, 200, limited(2, true)},
		"probes refused":           {avoid, ramp.Report{Responses: 1, Refusals: 1}, 50, limited(2, true)},
		"avoided without requests": {avoid, ramp.Report{}, 35, limited(1, false)},
	} {
		var p ramp.Pace
		now := types.Mono(time.Second)
		steps(&p, &now, 20, ramp.Report{Responses: 3, UnitSeconds: 0.05})
		c.begin(&p, now)
		steps(&p, &now, c.steps, c.report)
		var got outcome
		got.Allowed, got.Limited = p.Allowed("t0")
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: allowed after %d steps (-want +got):\n%s", name, c.steps, diff)
		}
	}
}

// TestSlowMachineRecovers guards against a target that is limited for longer than others as it
// is always slower than its neighbors.
func TestSlowMachineRecovers(t *testing.T) {
	var p ramp.Pace
	now := types.Mono(time.Second)
	slow := ramp.Report{Responses: 3, UnitSeconds: 0.17}
	steps(&p, &now, 20, slow)
	p.Start("t0", now)
	steps(&p, &now, 2, slow)
	got, _ := p.Allowed("t0")
	if diff := cmp.Diff(ramp.Allowed{Rate: 16}, got); diff != "" {
		t.Errorf("allowed after two steps (-want +got):\n%s", diff)
	}
}
