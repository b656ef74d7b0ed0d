package entry

import (
	"math/rand/v2"
	"slices"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// bytesPerToken is about what tokenizers make of English text.
const bytesPerToken = 4

// affinity is how much of a program's prefix each target has cached.
type affinity map[types.TargetID]types.Bytes

// pick chooses a target for the call, none of those tried before. It returns
// a noTarget fault if there is none.
func (e *Entry) pick(k *call, a affinity, tried []types.TargetID) (config.Target, error) {
	return e.choose(k, a, func(id types.TargetID) bool { return !slices.Contains(tried, id) })
}

// pickHolder chooses one of the targets that are known to hold the program.
func (e *Entry) pickHolder(k *call, a affinity) (config.Target, error) {
	return e.choose(k, a, func(id types.TargetID) bool {
		_, holds := a[id]
		return holds
	})
}

func (e *Entry) choose(k *call, a affinity, allowed func(types.TargetID) bool) (config.Target, error) {
	fleet, err := e.view.get(e.Clock())
	if err != nil {
		return config.Target{}, err
	}
	healthy, ejected := e.candidates(fleet, k, a, allowed)
	if len(healthy) == 0 {
		healthy = ejected // All have failed of late: asking one is better than refusing.
	}
	request := route.Request{Program: k.program, Prompt: types.Tokens(len(k.body) / bytesPerToken), Turn: e.turn.Add(1)}
	i := e.Policy(request, healthy)
	if i < 0 {
		return config.Target{}, types.NewFault(types.CodeNoTarget, "service %q has no target that takes work", k.service.ID).After(route.EjectFirst)
	}
	return fleet.Targets[healthy[i].Target], nil
}

// candidates lists the allowed targets of the call's service in random order,
// so that equals share the work.
func (e *Entry) candidates(fleet config.Fleet, k *call, a affinity, allowed func(types.TargetID) bool) (healthy, ejected []route.Candidate) {
	now := e.Clock()
	for id, t := range fleet.Targets {
		if t.Service != k.service.ID || t.Leaving || e.leaving.has(t.Address) || !allowed(id) {
			continue
		}
		c, out := e.targets.Candidate(id, now)
		c.SameZone = t.Zone == e.Zone
		c.Cached = types.Tokens(a[id] / bytesPerToken)
		if out {
			ejected = append(ejected, c)
		} else {
			healthy = append(healthy, c)
		}
	}
	shuffle(healthy)
	shuffle(ejected)
	return healthy, ejected
}

func shuffle[T any](s []T) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
