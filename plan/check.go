package plan

import (
	"fmt"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/types"
)

// Check returns [config.Findings] for all that is wrong with the plan, or nil.
func (p *Plan) Check() error {
	var found config.Findings
	add := func(path, format string, args ...any) {
		found = append(found, config.Finding{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if p.Version == 0 {
		add("version", "the version is missing or 0")
	}
	p.checkServices(add)
	p.checkRoutes(add)
	p.checkAccounts(add)
	if len(found) == 0 {
		return nil
	}
	return found
}

type report func(path, format string, args ...any)

func (p *Plan) checkServices(add report) {
	seen := map[types.ServiceID]bool{}
	for i, s := range p.Services {
		at := fmt.Sprintf("services.%d.name", i)
		if s.Name == "" {
			add(at, "the service has no name")
		}
		if seen[s.Name] {
			add(at, "the service %q is there already", s.Name)
		}
		seen[s.Name] = true
	}
}

func (p *Plan) checkRoutes(add report) {
	known := map[types.ServiceID]bool{}
	for _, s := range p.Services {
		known[s.Name] = true
	}
	type place struct{ host, prefix string }
	taken := map[place]RouteID{}
	for i, r := range p.Routes {
		at := fmt.Sprintf("routes.%d", i)
		where := place{r.Host, r.Prefix}
		if other, ok := taken[where]; ok {
			add(at, "the route %q has the same host and prefix", other)
		}
		taken[where] = r.Name
		r.check(at, known, add)
	}
}

func (r *Route) check(at string, known map[types.ServiceID]bool, add report) {
	if r.Host == "" {
		add(at+".host", "the route has no host")
	}
	if n := len(r.Prefix); n == 0 || r.Prefix[0] != '/' || r.Prefix[n-1] != '/' {
		add(at+".prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	if r.Kind < Idempotent || r.Kind > Streaming {
		add(at+".kind", "the kind of the route is unknown")
	}
	if r.Timeout <= 0 {
		add(at+".timeout", "the timeout is not positive")
	}
	weight := 0
	for j, b := range r.Backends {
		if !known[b.Service] {
			add(fmt.Sprintf("%s.backends.%d", at, j), "there is no service %q", b.Service)
		}
		if b.Weight < 0 {
			add(fmt.Sprintf("%s.backends.%d", at, j), "the weight %d is negative", b.Weight)
		}
		weight += b.Weight
	}
	if weight <= 0 {
		add(at+".backends", "the weights add up to %d", weight)
	}
}

func (p *Plan) checkAccounts(add report) {
	names := map[types.AccountID]bool{}
	owners := map[types.KeyHash]types.AccountID{}
	for i, a := range p.Accounts {
		at := fmt.Sprintf("accounts.%d", i)
		if names[a.Name] {
			add(at+".name", "the account %q is there already", a.Name)
		}
		names[a.Name] = true
		if a.Rate < 0 || a.Burst < 0 {
			add(at, "the rate or the burst is negative")
		}
		for _, k := range a.Keys {
			if owner, ok := owners[k]; ok && owner != a.Name {
				add(at+".keys", "a key belongs to the account %q as well", owner)
			}
			owners[k] = a.Name
		}
	}
}
