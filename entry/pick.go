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

// cachedPrefixes is how much of a program's prefix each target has cached.
type cachedPrefixes map[types.TargetID]types.Bytes

// pickUntried chooses a target for the call, none of those tried before. It returns
// a noTarget fault if there is none.
func (e *Entry) pickUntried(c *call, cached cachedPrefixes, tried []types.TargetID) (config.Target, error) {
	return e.pickTarget(c, cached, func(id types.TargetID) bool { return !slices.Contains(tried, id) })
}

// pickCacheHolder chooses one of the targets that are known to hold the program.
func (e *Entry) pickCacheHolder(c *call, cached cachedPrefixes) (config.Target, error) {
	return e.pickTarget(c, cached, func(id types.TargetID) bool {
		_, holds := cached[id]
		return holds
	})
}

func (e *Entry) pickTarget(c *call, cached cachedPrefixes, allowed func(types.TargetID) bool) (config.Target, error) {
	cfg, err := e.config.get(e.Clock())
	if err != nil {
		return config.Target{}, err
	}
	healthy, ejected := e.candidates(cfg, c, cached, allowed)
	if len(healthy) == 0 {
		healthy = ejected // All have failed of late: asking one is better than refusing.
	}
	request := route.Request{Program: c.program, Prompt: types.Tokens(len(c.body) / bytesPerToken), Turn: e.selections.Add(1)}
	i := e.Policy(request, healthy)
	if i < 0 {
		return config.Target{}, types.NewFault(types.CodeNoTarget, "service %q has no target that takes work", c.service.ID).After(route.EjectFirst)
	}
	return cfg.Targets[healthy[i].Target], nil
}

// candidates lists the allowed targets of the call's service in random order,
// so that equals share the work.
func (e *Entry) candidates(cfg config.Fleet, c *call, cached cachedPrefixes, allowed func(types.TargetID) bool) (healthy, ejected []route.Candidate) {
	now := e.Clock()
	for id, t := range cfg.Targets {
		if t.Service != c.service.ID || t.Leaving || e.leavingHosts.contains(t.Address) || !allowed(id) {
			continue
		}
		candidate, isEjected := e.targets.Candidate(id, now)
		candidate.SameZone = t.Zone == e.Zone
		candidate.Cached = types.Tokens(cached[id] / bytesPerToken)
		if isEjected {
			ejected = append(ejected, candidate)
		} else {
			healthy = append(healthy, candidate)
		}
	}
	shuffle(healthy)
	shuffle(ejected)
	return healthy, ejected
}

func shuffle[T any](s []T) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
