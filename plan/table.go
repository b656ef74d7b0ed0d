package plan

import (
	"cmp"
	"slices"
	"strings"

	"github.com/banyanspur/banyanspur/types"
)

// Table is a plan indexed for serving.
type Table struct {
	// Plan is what the table was made of. It must not be changed.
	Plan *Plan
	// Limited is set if any account has a limit.
	Limited bool

	hosts    map[string][]*Route // the longest prefix first
	keys     map[types.KeyHash]*Account
	accounts map[types.AccountID]*Account
	services map[types.ServiceID]*Service
}

// NewTable indexes a plan that [Plan.Check] has passed.
func NewTable(p *Plan) *Table {
	t := &Table{
		Plan: p, hosts: map[string][]*Route{}, keys: map[types.KeyHash]*Account{},
		accounts: map[types.AccountID]*Account{}, services: map[types.ServiceID]*Service{},
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range p.Accounts {
		a := &p.Accounts[i]
		t.accounts[a.Name] = a
		t.Limited = t.Limited || a.Rate > 0
		for _, k := range a.Keys {
			t.keys[k] = a
		}
	}
	for i := range p.Services {
		t.services[p.Services[i].Name] = &p.Services[i]
	}
	return t
}

// Route returns the route with the longest prefix of path among those of the
// host, or nil. The host may carry a port.
func (t *Table) Route(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range t.hosts[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Holder returns the account that holds a key, or nil.
func (t *Table) Holder(key types.KeyHash) *Account { return t.keys[key] }

// Account returns the account with the given name, or nil.
func (t *Table) Account(id types.AccountID) *Account { return t.accounts[id] }

// Service returns the service with the given name, or nil.
func (t *Table) Service(id types.ServiceID) *Service { return t.services[id] }

// Backend returns the service that takes the request whose place among the
// weights is point, which counts modulo their sum.
func (r *Route) Backend(point uint64) types.ServiceID {
	sum := 0
	for _, b := range r.Backends {
		sum += b.Weight
	}
	if sum <= 0 {
		return ""
	}
	at := int(point % uint64(sum))
	for _, b := range r.Backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	return ""
}
