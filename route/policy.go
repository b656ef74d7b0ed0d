package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/types"
)

// Candidate is what an entry host knows of one target.
type Candidate struct {
	Target types.TargetID
	// InFlight is the number of this entry host's own calls at the target.
	InFlight int
	// Reported is the number of calls that the target last reported, waiting
	// and running, from all entry hosts.
	Reported int
	// ReportAge is how old that report is. Negative means that there is none.
	ReportAge time.Duration
	// Slots is how many calls the target runs at once; 0 if unknown.
	Slots int
	// CallTime is the average time of a call at this target; 0 if unknown.
	CallTime time.Duration
	// Cached is the part of the prompt that the target has cached.
	Cached types.Tokens
	// SameZone is set if the target is in the entry host's availability zone.
	SameZone bool
}

// Request is what is known of the call.
type Request struct {
	// Program is hashed by [Sticky].
	Program types.ProgramID
	// Prompt is the size of the prompt.
	Prompt types.Tokens
	// Turn counts the calls of an entry host, for [RoundRobin].
	Turn uint64
}

// Policy returns the index of the target to take, or -1 if there is no
// candidate. It must not change its arguments.
type Policy func(r Request, c []Candidate) int

// RoundRobin takes the targets in turn.
func RoundRobin(r Request, c []Candidate) int {
	if len(c) == 0 {
		return -1
	}
	return int(r.Turn % uint64(len(c)))
}

// LeastLoaded takes the target with the fewest calls, as far as known.
func LeastLoaded(_ Request, c []Candidate) int {
	return lowest(c, func(t Candidate) float64 { return float64(t.load()) })
}

// Sticky takes the target with the highest hash of program and target, so that
// a program stays where it is while the targets stay the same.
func Sticky(r Request, c []Candidate) int {
	return lowest(c, func(t Candidate) float64 {
		return -float64(xxhash.Sum64String(string(r.Program) + "/" + string(t.Target)))
	})
}

// Costs are the constants of [Expected].
type Costs struct {
	// PrefillRate is how many prompt tokens a target computes in a second.
	PrefillRate float64
	// CallTime stands in for a target's average while that is unknown.
	CallTime time.Duration
	// Slots stands in for a target's number of slots while that is unknown.
	Slots int
	// Displaced is how many tokens of other programs are computed again for
	// each token that a call adds to a target's cache. It makes leaving the
	// target that holds the prefix as dear as it is for the fleet.
	Displaced float64
	// ZoneTime is what it costs to leave the availability zone.
	ZoneTime time.Duration
	// ReportLife is the age at which a report of load counts half.
	ReportLife time.Duration
}

// DefaultCosts suit engines that compute 8,000 prompt tokens a second.
var DefaultCosts = Costs{
	PrefillRate: 8000,
	CallTime:    500 * time.Millisecond,
	Slots:       16,
	Displaced:   3,
	ZoneTime:    time.Millisecond,
	ReportLife:  time.Second,
}

// Expected returns the policy that takes the target with the lowest expected
// time: waiting, plus computing what is not cached, plus the way there.
func Expected(costs Costs) Policy {
	return func(r Request, c []Candidate) int {
		return lowest(c, func(t Candidate) float64 { return costs.expected(r, t).Seconds() })
	}
}

func (k Costs) expected(r Request, t Candidate) time.Duration {
	return k.waiting(t) + k.prefill(r, t) + k.distance(t)
}

// waiting spreads the calls ahead over the target's slots. Even a target with
// free slots is slowed by each call that it batches.
func (k Costs) waiting(t Candidate) time.Duration {
	slots, callTime := t.Slots, t.CallTime
	if slots == 0 {
		slots = k.Slots
	}
	if callTime == 0 {
		callTime = k.CallTime
	}
	return time.Duration(k.ahead(t) / float64(slots) * float64(callTime))
}

// ahead is the number of calls at the target. A report is trusted the less the
// older it is; the entry host's own calls are known.
func (k Costs) ahead(t Candidate) float64 {
	if t.ReportAge < 0 {
		return float64(t.InFlight)
	}
	trust := math.Exp2(-t.ReportAge.Seconds() / k.ReportLife.Seconds())
	others := max(0, float64(t.Reported-t.InFlight))
	return float64(t.InFlight) + trust*others
}

func (k Costs) prefill(r Request, t Candidate) time.Duration {
	missing := float64(max(0, r.Prompt-t.Cached)) * (1 + k.Displaced)
	return time.Duration(missing / k.PrefillRate * float64(time.Second))
}

func (k Costs) distance(t Candidate) time.Duration {
	if t.SameZone {
		return 0
	}
	return k.ZoneTime
}

func (t Candidate) load() int {
	if t.ReportAge < 0 {
		return t.InFlight
	}
	return max(t.InFlight, t.Reported)
}

// lowest returns the index of the candidate with the lowest cost; the first of
// several.
func lowest(c []Candidate, cost func(Candidate) float64) int {
	best, bestCost := -1, math.Inf(1)
	for i, t := range c {
		if x := cost(t); x < bestCost {
			best, bestCost = i, x
		}
	}
	return best
}
