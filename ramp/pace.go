package ramp

import (
	"math"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// Report is what one host has observed of a target since its last report.
type Report struct {
	// Responses counts the usable responses, and Failures the requests without one.
	// Refusals counts the requests that the target has not run by its own word.
	Responses, Failures, Refusals int
	// UnitSeconds is the time that the target takes for a unit of work, 0 if unknown.
	UnitSeconds float64
}

// Member is a target of a service.
type Member struct {
	ID      types.TargetID
	Service types.ServiceID
}

// Allowed is what a target may get from all hosts together.
type Allowed struct {
	Rate types.PerSecond `json:"rate"`
	// Probe is set while the target is avoided: only requests that may be repeated are
	// sent, to find out whether it answers.
	Probe bool `json:"probe,omitempty"`
}

const (
	// StepInterval is the time between two steps. It is that between two reports of a
	// host, so that each step has a report of each host.
	StepInterval = 300 * time.Millisecond
	// StartRate is the rate at which a target starts. A step takes half a second at this
	// rate, since it needs two responses. A target that has answered probes starts at
	// 1/startShare of its fair share if that is more.
	StartRate  = 4
	startShare = 8
	// minRate is the lowest rate of a target that is not avoided.
	minRate = 1
	// probeRate is the rate of requests to a target that is avoided, which halves with
	// each relapse down to minProbeRate.
	probeRate    = 2
	minProbeRate = 0.5
	// minEvidence is the least number of responses for a step, and evidenceShare the part
	// of what the target was allowed in the time of a step.
	minEvidence   = 2
	evidenceShare = 0.5
	// growth is the factor of a step, and slowGrowth that for a target that is slower than
	// its neighbors and than usual by the factor slowPace. From haltPace on, the rate is
	// halved. usualWeight is the weight of a step in the average of what is usual.
	growth, slowGrowth = 2, 1.5
	slowPace, haltPace = 1.6, 3
	usualWeight        = 0.1
	// maxRefusals is the part of requests that a target may refuse without a lower rate.
	maxRefusals = 0.1
	// endShare is the multiple of the fair share at which the limit ends. A host that
	// prefers an idle target does so below that, so that the end is no step.
	endShare = 2
	// failingShare is the part of requests that fail from which a target is avoided, if
	// minFailures have failed in about evidenceTime, on minFailingHosts hosts. A single
	// host may have lost its own path.
	failingShare    = 0.25
	minFailures     = 3
	minFailingHosts = 2
	evidenceTime    = time.Second
	// maxAvoided is the part of the targets of a service that may be avoided. If more of
	// them fail, the cause is not the target, and the others would be flooded.
	maxAvoided = 0.5
	// maxSilence is how long a target is avoided without any request to it: its service
	// may get none that may be repeated.
	maxSilence = 10 * time.Second
	// maxSound is how long a target without failures and refusals is limited.
	maxSound = 30 * time.Second
	// maxRelapses bounds the relapses that count, and relapseTime is how long they do.
	maxRelapses = 3
	relapseTime = 30 * time.Second
)

// phase is how a target is treated.
type phase uint8

const (
	steady  phase = iota // no limit
	growing              // limited by a rate that grows
	avoided              // probed only
)

// Pace decides on the rate of targets that start or recover, from what all hosts report. The
// zero value is ready to use. It is not safe for concurrent use.
type Pace struct {
	targets   map[types.TargetID]*paced
	steppedAt types.Mono
}

// paced is the state of a target.
type paced struct {
	phase phase
	rate  types.PerSecond
	// since is when the phase began, soundSince when the last failure or refusal was, or
	// the phase began, and heardAt when a report had any request.
	since, soundSince, heardAt types.Mono
	// relapses counts how often the target has failed again, the last time at relapsedAt.
	relapses   int
	relapsedAt types.Mono
	// evidence sums the reports since the last step that changed the rate; step sums
	// those since the last step. unitSum and unitReports are for the mean unit time.
	evidence, step Report
	unitSum        float64
	unitReports    int
	// responses and failures are sums that decay within evidenceTime, and failedAt is when
	// each host last reported a failure.
	responses, failures float64
	failedAt            map[types.HostID]types.Mono
	// unitSeconds is the mean unit time of the last step with a known one, and usual its
	// moving average while the target was steady, 0 if unknown.
	unitSeconds, usual float64
}

func (p *Pace) target(id types.TargetID, now types.Mono) *paced {
	t := p.targets[id]
	if t == nil {
		if p.targets == nil {
			p.targets = map[types.TargetID]*paced{}
		}
		t = &paced{since: now, soundSince: now, heardAt: now, failedAt: map[types.HostID]types.Mono{}}
		p.targets[id] = t
	}
	return t
}

// Observe records a host's report on a target.
func (p *Pace) Observe(id types.TargetID, host types.HostID, r Report, now types.Mono) {
	if r.Responses+r.Failures+r.Refusals <= 0 {
		return
	}
	t := p.target(id, now)
	t.heardAt = now
	t.step.Responses += r.Responses
	t.step.Failures += r.Failures
	t.step.Refusals += r.Refusals
	if r.Failures > 0 {
		t.failedAt[host] = now
	}
	if r.Responses > 0 && r.UnitSeconds > 0 {
		t.unitSum += r.UnitSeconds
		t.unitReports++
	}
}

// Start limits a target that has started or become reachable again, unless it is avoided.
func (p *Pace) Start(id types.TargetID, now types.Mono) {
	if t := p.target(id, now); t.phase == steady {
		t.enter(growing, StartRate, now)
	}
}

// Adopt records what an earlier leader allowed, unless the target is limited already.
func (p *Pace) Adopt(id types.TargetID, a Allowed, now types.Mono) {
	t := p.target(id, now)
	if t.phase != steady {
		return
	}
	if a.Probe {
		t.relapsedAt = max(1, now)
		t.enter(avoided, min(a.Rate, probeRate), now)
		return
	}
	t.enter(growing, max(minRate, a.Rate), now)
}

// Allowed returns what a target may get, and false if it is not limited.
func (p *Pace) Allowed(id types.TargetID) (Allowed, bool) {
	t := p.targets[id]
	if t == nil || t.phase == steady {
		return Allowed{}, false
	}
	return Allowed{Rate: t.rate, Probe: t.phase == avoided}, true
}

// enter begins a phase.
func (t *paced) enter(next phase, rate types.PerSecond, now types.Mono) {
	t.phase, t.rate, t.since, t.soundSince = next, rate, now, now
	t.evidence = Report{}
}

// neighbors is what is known of the targets of a service.
type neighbors struct {
	targets, avoided    int
	responses, failures float64 // within evidenceTime
	units               []float64
}

// fairShare returns the rate of a target if all got the same.
func (n *neighbors) fairShare() types.PerSecond {
	return types.PerSecond(n.responses / evidenceTime.Seconds() / float64(max(1, n.targets)))
}

// medianUnit returns the median of the unit times, 0 if none is known.
func (n *neighbors) medianUnit() float64 {
	if len(n.units) == 0 {
		return 0
	}
	slices.Sort(n.units)
	return n.units[(len(n.units)-1)/2]
}

// Step adjusts the rates once every [StepInterval] and returns the targets whose phase has
// changed. members are all listed targets; others are forgotten.
func (p *Pace) Step(members []Member, now types.Mono) (changed []types.TargetID) {
	elapsed := now.Sub(p.steppedAt)
	if elapsed < StepInterval {
		return nil
	}
	p.steppedAt = now
	decay := math.Exp(-elapsed.Seconds() / evidenceTime.Seconds())
	services := map[types.ServiceID]*neighbors{}
	kept := make(map[types.TargetID]*paced, len(members))
	for _, m := range members {
		n := services[m.Service]
		if n == nil {
			n = &neighbors{}
			services[m.Service] = n
		}
		n.targets++
		if t := p.targets[m.ID]; t != nil {
			kept[m.ID] = t
			t.collect(decay)
			n.add(t)
		}
	}
	p.targets = kept
	for _, m := range members {
		t := p.targets[m.ID]
		if t == nil {
			continue
		}
		before := t.phase
		t.decide(services[m.Service], now)
		if t.phase != before {
			changed = append(changed, m.ID)
		}
	}
	return changed
}

func (n *neighbors) add(t *paced) {
	n.responses += t.responses
	n.failures += t.failures
	switch {
	case t.phase == avoided:
		n.avoided++
	case t.phase == steady && t.unitSeconds > 0:
		n.units = append(n.units, t.unitSeconds)
	}
}

// collect adds the reports since the last step to the sums.
func (t *paced) collect(decay float64) {
	t.responses = t.responses*decay + float64(t.step.Responses)
	t.failures = t.failures*decay + float64(t.step.Failures)
	t.evidence.Responses += t.step.Responses
	t.evidence.Failures += t.step.Failures
	t.evidence.Refusals += t.step.Refusals
	if t.unitReports > 0 {
		t.unitSeconds = t.unitSum / float64(t.unitReports)
		switch {
		case t.phase != steady:
		case t.usual == 0:
			t.usual = t.unitSeconds
		default:
			t.usual += usualWeight * (t.unitSeconds - t.usual)
		}
	}
	t.step, t.unitSum, t.unitReports = Report{}, 0, 0
}

// decide makes one step of a target.
func (t *paced) decide(n *neighbors, now types.Mono) {
	if t.relapses > 0 && now.Sub(t.relapsedAt) > relapseTime {
		t.relapses, t.relapsedAt = 0, 0
	}
	switch {
	case t.phase != avoided && t.failing(n, now) && float64(n.avoided+1) <= maxAvoided*float64(n.targets):
		n.avoided++
		t.avoid(now)
	case t.phase == avoided:
		t.probe(n, now)
	case t.phase == growing:
		t.grow(n, now)
	}
}

// failing reports whether so many requests fail, on several hosts, that the target is to be
// avoided. If its neighbors fail as well, more have to, since the requests may be the cause.
// One failure is enough while it recovers from having been avoided.
func (t *paced) failing(n *neighbors, now types.Mono) bool {
	hosts := 0
	for h, at := range t.failedAt {
		if now.Sub(at) > evidenceTime+StepInterval {
			delete(t.failedAt, h)
			continue
		}
		hosts++
	}
	if t.phase == growing && t.relapsedAt > 0 && t.evidence.Failures > 0 {
		return true
	}
	others := 0.0
	if sum := n.failures + n.responses - t.failures - t.responses; sum > 0 {
		others = (n.failures - t.failures) / sum
	}
	return hosts >= minFailingHosts && t.failures >= minFailures && t.failures >= (failingShare+others)*(t.failures+t.responses)
}

// avoid begins to avoid the target. Each relapse makes probes rarer.
func (t *paced) avoid(now types.Mono) {
	if t.relapsedAt > 0 {
		t.relapses = min(t.relapses+1, maxRelapses)
	}
	t.relapsedAt = max(1, now)
	t.enter(avoided, max(minProbeRate, types.PerSecond(probeRate/math.Pow(2, float64(t.relapses)))), now)
	t.responses, t.failures = 0, 0
}

// probe ends the avoidance once enough requests in succession were answered: two, and twice
// as many after each relapse.
func (t *paced) probe(n *neighbors, now types.Mono) {
	switch {
	case t.evidence.Failures > 0 || t.evidence.Refusals > 0:
		t.evidence = Report{}
	case t.evidence.Responses >= minEvidence<<t.relapses:
		t.failures = 0
		t.enter(growing, t.start(n), now)
	case now.Sub(max(t.since, t.heardAt)) > maxSilence:
		t.failures = 0
		t.enter(growing, minRate, now)
	}
}

// start returns the rate at which the target begins to grow.
func (t *paced) start(n *neighbors) types.PerSecond {
	return max(StartRate, n.fairShare()/startShare) / types.PerSecond(int(1)<<t.relapses)
}

// slowness returns the target's unit time relative to its neighbors or to its own past,
// whichever is lower: a machine may always be slower than others.
func (t *paced) slowness(n *neighbors) float64 {
	median := n.medianUnit()
	if median <= 0 || t.unitSeconds <= 0 {
		return 1
	}
	slowness := t.unitSeconds / median
	if t.usual > 0 {
		slowness = min(slowness, t.unitSeconds/t.usual)
	}
	return slowness
}

// grow raises the rate if the target answers as it should, and halves it otherwise.
func (t *paced) grow(n *neighbors, now types.Mono) {
	pace := t.slowness(n)
	e := t.evidence
	unsound := e.Failures > 0 || float64(e.Refusals) > maxRefusals*float64(e.Responses)
	if unsound {
		t.soundSince = now
	}
	switch {
	case now.Sub(t.soundSince) > maxSound:
		t.enter(steady, 0, now)
	case unsound || pace > haltPace && e.Responses > 0:
		t.rate, t.evidence = max(minRate, t.rate/2), Report{}
	case float64(e.Responses) < max(minEvidence, evidenceShare*float64(t.rate)*StepInterval.Seconds()):
	case t.rate > max(StartRate, endShare*n.fairShare()):
		t.enter(steady, 0, now)
	case pace > slowPace:
		t.rate, t.evidence = t.rate*slowGrowth, Report{}
	default:
		t.rate, t.evidence = t.rate*growth, Report{}
	}
}

// allowedBurst is the time whose requests may be sent at once.
const allowedBurst = 250 * time.Millisecond

// Limit returns the limit of all hosts together.
func (a Allowed) Limit() limit.Limit {
	return limit.Limit{Rate: a.Rate, Burst: max(1, int(float64(a.Rate)*allowedBurst.Seconds()))}
}
