package entry

import (
	"math/rand/v2"
	"slices"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// bytesPerToken approximates the bytes per token of English text.
const bytesPerToken = 4

// cachedPrefixes maps each target to the length of the program's prefix in its
// prompt cache.
type cachedPrefixes map[types.TargetID]types.Bytes

// pickUntried selects a target for the call that is not in tried. It returns a
// noTarget fault if there is none.
func (e *Entry) pickUntried(c *call, cached cachedPrefixes, tried []types.TargetID) (config.Target, error) {
	return e.pickTarget(c, cached, func(id types.TargetID) bool { return !slices.Contains(tried, id) })
}

// pickCacheHolder selects one of the targets in cached. It returns a noTarget
// fault if none of them is available.
func (e *Entry) pickCacheHolder(c *call, cached cachedPrefixes) (config.Target, error) {
	return e.pickTarget(c, cached, func(id types.TargetID) bool {
		_, holds := cached[id]
		return holds
	})
}

// pickTarget applies the policy to the allowed targets of the call's service.
// Ejected targets are considered only if all allowed targets are ejected. It
// returns a noTarget fault if there is no allowed target.
func (e *Entry) pickTarget(c *call, cached cachedPrefixes, allowed func(types.TargetID) bool) (config.Target, error) {
	cfg, err := e.config.get(e.Clock())
	if err != nil {
		return config.Target{}, err
	}
	healthy, ejected := e.candidates(cfg, c, cached, allowed)
	if len(healthy) == 0 {
		healthy = ejected // All failed recently: trying one is better than rejecting the call.
	}
	request := route.Request{Program: c.program, Prompt: types.Tokens(len(c.body) / bytesPerToken), Sequence: e.selections.Add(1)}
	i := e.Policy(request, healthy)
	if i < 0 {
		return config.Target{}, types.NewFault(types.CodeNoTarget, "service %q has no available target", c.service.ID).WithRetryAfter(route.BaseEjectionTime)
	}
	return cfg.Targets[healthy[i].Target], nil
}

// candidates returns the allowed targets of the call's service that are not
// draining, divided into healthy and ejected ones. The order is random, so that
// targets of equal cost share the load.
func (e *Entry) candidates(cfg config.Fleet, c *call, cached cachedPrefixes, allowed func(types.TargetID) bool) (healthy, ejected []route.Candidate) {
	now := e.Clock()
	for id, t := range cfg.Targets {
		if t.Service != c.service.ID || t.Draining || e.drainingHosts.contains(t.Address) || !allowed(id) {
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
