package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/types"
)

// Candidate is the state of one target as seen by an entry host.
type Candidate struct {
	Target types.TargetID
	// InFlight is the number of this entry host's own calls in flight at the
	// target.
	InFlight int
	// Reported is the number of waiting and running calls of all entry hosts in
	// the target's newest load report.
	Reported int
	// ReportAge is the age of that report; negative if there is none.
	ReportAge time.Duration
	// Slots is how many calls the target runs concurrently; 0 if unknown.
	Slots int
	// CallTime is the moving average of the duration of a call at the target; 0
	// if unknown.
	CallTime time.Duration
	// Cached is the part of the prompt that the target has cached.
	Cached types.Tokens
	// SameZone is true if the target is in the entry host's availability zone.
	SameZone bool
}

// Request holds the properties of a call that a policy uses.
type Request struct {
	// Program identifies the call's program; [Sticky] hashes it.
	Program types.ProgramID
	// Prompt is the size of the prompt.
	Prompt types.Tokens
	// Sequence is the sequence number of the call on its entry host, used by
	// [RoundRobin].
	Sequence uint64
}

// Policy returns the index of the candidate that gets the call, or -1 if there
// are no candidates. It must not modify its arguments.
type Policy func(r Request, c []Candidate) int

// RoundRobin selects the candidates in rotation.
func RoundRobin(r Request, c []Candidate) int {
	if len(c) == 0 {
		return -1
	}
	return int(r.Sequence % uint64(len(c)))
}

// LeastLoaded selects the candidate with the fewest known calls.
func LeastLoaded(_ Request, c []Candidate) int {
	return lowestCost(c, func(t Candidate) float64 { return float64(t.load()) })
}

// Sticky selects a target by rendezvous hashing of program and target, so that a
// program keeps its target while the set of targets does not change.
func Sticky(r Request, c []Candidate) int {
	return lowestCost(c, func(t Candidate) float64 {
		return -float64(xxhash.Sum64String(string(r.Program) + "/" + string(t.Target)))
	})
}

// Costs holds the parameters of [LowestExpectedTime].
type Costs struct {
	// PrefillRate is how many prompt tokens a target prefills per second.
	PrefillRate float64
	// CallTime is used for targets whose average call time is unknown.
	CallTime time.Duration
	// Slots is used for targets whose number of slots is unknown.
	Slots int
	// EvictionFactor is how many evicted tokens of other programs are
	// prefilled again for each token that a call adds to a target's cache. It
	// makes the cost of leaving the target that has the prefix cached include
	// the cost to other programs.
	EvictionFactor float64
	// CrossZonePenalty is added for a target in another availability zone.
	CrossZonePenalty time.Duration
	// ReportHalfLife is the age at which the weight of a load report is one
	// half.
	ReportHalfLife time.Duration
}

// DefaultCosts suits engines that prefill 8,000 prompt tokens per second.
var DefaultCosts = Costs{
	PrefillRate:      8000,
	CallTime:         500 * time.Millisecond,
	Slots:            16,
	EvictionFactor:   3,
	CrossZonePenalty: time.Millisecond,
	ReportHalfLife:   time.Second,
}

// LowestExpectedTime returns the policy that selects the target with the lowest
// expected time: queueing, plus the prefill of uncached tokens, plus the
// cross-zone penalty.
func LowestExpectedTime(costs Costs) Policy {
	return func(r Request, c []Candidate) int {
		return lowestCost(c, func(t Candidate) float64 { return costs.expectedTime(r, t).Seconds() })
	}
}

func (k Costs) expectedTime(r Request, t Candidate) time.Duration {
	return k.queueTime(t) + k.prefillTime(r, t) + k.zonePenalty(t)
}

// queueTime estimates the queueing time as the calls at the target divided by its
// slots, times the call time. It is above 0 even if there are free slots, since
// each call in a batch slows down the others.
func (k Costs) queueTime(t Candidate) time.Duration {
	slots, callTime := t.Slots, t.CallTime
	if slots == 0 {
		slots = k.Slots
	}
	if callTime == 0 {
		callTime = k.CallTime
	}
	return time.Duration(k.estimatedLoad(t) / float64(slots) * float64(callTime))
}

// estimatedLoad estimates the number of calls at the target: the entry host's own
// calls plus those of other hosts in the newest load report, whose weight decays
// exponentially with its age.
func (k Costs) estimatedLoad(t Candidate) float64 {
	if t.ReportAge < 0 {
		return float64(t.InFlight)
	}
	weight := math.Exp2(-t.ReportAge.Seconds() / k.ReportHalfLife.Seconds())
	others := max(0, float64(t.Reported-t.InFlight))
	return float64(t.InFlight) + weight*others
}

func (k Costs) prefillTime(r Request, t Candidate) time.Duration {
	uncached := float64(max(0, r.Prompt-t.Cached)) * (1 + k.EvictionFactor)
	return time.Duration(uncached / k.PrefillRate * float64(time.Second))
}

func (k Costs) zonePenalty(t Candidate) time.Duration {
	if t.SameZone {
		return 0
	}
	return k.CrossZonePenalty
}

func (t Candidate) load() int {
	if t.ReportAge < 0 {
		return t.InFlight
	}
	return max(t.InFlight, t.Reported)
}

// lowestCost returns the index of the candidate with the lowest cost, the first
// one if several are equal, or -1 if there are no candidates.
func lowestCost(c []Candidate, cost func(Candidate) float64) int {
	best, bestCost := -1, math.Inf(1)
	for i, t := range c {
		if x := cost(t); x < bestCost {
			best, bestCost = i, x
		}
	}
	return best
}
