package plan

import (
	"cmp"
	"slices"
	"strings"

	"github.com/banyanspur/banyanspur/types"
)

// Table is an index of a plan for serving requests. It is immutable and safe
// for concurrent use.
type Table struct {
	// Plan is the indexed plan. It must not be modified.
	Plan *Plan
	// HasRateLimits is set if any account has a rate limit.
	HasRateLimits bool

	routesByHost   map[string][]*Route // longest prefix first
	accountsByKey  map[types.KeyHash]*Account
	accountsByName map[types.AccountID]*Account
	servicesByName map[types.ServiceID]*Service
}

// NewTable returns an index of p, which must be valid according to
// [Plan.Check].
func NewTable(p *Plan) *Table {
	t := &Table{
		Plan: p, routesByHost: map[string][]*Route{}, accountsByKey: map[types.KeyHash]*Account{},
		accountsByName: map[types.AccountID]*Account{}, servicesByName: map[types.ServiceID]*Service{},
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range p.Accounts {
		a := &p.Accounts[i]
		t.accountsByName[a.Name] = a
		t.HasRateLimits = t.HasRateLimits || a.Rate > 0
		for _, k := range a.Keys {
			t.accountsByKey[k] = a
		}
	}
	for i := range p.Services {
		t.servicesByName[p.Services[i].Name] = &p.Services[i]
	}
	return t
}

// Route returns the route of the given host with the longest prefix of path, or
// nil if no route matches. The host may include a port, which is ignored.
func (t *Table) Route(host, path string) *Route {
	hostname, _, _ := strings.Cut(host, ":")
	for _, r := range t.routesByHost[hostname] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AccountByKey returns the account that a key belongs to, or nil.
func (t *Table) AccountByKey(key types.KeyHash) *Account { return t.accountsByKey[key] }

// Account returns the account with the given name, or nil.
func (t *Table) Account(id types.AccountID) *Account { return t.accountsByName[id] }

// Service returns the service with the given name, or nil.
func (t *Table) Service(id types.ServiceID) *Service { return t.servicesByName[id] }

// Backend returns the service for a request, chosen by weight. The point is a
// position in the concatenation of all weights, modulo their sum. Backend
// returns the empty string if the sum is not positive.
func (r *Route) Backend(point uint64) types.ServiceID {
	sum := 0
	for _, b := range r.Backends {
		sum += b.Weight
	}
	if sum <= 0 {
		return ""
	}
	offset := int(point % uint64(sum))
	for _, b := range r.Backends {
		if offset < b.Weight {
			return b.Service
		}
		offset -= b.Weight
	}
	return ""
}
