package gate

import (
	"cmp"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

var exceededMemoryTotal = metrics.NewCounter("banyanspur_gate_exceeded_memory_total")

const (
	// typicalCallTime and typicalTurnTime are the typical durations of a call and
	// of a turn on a target. Target selection uses them as the cost of queueing.
	typicalCallTime = 30 * time.Millisecond
	typicalTurnTime = 300 * time.Millisecond
)

// candidates returns the targets of a service to which the call may be sent next.
func (c *call) candidates(service *plan.Service, tried map[types.TargetID]bool) []fleet.Target {
	targets := make([]fleet.Target, 0, len(c.gate.Fleet.View().Targets))
	for t := range outsideEvacuatedZones(c.gate.Fleet.View()) {
		if t.Service == service.Name && !tried[t.ID] {
			targets = append(targets, t)
		}
	}
	return c.gate.draining.open(targets, c.gate.Clock())
}

// pickTarget selects a target of the service that has not been tried. It returns
// false if there is none.
func (c *call) pickTarget(service *plan.Service, tried map[types.TargetID]bool) (targetChoice, bool) {
	parts := parsePromptParts(c.r.Header.Get(c.gate.HeaderNames.PromptParts))
	work := route.Work{ServiceTime: typicalCallTime}
	if service.Engine != nil {
		work.ServiceTime = typicalTurnTime
		for _, p := range parts {
			work.Prompt += p.tokens
		}
		if len(parts) > 0 {
			work.AffinityKey = parts[0].id
		}
	}
	candidates := c.candidates(service, tried)
	targets := candidates[:0] // Those that remain.
	options := make([]route.Option, 0, len(candidates))
	unitSeconds := make([]float64, 0, len(candidates))
	limited := false // a target that could run the request is at the limit that it names
	now, wall := c.gate.Clock(), time.Now()
	for _, t := range candidates {
		if c.fullFor(service, t.ID, now) > 0 {
			limited = true
			continue
		}
		o, unit := c.gate.targets.routeOption(t, parts, c.gate.Zone, wall, now)
		o.Failing = c.gate.failing(t.ID, o.Failing)
		if t.ID == c.turn.lastTarget && work.Prompt > 0 {
			o.Cached = work.Prompt // Includes the new input, which every target has to prefill.
		}
		o.Connected = c.gate.pool.HasIdle(t.Address)
		targets = append(targets, t)
		options = append(options, o)
		unitSeconds = append(unitSeconds, unit)
	}
	if service.Engine != nil && route.AnySlowness(options) {
		route.SetFinePaces(options, unitSeconds)
		work.Tokens = c.memoryTokens(service)
		for i := range options {
			options[i].Memory.Capacity = service.Engine.MemoryTokens
		}
	} else {
		route.SetPaces(options, unitSeconds)
	}
	if limited || c.limited {
		targets, options = withoutQueue(c.gate.PlacementCosts, work, targets, options)
	}
	i := route.Place(options, work, c.gate.PlacementCosts, rand.IntN)
	if i < 0 {
		return targetChoice{}, false
	}
	if options[i].ExceedsMemory(work) {
		exceededMemoryTotal.Inc()
	}
	return targetChoice{Target: targets[i], option: options[i], promptTokens: work.Prompt, tokens: work.Tokens, candidates: len(targets)}, true
}

// memoryTokens returns the tokens that the request may have in the memory of an engine, 0
// if the service's memory is not limited or the request does not tell. More than
// maxPartTokens is not believed.
func (c *call) memoryTokens(service *plan.Service) types.Tokens {
	if service.Engine.MemoryTokens <= 0 {
		return 0
	}
	var sum types.Tokens
	for _, number := range strings.SplitN(c.r.Header.Get(c.gate.HeaderNames.Tokens), ",", 2) {
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > maxPartTokens {
			return 0
		}
		sum += types.Tokens(n)
	}
	return sum
}

// maxOverflowWait is how long a request that other targets do not accept by their limits
// may have to wait for a slot of the remaining ones. If all such requests queued there,
// most of them would not be served in time.
const maxOverflowWait = 300 * time.Millisecond

// withoutQueue returns the targets at which a request waits for at most maxOverflowWait.
func withoutQueue(costs route.PlacementCosts, work route.Work, targets []fleet.Target, options []route.Option) ([]fleet.Target, []route.Option) {
	var keptTargets []fleet.Target
	var kept []route.Option
	for i, o := range options {
		if costs.QueueTime(o, work) <= maxOverflowWait {
			keptTargets, kept = append(keptTargets, targets[i]), append(kept, o)
		}
	}
	return keptTargets, kept
}

// targetChoice is a selected target and the inputs of the selection.
type targetChoice struct {
	fleet.Target
	option       route.Option
	promptTokens types.Tokens // size of the prompt
	tokens       types.Tokens // prompt and generated tokens at most; 0 if memory does not count
	candidates   int          // number of eligible targets
}

// addFields adds the selected target and the inputs of the selection to the fields
// of a log event.
func (c targetChoice) addFields(f event.Fields) {
	f["target"], f["zone"], f["among"] = c.ID, c.Zone, c.candidates
	f["own"], f["running"], f["waiting"], f["loadAgeMs"] = c.option.InFlight, c.option.Running, c.option.Waiting, c.option.ReportAge.Milliseconds()
	f["pace"], f["failing"] = cmp.Or(c.option.FinePace, c.option.Pace), c.option.Failing
	if c.option.Slowness > 0 {
		f["slowness"], f["slownessAgeMs"] = c.option.Slowness, c.option.SlownessAge.Milliseconds()
	}
	if c.tokens > 0 {
		f["memoryTokens"], f["memoryRequests"] = c.option.Memory.InFlight, c.option.Memory.Requests
	}
	if c.promptTokens > 0 {
		f["promptTokens"], f["heldTokens"] = c.promptTokens, c.option.Cached
	}
}

// hasUntried reports whether the call may be sent to another target.
func (c *call) hasUntried(tried map[types.TargetID]bool, service *plan.Service) bool {
	now := c.gate.Clock()
	for _, t := range c.candidates(service, tried) {
		if c.fullFor(service, t.ID, now) == 0 {
			return true
		}
	}
	return false
}
