package plan

import (
	"fmt"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/types"
)

// Check validates the plan. It returns nil if the plan is valid, and otherwise
// a [config.Findings] with all errors.
func (p *Plan) Check() error {
	var findings config.Findings
	add := func(path, format string, args ...any) {
		if len(findings) >= maxFindings {
			return // A large plan may have more than memory for them.
		}
		findings = append(findings, config.Finding{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if p.Version == 0 {
		add("version", "the version is missing or 0")
	}
	p.checkServices(add)
	p.checkRoutes(add)
	p.checkAccounts(add)
	if len(findings) == 0 {
		return nil
	}
	return findings
}

// maxFindings is how many findings on one plan are reported.
const maxFindings = 100

// addFunc adds a finding on the setting at path.
type addFunc func(path, format string, args ...any)

func (p *Plan) checkServices(add addFunc) {
	seen := map[types.ServiceID]bool{}
	for i, s := range p.Services {
		path := fmt.Sprintf("services.%d.name", i)
		if s.Name == "" {
			add(path, "the service has no name")
		}
		if seen[s.Name] {
			add(path, "duplicate service name %q", s.Name)
		}
		seen[s.Name] = true
		if s.ColdTime < 0 || s.ColdRate < 0 {
			add(fmt.Sprintf("services.%d.cold", i), "the cold time or the rate of cold targets is negative")
		}
	}
}

func (p *Plan) checkRoutes(add addFunc) {
	services := map[types.ServiceID]bool{}
	for _, s := range p.Services {
		services[s.Name] = true
	}
	type routeKey struct{ host, prefix string }
	routes := map[routeKey]RouteID{}
	for i, r := range p.Routes {
		path := fmt.Sprintf("routes.%d", i)
		key := routeKey{r.Host, r.Prefix}
		if other, ok := routes[key]; ok {
			add(path, "the route %q has the same host and prefix", other)
		}
		routes[key] = r.Name
		r.check(path, services, add)
	}
}

func (r *Route) check(path string, services map[types.ServiceID]bool, add addFunc) {
	if r.Host == "" {
		add(path+".host", "the route has no host")
	}
	if n := len(r.Prefix); n == 0 || r.Prefix[0] != '/' || r.Prefix[n-1] != '/' {
		add(path+".prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	if r.Kind < Idempotent || r.Kind > Streaming {
		add(path+".kind", "the route has an unknown kind")
	}
	if r.Timeout <= 0 {
		add(path+".timeout", "the timeout is not positive")
	}
	weight := 0
	for j, b := range r.Backends {
		if !services[b.Service] {
			add(fmt.Sprintf("%s.backends.%d", path, j), "the service %q does not exist", b.Service)
		}
		if b.Weight < 0 {
			add(fmt.Sprintf("%s.backends.%d", path, j), "the weight %d is negative", b.Weight)
		}
		weight += b.Weight
	}
	if weight <= 0 {
		add(path+".backends", "the sum of the weights must be positive, but is %d", weight)
	}
}

func (p *Plan) checkAccounts(add addFunc) {
	names := map[types.AccountID]bool{}
	owners := map[types.KeyHash]types.AccountID{}
	for i, a := range p.Accounts {
		path := fmt.Sprintf("accounts.%d", i)
		if names[a.Name] {
			add(path+".name", "duplicate account name %q", a.Name)
		}
		names[a.Name] = true
		if a.Rate < 0 || a.Burst < 0 {
			add(path, "the rate or the burst is negative")
		}
		for _, k := range a.Keys {
			if owner, ok := owners[k]; ok && owner != a.Name {
				add(path+".keys", "a key also belongs to the account %q", owner)
			}
			owners[k] = a.Name
		}
	}
}
