package gate

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// evictionThreshold is the number of cached parts of a target above which unused ones
// are evicted.
const evictionThreshold = 2048

// cachedTokens returns the size of the longest prefix of parts that the target is
// believed to have cached.
func (s *targetState) cachedTokens(parts []promptPart) types.Tokens {
	var sum types.Tokens
	for _, p := range parts {
		if used, ok := s.cachedParts[p.hash]; !ok || time.Since(used) > fleet.CachedPartTTL {
			return sum
		}
		sum += p.tokens
	}
	return sum
}

// recordPrefill marks the parts of a prompt as cached by a target. All but the
// last part, which belongs to this request alone, are reported to other hosts.
func (t *targetTracker) recordPrefill(id types.TargetID, parts []promptPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id)
	now := time.Now()
	for i, p := range parts {
		s.cachedParts[p.hash] = now
		if i < len(parts)-1 {
			s.unreportedParts[p.hash] = true
		}
	}
	s.evictUnused(now)
}

// evictUnused drops parts unused for a third of [fleet.CachedPartTTL] if there are
// more than evictionThreshold parts.
func (s *targetState) evictUnused(now time.Time) {
	if len(s.cachedParts) <= evictionThreshold {
		return
	}
	maps.DeleteFunc(s.cachedParts, func(_ types.PartHash, used time.Time) bool { return now.Sub(used) > fleet.CachedPartTTL/3 })
}

// takeUnreportedParts returns the cached parts not yet reported to other hosts and
// marks them as reported.
func (t *targetTracker) takeUnreportedParts() fleet.CachedParts {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := fleet.CachedParts{}
	for id, s := range t.states {
		for part := range s.unreportedParts {
			parts[id] = append(parts[id], part)
		}
		clear(s.unreportedParts)
	}
	return parts
}

// addCachedParts adds cached parts that other hosts reported.
func (t *targetTracker) addCachedParts(reported fleet.CachedParts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for id, parts := range reported {
		s := t.getOrCreate(id)
		for _, part := range parts {
			s.cachedParts[part] = now
		}
		s.evictUnused(now)
	}
}

// promptPart is a section of a prompt that targets cache as a unit.
type promptPart struct {
	id     string
	hash   types.PartHash
	tokens types.Tokens
}

// maxPartTokens is the largest size of a part of a prompt that is believed, beyond any
// model's context. It keeps the sum of all parts from overflowing.
const maxPartTokens = 1 << 32

// parsePromptParts parses a comma-separated list of ID:TOKENS, up to the first
// invalid item.
func parsePromptParts(list string) []promptPart {
	var parts []promptPart
	for _, item := range strings.Split(list, ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(item), ":")
		n, err := strconv.ParseInt(size, 10, 64)
		if !ok || err != nil || n < 0 || n > maxPartTokens {
			return parts
		}
		parts = append(parts, promptPart{id: id, hash: types.PartHash(xxhash.Sum64String(id)), tokens: types.Tokens(n)})
	}
	return parts
}
