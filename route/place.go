package route

import (
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Option is a target that can run a request, with its state as seen by this
// host.
type Option struct {
	ID types.TargetID
	// SameZone is true if the target is in the zone of this host.
	SameZone bool
	// InFlight is the number of this host's requests in flight at the target.
	InFlight int
	// Running and Waiting are the numbers of requests in the newest load
	// report, and ReportAge is the age of that report.
	Running, Waiting int
	ReportAge        time.Duration
	// InFlightAtReport is the part of Running and Waiting that belongs to this
	// host: the number of its requests in flight when the target reported, or 0
	// if the report excludes them.
	InFlightAtReport int
	// Slots is how many requests the target runs concurrently; 0 if unknown.
	Slots int
	// Cached is how much of the prompt the target is believed to have cached.
	Cached types.Tokens
	// Pace is the target's time per unit of work relative to the median of its
	// service; 1 unless the target is slow, see [SetPaces].
	Pace float64
	// Slowness is the newest slowness that the target has reported, 0 if it has never
	// reported one, and SlownessAge is the age of that report.
	Slowness    Slowness
	SlownessAge time.Duration
	// FinePace is like Pace, but also tells small differences, see [SetFinePaces]; 0 if
	// unknown.
	FinePace float64
	// Memory is the use of the target's memory. Targets that would exceed it are selected
	// only if all would.
	Memory Memory
	// Connected is true if this host has an idle connection to the target.
	Connected bool
	// Failing is true for a while after the target's last requests failed.
	Failing bool
}

// Work describes a request's demand on a target.
type Work struct {
	// Prompt is the size of the prompt; 0 if the service has no engine.
	Prompt types.Tokens
	// Tokens are the prompt and the most that the request may generate; 0 if unknown.
	Tokens types.Tokens
	// AffinityKey is the key of the rendezvous hashing by which all hosts rank the
	// targets in the same order for prompts with the same first part. It is
	// empty if the prompt has no parts.
	AffinityKey string
	// ServiceTime is the typical service time of such a request.
	ServiceTime time.Duration
}

// PlacementCosts holds the parameters by which [Place] estimates the expected time
// of a request on a target.
type PlacementCosts struct {
	// PrefillRate is how many prompt tokens an engine prefills per millisecond.
	PrefillRate float64
	// BatchDelay is the time that each other request running on the engine
	// adds.
	BatchDelay time.Duration
	// PrefillInterference is the multiple of the prefill time that is added for
	// each request running on the engine: a prefill stalls these requests, and
	// the prompts that the engine evicts for it are prefilled again later.
	PrefillInterference float64
	// CachedSamples is how many random targets that have at least half of the
	// prompt cached are compared, besides the one with the most of it cached.
	// If no target has half, it is how many of the first targets in rendezvous
	// order are compared. UncachedSamples is how many random targets with less
	// of the prompt cached are compared. Both draw from this host's zone if it
	// has such targets. One more target is drawn from all zones.
	CachedSamples, UncachedSamples int
	// CrossZonePenalty is added for a target in another zone and accounts for
	// the cost of traffic between zones. It is close to the prefill time of a
	// typical shared prefix: each zone caches such a prefix on its own targets,
	// while a program still returns to the target that has its prompt cached.
	CrossZonePenalty time.Duration
	// RankPenalty is added per rank in the rendezvous order, so that hosts
	// without load or cache information about each other send equal prompts to
	// the same targets.
	RankPenalty time.Duration
	// ConnectCost is added for a target to which a connection would have to be opened.
	ConnectCost time.Duration
	// FailurePenalty is added for a failing target.
	FailurePenalty time.Duration
	// MaxReportAge is the age from which a load report is ignored and only this
	// host's own requests count. With 0 all reports are ignored.
	MaxReportAge time.Duration
	// MaxSlownessAge is the age from which the slowness that a target has reported is
	// ignored. With 0 it is always ignored.
	MaxSlownessAge time.Duration
}

// DefaultPlacementCosts suits engines that prefill a few hundred tokens per
// millisecond.
var DefaultPlacementCosts = PlacementCosts{
	PrefillRate:         160,
	PrefillInterference: 2,
	BatchDelay:          10 * time.Millisecond,
	CachedSamples:       2,
	UncachedSamples:     1,
	CrossZonePenalty:    60 * time.Millisecond,
	RankPenalty:         3 * time.Millisecond,
	ConnectCost:         4 * time.Millisecond,
	FailurePenalty:      2 * time.Second,
	MaxReportAge:        2 * time.Second,
	MaxSlownessAge:      600 * time.Millisecond,
}

// Place returns the index of the option with the lowest expected time, or -1 if
// there are no options. It compares a random sample of the options, drawn with
// intN, which returns a random number in [0, n). If intN is nil or the request
// has no prompt, it compares all options. Of equal options it then selects a random one, so
// that hosts with the same view do not all select the same; otherwise, and if intN is nil,
// the one with the lowest ID.
func Place(options []Option, w Work, p PlacementCosts, intN func(n int) int) int {
	if len(options) == 0 {
		return -1
	}
	if i := leastExcess(options, &w); i >= 0 {
		return i
	}
	best, bestCost, equal := -1, 0.0, 0
	ranks := rendezvousRanks(options, w.AffinityKey)
	consider := func(i int) {
		cost := p.expectedCost(&options[i], &w) + ranks[i]*p.RankPenalty.Seconds()
		switch {
		case best < 0 || cost < bestCost:
			best, bestCost, equal = i, cost, 1
		case cost > bestCost:
		case intN == nil || w.Prompt > 0:
			if options[i].ID < options[best].ID {
				best = i
			}
		default:
			if equal++; intN(equal) == 0 {
				best = i
			}
		}
	}
	if intN == nil || w.Prompt == 0 {
		for i := range options {
			consider(i)
		}
		return best
	}
	for _, i := range p.sampleOptions(options, w, ranks, intN) {
		consider(i)
	}
	return best
}

// QueueTime returns the time that a request is expected to wait for a slot of an option's
// target.
func (p PlacementCosts) QueueTime(o Option, w Work) time.Duration {
	return queueTime(&o, &w, p.estimatedLoad(&o), p.timeFactor(&o))
}

// queueTime returns [PlacementCosts.QueueTime] with the given estimates of the load and of the
// time that work takes.
func queueTime(o *Option, w *Work, load, timeFactor float64) time.Duration {
	excess := load + 1 - float64(o.Slots)
	if o.Slots <= 0 || excess <= 0 {
		return 0
	}
	return time.Duration(min(float64(maxQueueTime), excess/float64(o.Slots)*float64(w.ServiceTime)*timeFactor))
}

// maxQueueTime is the longest time that [PlacementCosts.QueueTime] returns. A target may
// report any number of requests.
const maxQueueTime = time.Hour

// assumedSlots is the number of slots of a target that does not tell it.
const assumedSlots = 4

// minSlowPace is the pace above which a target counts as slow. Smaller
// differences are within the variation between requests.
const minSlowPace = 1.6

// SetPaces sets the pace of each slow option. unitTimes holds the time that each
// option's target takes per unit of work, 0 if unknown; the pace is its ratio to
// the median of the known times. Options that are not slow keep their pace.
func SetPaces(options []Option, unitTimes []float64) {
	median := medianOfKnown(unitTimes)
	if median == 0 {
		return
	}
	for i, u := range unitTimes {
		if pace := u / median; pace > minSlowPace {
			options[i].Pace = pace
		}
	}
}

// AnySlowness reports whether the target of any option has ever reported its slowness.
func AnySlowness(options []Option) bool {
	return slices.ContainsFunc(options, func(o Option) bool { return o.Slowness > 0 })
}

// SetFinePaces sets the fine pace of each option, from the same times as [SetPaces].
func SetFinePaces(options []Option, unitTimes []float64) {
	median := medianOfKnown(unitTimes)
	if median == 0 {
		return
	}
	for i, u := range unitTimes {
		options[i].FinePace = u / median
	}
}

// medianOfKnown returns the median of the positive values, 0 if there are none.
func medianOfKnown(values []float64) float64 {
	known := make([]float64, 0, len(values))
	for _, v := range values {
		if v > 0 {
			known = append(known, v)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// expectedCost returns the time in seconds that a request is expected to take on
// a target in addition to its time on an idle target with its prompt cached.
func (p *PlacementCosts) expectedCost(o *Option, w *Work) float64 {
	load := p.estimatedLoad(o)
	cost := 0.0
	if !o.SameZone {
		cost += p.CrossZonePenalty.Seconds()
	}
	if !o.Connected {
		cost += p.ConnectCost.Seconds()
	}
	if o.Failing || o.excess(w) > 0 {
		cost += p.FailurePenalty.Seconds()
	}
	slowness := p.currentSlowness(o)
	timeFactor := max(1, o.Pace) * slowness
	if w.Prompt > 0 {
		cost += slowness * p.engineCost(o, w, load)
	}
	cost += queueTime(o, w, load, timeFactor).Seconds()
	if w.Prompt == 0 {
		// Calls arrive in bursts, so a short queue forms before all slots are
		// in use.
		slots := o.Slots
		if slots == 0 {
			slots = assumedSlots
		}
		utilization := load / float64(slots)
		cost += slowness * utilization * utilization * w.ServiceTime.Seconds()
	}
	return cost + (timeFactor-1)*w.ServiceTime.Seconds()
}

// timeFactor returns the time that work is expected to take on an option's target,
// relative to the usual time.
func (p *PlacementCosts) timeFactor(o *Option) float64 {
	return max(1, o.Pace) * p.currentSlowness(o)
}

const (
	// minSlowness and maxSlowness bound the slowness and the fine pace of a target. With
	// 0.5, a target attracts more turns than it has slots while others are idle; one that
	// reports a very long time is avoided in any case.
	minSlowness = 0.8
	maxSlowness = 10
)

// currentSlowness returns the expected slowness of an option's target. The weight of its
// last report falls linearly with the age: the older it is, the more likely the target has
// returned to its usual pace.
func (p *PlacementCosts) currentSlowness(o *Option) float64 {
	mean := 1.0
	if o.FinePace > 0 {
		mean = min(max(o.FinePace, minSlowness), maxSlowness)
	}
	if o.Slowness <= 0 || o.SlownessAge < 0 || o.SlownessAge >= p.MaxSlownessAge {
		return mean
	}
	weight := 1 - o.SlownessAge.Seconds()/p.MaxSlownessAge.Seconds()
	return mean + weight*(min(max(float64(o.Slowness), minSlowness), maxSlowness)-mean)
}

// engineCost returns the cost of a request on an engine in seconds, including the
// delay to the requests that run there: a larger batch lengthens each decoding
// step, and the prefill of uncached tokens stalls the whole batch.
func (p *PlacementCosts) engineCost(o *Option, w *Work, load float64) float64 {
	running := load
	if o.Slots > 0 {
		running = min(load, float64(o.Slots))
	}
	prefill := float64(w.Prompt-min(o.Cached, w.Prompt)) / p.PrefillRate / 1000
	return prefill*(1+p.PrefillInterference*running) + running*p.BatchDelay.Seconds()*max(1, o.Pace)
}

// estimatedLoad estimates the number of requests at a target: this host's own
// requests in flight plus those of other hosts in the newest load report, whose
// weight falls linearly with its age.
func (p *PlacementCosts) estimatedLoad(o *Option) float64 {
	own := float64(o.InFlight)
	if o.ReportAge >= p.MaxReportAge || p.MaxReportAge <= 0 {
		return own
	}
	weight := 1 - o.ReportAge.Seconds()/p.MaxReportAge.Seconds()
	others := max(0, float64(o.Running)+float64(o.Waiting)-float64(o.InFlightAtReport))
	return own + weight*others
}
