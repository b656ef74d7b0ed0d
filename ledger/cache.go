package ledger

import (
	"slices"

	"github.com/banyanspur/banyanspur/types"
)

// ensureCacheEntry records that a target may have the program's prefix cached,
// or is about to cache it. An existing entry is no longer stale afterwards.
func (p *program) ensureCacheEntry(t types.TargetID, s types.ServiceID) *cacheEntry {
	i := p.findCacheEntry(t)
	if i < 0 {
		p.CacheEntries = append(p.CacheEntries, cacheEntry{CacheHolder: CacheHolder{Target: t}, Service: s})
		i = len(p.CacheEntries) - 1
	}
	p.CacheEntries[i].Stale = false
	return &p.CacheEntries[i]
}

func (p *program) findCacheEntry(t types.TargetID) int {
	return slices.IndexFunc(p.CacheEntries, func(entry cacheEntry) bool { return entry.Target == t })
}

// cacheHolders returns the targets of a service that may have the program's
// current prefix cached.
func (p *program) cacheHolders(s types.ServiceID) []CacheHolder {
	var holders []CacheHolder
	for _, entry := range p.CacheEntries {
		if entry.Service == s && !entry.Stale {
			holders = append(holders, entry.CacheHolder)
		}
	}
	return holders
}

// updateCacheEntries records which target has the program's prefix cached after
// a call. Prefixes cached at other targets of the service are marked stale, to
// be released: they are out of date and take cache space from those in use.
func (p *program) updateCacheEntries(c Close, call *Call) {
	if c.UnusedCacheTarget != "" && c.UnusedCacheTarget != c.Target {
		p.removeCacheEntry(c.UnusedCacheTarget)
	}
	if !c.Cached {
		return
	}
	entry := p.ensureCacheEntry(c.Target, call.Service)
	entry.Prefix = types.Bytes(len(call.Request) + len(c.Response))
	for i := range p.CacheEntries {
		other := &p.CacheEntries[i]
		other.Stale = other.Stale || other.Service == call.Service && other.Target != c.Target
	}
}

func (p *program) removeCacheEntry(t types.TargetID) {
	p.CacheEntries = slices.DeleteFunc(p.CacheEntries, func(entry cacheEntry) bool { return entry.Target == t })
}

// CachedPrefix identifies a program's prefix in the prompt cache of a target.
type CachedPrefix struct {
	Account types.AccountID
	Program types.ProgramID
	Target  types.TargetID
}

// releasable reports whether the target of entry should release the prefix.
func (p *program) releasable(entry cacheEntry) bool { return p.Ended || entry.Stale }

// PendingReleases returns cached prefixes that are to be released, by target and
// in no particular order. At most maxPerTarget are returned for each target, so
// that those of an unresponsive target do not crowd out the others.
func (m *Machine) PendingReleases(at types.LogTime, maxPerTarget int) map[types.TargetID][]CachedPrefix {
	pending := map[types.TargetID][]CachedPrefix{}
	for aid, a := range m.state.Accounts {
		for _, p := range a.Programs {
			if at < p.EarliestRelease {
				continue
			}
			for _, entry := range p.CacheEntries {
				if p.releasable(entry) && len(pending[entry.Target]) < maxPerTarget {
					pending[entry.Target] = append(pending[entry.Target], CachedPrefix{Account: aid, Program: p.ID, Target: entry.Target})
				}
			}
		}
	}
	return pending
}

// release records that a target has released a program's prefix. The entry is
// kept if the program has returned to the target in the meantime.
func (m *Machine) release(r Release) Result {
	p, fault := m.findProgram(r.Account, r.Program)
	if fault != nil {
		return refuse(fault)
	}
	if i := p.findCacheEntry(r.Target); i >= 0 && p.releasable(p.CacheEntries[i]) {
		p.removeCacheEntry(r.Target)
	}
	return Result{Program: p.summary()}
}
