package config

import (
	"fmt"

	"github.com/banyanspur/banyanspur/types"
)

// Questionnaire is what a team answers about its client accounts, keys, rates,
// non-idempotent tools and targets.
type Questionnaire struct {
	Account []QuestionAccount `toml:"account"`
	Service []QuestionService `toml:"service"`
}

// QuestionAccount asks about one client account.
type QuestionAccount struct {
	Name types.AccountID `toml:"name"`
	// RequestsPerSecond is the sustained rate across the whole fleet.
	RequestsPerSecond types.PerSecond `toml:"requestsPerSecond"`
	// Burst is how many requests may come at once.
	Burst int `toml:"burst"`
	// KeyHashes are the hashes of the keys that act for the account.
	KeyHashes []types.KeyHash `toml:"keyHashes"`
}

// QuestionService asks about one service.
type QuestionService struct {
	Name types.ServiceID `toml:"name"`
	Kind ServiceKind     `toml:"kind"`
	// OpenToAll is set if callers need no key.
	OpenToAll bool `toml:"openToAll"`
	// NonIdempotent lists the path prefixes of calls that may not be repeated.
	NonIdempotent []string         `toml:"nonIdempotent"`
	Target        []QuestionTarget `toml:"target"`
}

// QuestionTarget asks about one replica of a service.
type QuestionTarget struct {
	Name    types.TargetID `toml:"name"`
	Address string         `toml:"address"`
	Zone    types.ZoneID   `toml:"zone"`
	Leaving bool           `toml:"leaving"`
	// ChecksFencing is set if the target refuses orders with an old number.
	ChecksFencing bool `toml:"checksFencing"`
}

// ParseQuestionnaire reads a questionnaire and generates the configuration
// from it. The error holds [Findings] for all that is wrong.
func ParseQuestionnaire(file string, b []byte) (Fleet, error) {
	q, err := parse(file, b, checkQuestionnaire)
	if err != nil {
		return Fleet{}, err
	}
	fleet, _ := q.generate()
	return fleet, nil
}

func checkQuestionnaire(q *Questionnaire, found *Findings) {
	fleet, origin := q.generate()
	checkTwice(q, found)
	inner, _ := fleet.Check().(Findings)
	for _, f := range inner {
		f.Path = origin.translate(f.Path)
		*found = append(*found, f)
	}
	if len(q.Account) == 0 {
		found.add("account", "a fleet needs at least one client account")
	}
}

// generate makes the configuration, and tells for each of its items where in
// the questionnaire it comes from.
func (q *Questionnaire) generate() (Fleet, origins) {
	var c Change
	o := origins{}
	for i, a := range q.Account {
		if o.knows("accounts", a.Name) {
			continue // Given twice, which is a finding; the first counts.
		}
		c.PutAccounts = append(c.PutAccounts, Account{ID: a.Name, Rate: a.RequestsPerSecond, Burst: a.Burst})
		path := fmt.Sprintf("account.%d", i)
		o.add(fmt.Sprintf("accounts.%s", a.Name), path, "rate", "requestsPerSecond")
		for _, h := range a.KeyHashes {
			c.PutKeys = append(c.PutKeys, Key{Hash: h, Account: a.Name})
			o[fmt.Sprintf("keys.%.8s", string(h))] = path + ".keyHashes"
		}
	}
	for i, s := range q.Service {
		if o.knows("services", s.Name) {
			continue
		}
		c.PutServices = append(c.PutServices, Service{ID: s.Name, Kind: s.Kind, Open: s.OpenToAll, NonIdempotent: s.NonIdempotent})
		o.add(fmt.Sprintf("services.%s", s.Name), fmt.Sprintf("service.%d", i), "", "")
		for j, t := range s.Target {
			if o.knows("targets", t.Name) {
				continue
			}
			c.PutTargets = append(c.PutTargets, Target{
				ID: t.Name, Service: s.Name, Address: t.Address, Zone: t.Zone, Leaving: t.Leaving, Fenced: t.ChecksFencing,
			})
			o.add(fmt.Sprintf("targets.%s", t.Name), fmt.Sprintf("service.%d.target.%d", i, j), "", "")
		}
	}
	var fleet Fleet
	fleet.Apply(c)
	fleet.Version = 0
	return fleet, o
}

// checkTwice finds names and keys that are given twice.
func checkTwice(q *Questionnaire, found *Findings) {
	seen := map[string]string{}
	note := func(kind, name, path string) {
		if first, ok := seen[kind+name]; ok {
			found.add(path, "the %s %q is given at %s already", kind, name, first)
			return
		}
		seen[kind+name] = path
	}
	for i, a := range q.Account {
		note("account", string(a.Name), fmt.Sprintf("account.%d.name", i))
		for _, h := range a.KeyHashes {
			note("key hash", string(h), fmt.Sprintf("account.%d.keyHashes", i))
		}
	}
	for i, s := range q.Service {
		note("service", string(s.Name), fmt.Sprintf("service.%d.name", i))
		for j, t := range s.Target {
			note("target", string(t.Name), fmt.Sprintf("service.%d.target.%d.name", i, j))
		}
	}
}

// origins maps the path of a configuration's item to the questionnaire's.
type origins map[string]string

// knows reports whether an item of the given kind and name has been added.
func (o origins) knows(kind string, name any) bool {
	_, ok := o[fmt.Sprintf("%s.%s", kind, name)]
	return ok
}

// add maps a path, and below it one field that has another name there.
func (o origins) add(path, origin, field, originField string) {
	o[path] = origin
	if field != "" {
		o[path+"."+field] = origin + "." + originField
	}
}

// translate maps the longest known start of path.
func (o origins) translate(path string) string {
	for i := len(path); i > 0; i-- {
		if i < len(path) && path[i] != '.' {
			continue
		}
		if origin, ok := o[path[:i]]; ok {
			return origin + path[i:]
		}
	}
	return path
}
