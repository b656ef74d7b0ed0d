package plan_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

// valid returns a plan that passes Check.
func valid() plan.Plan {
	return plan.Plan{
		Version: 3,
		Routes: []plan.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: plan.Idempotent, Timeout: time.Second, Backends: []plan.Backend{{Service: "lookups", Weight: 1}}},
			{
				Name: "split", Host: "a.example", Prefix: "/chat/", Kind: plan.Streaming, Timeout: time.Second,
				Backends: []plan.Backend{{Service: "lookups", Weight: 3}, {Service: "models", Weight: 1}, {Service: "lookups", Weight: 0}},
			},
			{Name: "deep", Host: "a.example", Prefix: "/chat/deep/", Kind: plan.NonIdempotent, Timeout: time.Second, Backends: []plan.Backend{{Service: "models", Weight: 1}}},
		},
		Services: []plan.Service{{Name: "lookups"}, {Name: "models"}},
		Accounts: []plan.Account{
			{Name: "choir", Keys: []types.KeyHash{types.HashKey("one"), types.HashKey("two")}},
			{Name: "band", Keys: []types.KeyHash{types.HashKey("three")}},
		},
	}
}

func TestRouteLongestPrefix(t *testing.T) {
	p := valid()
	table := plan.NewTable(&p)
	for _, c := range []struct {
		host, path string
		want       plan.RouteID
	}{
		{"a.example", "/chat/deep/er", "deep"},
		{"a.example:8080", "/chat/deep", "split"},
		{"a.example", "/chat", "all"},
		{"a.example", "/chatter/", "all"},
		{"b.example", "/chat/", ""},
	} {
		var got plan.RouteID
		if r := table.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("route of %s%s (-want +got):\n%s", c.host, c.path, diff)
		}
	}
}

func TestAccountByKey(t *testing.T) {
	p := valid()
	table := plan.NewTable(&p)
	if a := table.AccountByKey(types.HashKey("two")); a == nil || a.Name != "choir" {
		t.Errorf("account of a key: %v", a)
	}
	if a := table.AccountByKey(types.HashKey("four")); a != nil {
		t.Errorf("account of an unknown key: %v", a)
	}
}

func TestBackendWeights(t *testing.T) {
	p := valid()
	got := map[types.ServiceID]int{}
	for i := range uint64(400) {
		got[p.Routes[1].Backend(i)]++
	}
	if diff := cmp.Diff(map[types.ServiceID]int{"lookups": 300, "models": 100}, got); diff != "" {
		t.Errorf("requests by service (-want +got):\n%s", diff)
	}
}

func TestCheckReportsErrors(t *testing.T) {
	p := valid()
	if err := p.Check(); err != nil {
		t.Fatalf("a valid plan: %v", err)
	}
	for name, corrupt := range map[string]func(*plan.Plan){
		"version":             func(p *plan.Plan) { p.Version = 0 },
		"routes.0.backends.0": func(p *plan.Plan) { p.Routes[0].Backends[0].Service = "nobody" },
		"routes.1":            func(p *plan.Plan) { p.Routes[1].Prefix = "/" },
		"routes.0.backends":   func(p *plan.Plan) { p.Routes[0].Backends[0].Weight = 0 },
		"routes.2.timeout":    func(p *plan.Plan) { p.Routes[2].Timeout = 0 },
		"routes.2.prefix":     func(p *plan.Plan) { p.Routes[2].Prefix = "/chat/deep" },
		"routes.0.kind":       func(p *plan.Plan) { p.Routes[0].Kind = 0 },
		"routes.0.host":       func(p *plan.Plan) { p.Routes[0].Host = "" },
		"services.1.name": func(p *plan.Plan) {
			p.Services = append(p.Services, plan.Service{Name: "models"})
			p.Services[1].Name = "lookups"
		},
		"accounts.1.keys": func(p *plan.Plan) { p.Accounts[1].Keys[0] = types.HashKey("two") },
		"accounts.1.name": func(p *plan.Plan) { p.Accounts[1].Name = "choir" },
		"accounts.0":      func(p *plan.Plan) { p.Accounts[0].Rate = -1 },
	} {
		p := valid()
		corrupt(&p)
		var findings config.Findings
		if !errors.As(p.Check(), &findings) {
			t.Errorf("%s: no finding", name)
			continue
		}
		if diff := cmp.Diff(name, findings[0].Path); diff != "" {
			t.Errorf("path of the first finding (-want +got):\n%s", diff)
		}
	}
}
