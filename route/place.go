package route

import (
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Option is a target that may run a request.
type Option struct {
	ID types.TargetID
	// SameZone is set if the target is in the zone of this host.
	SameZone bool
	// Own is how many requests of this host are under way there.
	Own int
	// Running and Waiting are what the target last told of itself, and Age how
	// long ago that was.
	Running, Waiting int
	Age              time.Duration
	// OwnThen is what Own was when the target told.
	OwnThen int
	// Slots is how many requests the target runs at once; 0 if unknown.
	Slots int
	// Held is how much of the prompt this host believes the target to hold.
	Held types.Tokens
	// Pace is how much slower the target is than its service's usual; 1 is
	// usual.
	Pace float64
	// Failing is set while the target's last answers were failures.
	Failing bool
}

// Work is what a request asks of a target.
type Work struct {
	// Prompt is the size of the prompt; 0 for plain services.
	Prompt types.Tokens
	// Home spreads prompts that share their first part: all hosts rank the
	// targets alike for it. It is empty if nothing is shared.
	Home string
	// Service is how long such a request usually takes.
	Service time.Duration
}

// Prices turn what is known of a target into expected time.
type Prices struct {
	// PrefillRate is how many prompt tokens an engine reads in a millisecond.
	PrefillRate float64
	// Neighbour is what each request that an engine runs beside this one adds
	// to its time.
	Neighbour time.Duration
	// Stall is how many times the reading of a prompt counts for each request that
	// runs on the engine: it stands still meanwhile, and what the engine drops to
	// make room is read again later.
	Stall float64
	// Holders is how many random ones of the targets are looked at that hold most
	// of a prompt, besides the one that holds most of it, and Others how many of
	// those that do not; those of the own zone come first. One more is drawn from
	// all zones.
	Holders, Others int
	// OtherZone stands for the price of bytes between zones. It is near what a
	// usual shared part takes to read, so that each zone has homes of its own
	// and a session stays where its prompt lies.
	OtherZone time.Duration
	// Rank is what each place in the order of homes adds, so that hosts that
	// know nothing of each other send equal prompts to equal targets.
	Rank time.Duration
	// Failure is what a failing target adds.
	Failure time.Duration
	// Stale is the age at which a report counts for nothing beside what this
	// host sees itself.
	Stale time.Duration
}

// DefaultPrices suit engines that read some hundred tokens in a millisecond.
var DefaultPrices = Prices{
	PrefillRate: 160,
	Stall:       2,
	Neighbour:   10 * time.Millisecond,
	Holders:     2,
	Others:      1,
	OtherZone:   60 * time.Millisecond,
	Rank:        3 * time.Millisecond,
	Failure:     2 * time.Second,
	Stale:       2 * time.Second,
}

// Place returns the index of the option with the least expected time among
// those that are looked at, or -1 if there is none. Draw returns a random number
// below n; if it is nil, all options are looked at.
func Place(options []Option, w Work, p Prices, draw func(n int) int) int {
	best, least := -1, 0.0
	ranks := homeRanks(options, w.Home)
	look := func(i int) {
		cost := p.expected(options[i], w) + ranks[i]*p.Rank.Seconds()
		if best < 0 || cost < least || cost == least && options[i].ID < options[best].ID {
			best, least = i, cost
		}
	}
	if draw == nil || w.Prompt == 0 {
		for i := range options {
			look(i)
		}
		return best
	}
	for _, i := range p.candidates(options, w, ranks, draw) {
		look(i)
	}
	return best
}

// slowPace is how much slower than usual a target must be to count as slow: what
// targets do differs from request to request.
const slowPace = 1.6

// SetPaces sets each option's pace by how long its target takes for a unit of
// work against the median of all; 0 stands for unknown.
func SetPaces(options []Option, units []float64) {
	var known []float64
	for _, u := range units {
		if u > 0 {
			known = append(known, u)
		}
	}
	if len(known) == 0 {
		return
	}
	slices.Sort(known)
	usual := known[(len(known)-1)/2]
	for i, u := range units {
		if pace := u / usual; pace > slowPace {
			options[i].Pace = pace
		}
	}
}

// expected returns the seconds that a request is expected to take on a target
// beyond what it takes on an idle one that holds its prompt.
func (p Prices) expected(o Option, w Work) float64 {
	busy := p.busy(o)
	cost := 0.0
	if !o.SameZone {
		cost += p.OtherZone.Seconds()
	}
	if o.Failing {
		cost += p.Failure.Seconds()
	}
	if w.Prompt > 0 {
		cost += p.engine(o, w, busy)
	}
	if over := busy + 1 - float64(o.Slots); o.Slots > 0 && over > 0 {
		cost += over / float64(o.Slots) * w.Service.Seconds() * max(1, o.Pace)
	}
	if w.Prompt == 0 && o.Slots > 0 {
		// A short queue forms before all slots are taken, as calls come in
		// clumps.
		load := busy / float64(o.Slots)
		cost += load * load * w.Service.Seconds()
	}
	if o.Pace > 1 {
		cost += (o.Pace - 1) * w.Service.Seconds()
	}
	return cost
}

// engine returns what a request costs on an engine, counting what it costs the
// requests that run there: each token that is generated takes longer for all,
// and what has to be read first holds all of them up.
func (p Prices) engine(o Option, w Work, busy float64) float64 {
	running := busy
	if o.Slots > 0 {
		running = min(busy, float64(o.Slots))
	}
	read := float64(w.Prompt-min(o.Held, w.Prompt)) / p.PrefillRate / 1000
	return read*(1+p.Stall*running) + running*p.Neighbour.Seconds()*max(1, o.Pace)
}

// busy estimates how many requests are at a target: the number that it reported,
// corrected by what this host has sent and got back since. The older the report,
// the less it counts beside what this host has under way.
func (p Prices) busy(o Option) float64 {
	own := float64(o.Own)
	if o.Age >= p.Stale || p.Stale <= 0 {
		return own
	}
	trust := 1 - o.Age.Seconds()/p.Stale.Seconds()
	others := max(0, float64(o.Running+o.Waiting-o.OwnThen))
	return own + trust*others
}
