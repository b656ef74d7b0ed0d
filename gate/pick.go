package gate

import (
	"math/rand/v2"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// serviceTime and turnServiceTime are how long calls and turns usually
	// take on a target; they weigh queues against each other.
	serviceTime     = 30 * time.Millisecond
	turnServiceTime = 300 * time.Millisecond
)

// pick chooses among the targets that have not been tried.
func (c *call) pick(service *plan.Service, tried map[types.TargetID]bool) (choice, bool) {
	parts := parsePrompt(c.r.Header.Get(c.gate.Names.Prompt))
	work := route.Work{Service: serviceTime}
	if service.Engine != nil {
		work.Service = turnServiceTime
		for _, p := range parts {
			work.Prompt += p.tokens
		}
		if len(parts) > 0 {
			work.Home = parts[0].id
		}
	}
	var targets []fleet.Target
	var options []route.Option
	var units []float64
	for _, t := range c.gate.Fleet.View().Targets {
		if !usable(t, service, tried) {
			continue
		}
		o, unit := c.gate.loads.option(t, parts, c.gate.Zone)
		if t.ID == c.turn.last && work.Prompt > 0 {
			o.Held = work.Prompt // All but the newest input, which any target has to read.
		}
		targets = append(targets, t)
		options = append(options, o)
		units = append(units, unit)
	}
	route.SetPaces(options, units)
	i := route.Place(options, work, c.gate.Prices, rand.IntN)
	if i < 0 {
		return choice{}, false
	}
	return choice{Target: targets[i], seen: options[i], prompt: work.Prompt, among: len(targets)}, true
}

// choice is the target that was picked and what decided it.
type choice struct {
	fleet.Target
	seen   route.Option
	prompt types.Tokens // size of the request's prompt
	among  int          // targets that were compared
}

// note adds what decided the choice to an event.
func (c choice) note(f event.Fields) {
	f["target"], f["zone"], f["among"] = c.ID, c.Zone, c.among
	f["own"], f["running"], f["waiting"], f["loadAgeMs"] = c.seen.Own, c.seen.Running, c.seen.Waiting, c.seen.Age.Milliseconds()
	f["pace"], f["failing"] = c.seen.Pace, c.seen.Failing
	if c.prompt > 0 {
		f["promptTokens"], f["heldTokens"] = c.prompt, c.seen.Held
	}
}

// anotherThan reports whether a service has a target that has not been tried.
func (c *call) anotherThan(tried map[types.TargetID]bool, service *plan.Service) bool {
	for _, t := range c.gate.Fleet.View().Targets {
		if usable(t, service, tried) {
			return true
		}
	}
	return false
}

// usable reports whether a request for a service may be sent to a target.
func usable(t fleet.Target, service *plan.Service, tried map[types.TargetID]bool) bool {
	return t.Service == service.Name && !t.Leaving && !tried[t.ID]
}
