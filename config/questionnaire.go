package config

import (
	"fmt"

	"github.com/banyanspur/banyanspur/types"
)

// Questionnaire is a team's description of its client accounts, keys, rates,
// non-idempotent tools and targets.
type Questionnaire struct {
	Account []QuestionnaireAccount `toml:"account"`
	Service []QuestionnaireService `toml:"service"`
}

// QuestionnaireAccount describes one client account.
type QuestionnaireAccount struct {
	Name types.AccountID `toml:"name"`
	// RequestsPerSecond is the sustained rate limit across the whole fleet.
	RequestsPerSecond types.PerSecond `toml:"requestsPerSecond"`
	// Burst is the maximum number of requests at once.
	Burst int `toml:"burst"`
	// KeyHashes are the hashes of the account's keys.
	KeyHashes []types.KeyHash `toml:"keyHashes"`
}

// QuestionnaireService describes one service.
type QuestionnaireService struct {
	Name types.ServiceID `toml:"name"`
	Kind ServiceKind     `toml:"kind"`
	// OpenToAll is set if callers do not need a key.
	OpenToAll bool `toml:"openToAll"`
	// NonIdempotent lists the path prefixes of calls that must not be sent
	// twice.
	NonIdempotent []string              `toml:"nonIdempotent"`
	Target        []QuestionnaireTarget `toml:"target"`
}

// QuestionnaireTarget describes one replica of a service.
type QuestionnaireTarget struct {
	Name    types.TargetID `toml:"name"`
	Address string         `toml:"address"`
	Zone    types.ZoneID   `toml:"zone"`
	// Draining is set if the target must not get new calls.
	Draining bool `toml:"leaving"`
	// ChecksFencing is set if the target rejects orders with a stale fencing
	// token.
	ChecksFencing bool `toml:"checksFencing"`
}

// ParseQuestionnaire decodes and validates a questionnaire and generates the
// configuration from it. The error, if any, is of type [Findings].
func ParseQuestionnaire(file string, b []byte) (Fleet, error) {
	q, err := parse(file, b, checkQuestionnaire)
	if err != nil {
		return Fleet{}, err
	}
	fleet, _ := q.generate()
	return fleet, nil
}

func checkQuestionnaire(q *Questionnaire, found *Findings) {
	fleet, sources := q.generate()
	checkDuplicates(q, found)
	fleetFindings, _ := fleet.Check().(Findings)
	for _, f := range fleetFindings {
		f.Path = sources.translate(f.Path)
		*found = append(*found, f)
	}
	if len(q.Account) == 0 {
		found.add("account", "at least one client account is required")
	}
}

// generate returns the configuration and, for each of its items, the path in
// the questionnaire from which it was generated.
func (q *Questionnaire) generate() (Fleet, sourcePaths) {
	var c Change
	sources := sourcePaths{}
	for i, a := range q.Account {
		if sources.has("accounts", a.Name) {
			continue // checkDuplicates reports it; the first one is used.
		}
		c.PutAccounts = append(c.PutAccounts, Account{ID: a.Name, Rate: a.RequestsPerSecond, Burst: a.Burst})
		path := fmt.Sprintf("account.%d", i)
		sources.add(fmt.Sprintf("accounts.%s", a.Name), path, "rate", "requestsPerSecond")
		for _, h := range a.KeyHashes {
			c.PutKeys = append(c.PutKeys, Key{Hash: h, Account: a.Name})
			sources[fmt.Sprintf("keys.%.8s", string(h))] = path + ".keyHashes"
		}
	}
	for i, s := range q.Service {
		if sources.has("services", s.Name) {
			continue
		}
		c.PutServices = append(c.PutServices, Service{ID: s.Name, Kind: s.Kind, Anonymous: s.OpenToAll, NonIdempotentPrefixes: s.NonIdempotent})
		sources.add(fmt.Sprintf("services.%s", s.Name), fmt.Sprintf("service.%d", i), "", "")
		for j, t := range s.Target {
			if sources.has("targets", t.Name) {
				continue
			}
			c.PutTargets = append(c.PutTargets, Target{
				ID: t.Name, Service: s.Name, Address: t.Address, Zone: t.Zone, Draining: t.Draining, ChecksFencing: t.ChecksFencing,
			})
			sources.add(fmt.Sprintf("targets.%s", t.Name), fmt.Sprintf("service.%d.target.%d", i, j), "", "")
		}
	}
	var fleet Fleet
	fleet.Apply(c)
	fleet.Version = 0
	return fleet, sources
}

// checkDuplicates reports names and key hashes that occur more than once.
func checkDuplicates(q *Questionnaire, found *Findings) {
	seen := map[string]string{}
	checkUnique := func(kind, name, path string) {
		if first, ok := seen[kind+name]; ok {
			found.add(path, "duplicate %s %q, first given at %s", kind, name, first)
			return
		}
		seen[kind+name] = path
	}
	for i, a := range q.Account {
		checkUnique("account", string(a.Name), fmt.Sprintf("account.%d.name", i))
		for _, h := range a.KeyHashes {
			checkUnique("key hash", string(h), fmt.Sprintf("account.%d.keyHashes", i))
		}
	}
	for i, s := range q.Service {
		checkUnique("service", string(s.Name), fmt.Sprintf("service.%d.name", i))
		for j, t := range s.Target {
			checkUnique("target", string(t.Name), fmt.Sprintf("service.%d.target.%d.name", i, j))
		}
	}
}

// sourcePaths maps the path of an item of the configuration to the path in the
// questionnaire from which it was generated.
type sourcePaths map[string]string

// has reports whether an item of the given kind and name has been added.
func (s sourcePaths) has(kind string, name any) bool {
	_, ok := s[fmt.Sprintf("%s.%s", kind, name)]
	return ok
}

// add maps path to source. If field is not empty, it also maps that field of the
// item to sourceField, its name in the questionnaire.
func (s sourcePaths) add(path, source, field, sourceField string) {
	s[path] = source
	if field != "" {
		s[path+"."+field] = source + "." + sourceField
	}
}

// translate replaces the longest mapped prefix of path by its source. A path
// without one is returned unchanged.
func (s sourcePaths) translate(path string) string {
	for i := len(path); i > 0; i-- {
		if i < len(path) && path[i] != '.' {
			continue
		}
		if source, ok := s[path[:i]]; ok {
			return source + path[i:]
		}
	}
	return path
}
