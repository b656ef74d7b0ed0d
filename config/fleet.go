package config

import (
	"cmp"
	"maps"
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// Account is a client account.
type Account struct {
	ID    types.AccountID `json:"id"`
	Rate  types.PerSecond `json:"rate"`  // greater than 0
	Burst int             `json:"burst"` // at least 1
}

// Key lets its bearer act for a client account.
type Key struct {
	Hash    types.KeyHash   `json:"hash"`
	Account types.AccountID `json:"account"`
}

// ServiceKind tells how a service is talked to.
type ServiceKind string

// The kinds of services.
const (
	// KindModel is an engine with the chat-completions interface.
	KindModel ServiceKind = "model"
	// KindTool is a tool service, reached by plain HTTP.
	KindTool ServiceKind = "tool"
	// KindPlain is any other service, reached by plain HTTP.
	KindPlain ServiceKind = "plain"
)

// Service is a group of like targets.
type Service struct {
	ID   types.ServiceID `json:"id"`
	Kind ServiceKind     `json:"kind"`
	// Open is set if callers need no key.
	Open bool `json:"open,omitempty"`
	// NonIdempotent lists path prefixes whose calls may not be repeated. A
	// model's calls are always idempotent.
	NonIdempotent []string `json:"nonIdempotent,omitempty"`
}

// Target is one replica of a service.
type Target struct {
	ID      types.TargetID  `json:"id"`
	Service types.ServiceID `json:"service"`
	// Address is an IP number and a port.
	Address string       `json:"address"`
	Zone    types.ZoneID `json:"zone"`
	// Leaving is set if the target must get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Fenced is set if the target refuses orders with an old fencing number.
	Fenced bool `json:"fenced,omitempty"`
}

// Fleet is the configuration in force. It is changed only by applying a
// [Change], one version at a time.
type Fleet struct {
	Version  types.Version                     `json:"version"`
	Accounts map[types.AccountID]Account       `json:"accounts,omitempty"`
	Keys     map[types.KeyHash]types.AccountID `json:"keys,omitempty"`
	Services map[types.ServiceID]Service       `json:"services,omitempty"`
	Targets  map[types.TargetID]Target         `json:"targets,omitempty"`
}

// Change is the difference between two configurations. What is put replaces
// what had the same identity.
type Change struct {
	PutAccounts  []Account         `json:"putAccounts,omitempty"`
	DropAccounts []types.AccountID `json:"dropAccounts,omitempty"`
	PutKeys      []Key             `json:"putKeys,omitempty"`
	DropKeys     []types.KeyHash   `json:"dropKeys,omitempty"`
	PutServices  []Service         `json:"putServices,omitempty"`
	DropServices []types.ServiceID `json:"dropServices,omitempty"`
	PutTargets   []Target          `json:"putTargets,omitempty"`
	DropTargets  []types.TargetID  `json:"dropTargets,omitempty"`
}

// Size returns the number of items that the change touches.
func (c Change) Size() int {
	return len(c.PutAccounts) + len(c.DropAccounts) + len(c.PutKeys) + len(c.DropKeys) +
		len(c.PutServices) + len(c.DropServices) + len(c.PutTargets) + len(c.DropTargets)
}

// Clone returns a copy of f that shares nothing that Apply changes.
func (f Fleet) Clone() Fleet {
	f.Accounts = maps.Clone(f.Accounts)
	f.Keys = maps.Clone(f.Keys)
	f.Services = maps.Clone(f.Services)
	f.Targets = maps.Clone(f.Targets)
	return f
}

// Apply makes the change and counts the version up by one. It does not check
// the result; see [Fleet.Check].
func (f *Fleet) Apply(c Change) {
	f.Version++
	apply(&f.Accounts, c.PutAccounts, c.DropAccounts, func(a Account) (types.AccountID, Account) { return a.ID, a })
	apply(&f.Keys, c.PutKeys, c.DropKeys, func(k Key) (types.KeyHash, types.AccountID) { return k.Hash, k.Account })
	apply(&f.Services, c.PutServices, c.DropServices, func(s Service) (types.ServiceID, Service) { return s.ID, s })
	apply(&f.Targets, c.PutTargets, c.DropTargets, func(t Target) (types.TargetID, Target) { return t.ID, t })
}

func apply[K comparable, V, I any](m *map[K]V, put []I, drop []K, entry func(I) (K, V)) {
	if *m == nil {
		*m = map[K]V{}
	}
	for _, k := range drop {
		delete(*m, k)
	}
	for _, i := range put {
		k, v := entry(i)
		(*m)[k] = v
	}
}

// Diff returns the change that turns f into g.
func (f Fleet) Diff(g Fleet) Change {
	var c Change
	c.PutAccounts, c.DropAccounts = diff(f.Accounts, g.Accounts, func(_ types.AccountID, a Account) Account { return a })
	c.PutKeys, c.DropKeys = diff(f.Keys, g.Keys, func(h types.KeyHash, a types.AccountID) Key { return Key{Hash: h, Account: a} })
	c.PutServices, c.DropServices = diff(f.Services, g.Services, func(_ types.ServiceID, s Service) Service { return s })
	c.PutTargets, c.DropTargets = diff(f.Targets, g.Targets, func(_ types.TargetID, t Target) Target { return t })
	return c
}

func diff[K cmp.Ordered, V, I any](from, to map[K]V, item func(K, V) I) (put []I, drop []K) {
	for _, k := range slices.Sorted(maps.Keys(to)) {
		old, ok := from[k]
		if !ok || string(types.Encode(old)) != string(types.Encode(to[k])) {
			put = append(put, item(k, to[k]))
		}
	}
	for _, k := range slices.Sorted(maps.Keys(from)) {
		if _, ok := to[k]; !ok {
			drop = append(drop, k)
		}
	}
	return put, drop
}

// Limit returns what the account may use, as of this version.
func (f Fleet) Limit(id types.AccountID) limit.Limit {
	a := f.Accounts[id]
	return limit.Limit{Rate: a.Rate, Burst: a.Burst, Version: f.Version}
}

// MayNotRepeat reports whether a call to the given path must not be sent
// twice. A path that could be read as a listed prefix in any way counts: case,
// escapes and dots are folded first, since a target may fold them too.
func (s Service) MayNotRepeat(path string) bool {
	folded := foldPath(path)
	for _, prefix := range s.NonIdempotent {
		if strings.HasPrefix(folded, foldPath(prefix)) {
			return true
		}
	}
	return false
}

func foldPath(p string) string {
	if plain, err := url.PathUnescape(p); err == nil {
		p = plain
	}
	return strings.ToLower(path.Clean("/" + p))
}
