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

// Key authenticates its bearer as a client account. Only its hash is stored.
type Key struct {
	Hash    types.KeyHash   `json:"hash"`
	Account types.AccountID `json:"account"`
}

// ServiceKind determines how a service is called.
type ServiceKind string

// The kinds of services.
const (
	// KindModel is a model engine with the chat-completions API.
	KindModel ServiceKind = "model"
	// KindTool is a tool service, reached by plain HTTP.
	KindTool ServiceKind = "tool"
	// KindPlain is any other service, reached by plain HTTP.
	KindPlain ServiceKind = "plain"
)

// Service is a group of interchangeable targets.
type Service struct {
	ID   types.ServiceID `json:"id"`
	Kind ServiceKind     `json:"kind"`
	// Anonymous is set if callers do not need a key.
	Anonymous bool `json:"open,omitempty"`
	// NonIdempotentPrefixes lists the path prefixes of calls that must not be sent
	// twice. Calls of a model are always idempotent.
	NonIdempotentPrefixes []string `json:"nonIdempotent,omitempty"`
}

// Target is one replica of a service.
type Target struct {
	ID      types.TargetID  `json:"id"`
	Service types.ServiceID `json:"service"`
	// Address is an IP address and a port.
	Address string       `json:"address"`
	Zone    types.ZoneID `json:"zone"`
	// Draining is set if the target must not get new calls.
	Draining bool `json:"leaving,omitempty"`
	// ChecksFencing is set if the target rejects orders with a stale fencing
	// token.
	ChecksFencing bool `json:"fenced,omitempty"`
}

// Fleet is one version of the fleet's configuration. It is modified only by
// applying a [Change], which increments the version.
type Fleet struct {
	Version  types.Version                     `json:"version"`
	Accounts map[types.AccountID]Account       `json:"accounts,omitempty"`
	Keys     map[types.KeyHash]types.AccountID `json:"keys,omitempty"`
	Services map[types.ServiceID]Service       `json:"services,omitempty"`
	Targets  map[types.TargetID]Target         `json:"targets,omitempty"`
}

// Change is the difference between two configurations. An item that is put
// replaces the item with the same ID.
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

// Size returns the number of items that the change puts or drops.
func (c Change) Size() int {
	return len(c.PutAccounts) + len(c.DropAccounts) + len(c.PutKeys) + len(c.DropKeys) +
		len(c.PutServices) + len(c.DropServices) + len(c.PutTargets) + len(c.DropTargets)
}

// Clone returns a copy of f that is independent of later calls of Apply.
func (f Fleet) Clone() Fleet {
	f.Accounts = maps.Clone(f.Accounts)
	f.Keys = maps.Clone(f.Keys)
	f.Services = maps.Clone(f.Services)
	f.Targets = maps.Clone(f.Targets)
	return f
}

// Apply applies c and increments the version. It does not validate the result;
// see [Fleet.Check].
func (f *Fleet) Apply(c Change) {
	f.Version++
	applyItems(&f.Accounts, c.PutAccounts, c.DropAccounts, func(a Account) (types.AccountID, Account) { return a.ID, a })
	applyItems(&f.Keys, c.PutKeys, c.DropKeys, func(k Key) (types.KeyHash, types.AccountID) { return k.Hash, k.Account })
	applyItems(&f.Services, c.PutServices, c.DropServices, func(s Service) (types.ServiceID, Service) { return s.ID, s })
	applyItems(&f.Targets, c.PutTargets, c.DropTargets, func(t Target) (types.TargetID, Target) { return t.ID, t })
}

func applyItems[K comparable, V, I any](m *map[K]V, put []I, drop []K, keyValue func(I) (K, V)) {
	if *m == nil {
		*m = map[K]V{}
	}
	for _, k := range drop {
		delete(*m, k)
	}
	for _, item := range put {
		k, v := keyValue(item)
		(*m)[k] = v
	}
}

// Diff returns the change that turns f into g.
func (f Fleet) Diff(g Fleet) Change {
	var c Change
	c.PutAccounts, c.DropAccounts = diffItems(f.Accounts, g.Accounts, func(_ types.AccountID, a Account) Account { return a })
	c.PutKeys, c.DropKeys = diffItems(f.Keys, g.Keys, func(h types.KeyHash, a types.AccountID) Key { return Key{Hash: h, Account: a} })
	c.PutServices, c.DropServices = diffItems(f.Services, g.Services, func(_ types.ServiceID, s Service) Service { return s })
	c.PutTargets, c.DropTargets = diffItems(f.Targets, g.Targets, func(_ types.TargetID, t Target) Target { return t })
	return c
}

func diffItems[K cmp.Ordered, V, I any](from, to map[K]V, item func(K, V) I) (put []I, drop []K) {
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

// Limit returns the account's rate limit in this version of the configuration.
func (f Fleet) Limit(id types.AccountID) limit.Limit {
	a := f.Accounts[id]
	return limit.Limit{Rate: a.Rate, Burst: a.Burst, Version: f.Version}
}

// IsNonIdempotent reports whether a call to the given path is non-idempotent and
// must not be sent twice. Case, escapes and dot segments are normalized before
// the path is compared with the listed prefixes, since the target may normalize
// them too.
func (s Service) IsNonIdempotent(path string) bool {
	normalized := normalizePath(path)
	for _, prefix := range s.NonIdempotentPrefixes {
		if strings.HasPrefix(normalized, normalizePath(prefix)) {
			return true
		}
	}
	return false
}

func normalizePath(p string) string {
	if unescaped, err := url.PathUnescape(p); err == nil {
		p = unescaped
	}
	return strings.ToLower(path.Clean("/" + p))
}
