package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// changedServices are the services that only changed routes use.
var changedServices = []string{"left", "right"}

const (
	targetsPerChangedService = 2
	// A route is added every addedEvery versions and is removed after twice as many. Other parts
	// of the plan may change every changedEvery versions, some 5 s, so that for most of this time
	// all versions that may be in force agree on them.
	addedEvery, changedEvery = 8, 10
	// lostAcks is the share of acknowledgments that are lost while some are.
	lostAcks = 0.6
	// tryoutRoutes is the number of routes that are removed and added again.
	tryoutRoutes = 2
	// The accounts of the requests that check changes. keyedAccount has keyedKeys keys that
	// are withdrawn and added again; movingKey belongs to one of the two.
	checkAccount = "check"
	keyedAccount = "keyed"
	keyedKeys    = 3
	movingKey    = "moving"
)

// The timeouts of the route /timed/, and for how long targets work on its requests.
const (
	shortTimeout = 300 * time.Millisecond
	longTimeout  = 2 * time.Second
	timedWork    = 1200 * time.Millisecond
)

// planState is the part of a version of the plan that changes. It depends on the seed and the
// version only.
type planState struct {
	moved   string         // service of the route /moved/
	split   map[string]int // weights of the services of the route /split/
	timeout time.Duration  // of the route /timed/
	tryouts [tryoutRoutes]bool
	added   []int // numbers of the routes /added/NUMBER/
	keys    [keyedKeys]bool
	moving  string  // account of movingKey
	rate    float64 // one of accountRates
}

// stateOf returns the state of a version. Each part of it may change every changedEvery versions,
// different parts at different versions.
func stateOf(seed uint64, version int) planState {
	parts := 0
	random := func(n int) int {
		parts++
		group := (version + 3*parts) / changedEvery
		return rand.New(rand.NewPCG(seed, uint64(1000*group+parts))).IntN(n)
	}
	s := planState{moved: changedServices[random(2)], split: map[string]int{}, timeout: shortTimeout, moving: checkAccount}
	for _, service := range changedServices {
		s.split[service] = random(3) * 45
	}
	if s.split["left"]+s.split["right"] == 0 {
		s.split["right"] = 1
	}
	if random(2) == 0 {
		s.timeout = longTimeout
	}
	for i := range s.tryouts {
		s.tryouts[i] = random(2) == 0
	}
	for i := range s.keys {
		s.keys[i] = random(2) == 0
	}
	if random(2) == 0 {
		s.moving = keyedAccount
	}
	s.rate = accountRates[random(len(accountRates))]
	for n := max(0, version/addedEvery-1); n <= version/addedEvery; n++ {
		s.added = append(s.added, n)
	}
	return s
}

// services returns the services to which requests with a path may go; none if the path has no
// route.
func (s planState) services(path string) (list []string) {
	var n int
	switch {
	case path == "/moved/":
		return []string{s.moved}
	case path == "/split/":
		for _, service := range changedServices {
			if s.split[service] > 0 {
				list = append(list, service)
			}
		}
		return list
	case path == "/timed/", path == "/keyed/":
		return []string{"left"}
	case scan(path, "/tryout/%d/", &n) && s.tryouts[n], scan(path, "/added/%d/", &n) && slices.Contains(s.added, n):
		return []string{"right"}
	}
	return nil
}

func scan(text, format string, n *int) bool {
	_, err := fmt.Sscanf(text, format, n)
	return err == nil
}

// owner returns the account that holds a key, which is empty if none does.
func (s planState) owner(key string) string {
	var n int
	switch {
	case key == checkAccount:
		return checkAccount
	case key == movingKey:
		return s.moving
	case scan(key, keyedAccount+"-%d", &n) && s.keys[n]:
		return keyedAccount
	}
	return ""
}

// changingPlan returns the plans of a deployment by version. Each is that of deploymentPlan
// and a planState.
// Accounts may send requestRate times one of accountRates.
func changingPlan(seed uint64, size deploymentSize, requestRate float64) func(version int) []byte {
	return func(version int) []byte {
		var doc map[string]any
		s := stateOf(seed, version)
		if err := json.Unmarshal(deploymentPlan(version, size, int(math.Ceil(requestRate*s.rate))), &doc); err != nil {
			panic(err) // Cannot happen: the document is valid JSON.
		}
		paths := []string{"/moved/", "/split/", "/timed/", "/keyed/"}
		for i, present := range s.tryouts {
			if present {
				paths = append(paths, fmt.Sprintf("/tryout/%d/", i))
			}
		}
		for _, n := range s.added {
			paths = append(paths, fmt.Sprintf("/added/%d/", n))
		}
		for _, path := range paths {
			route := map[string]any{
				"name": "r" + path, "hostname": "soak.example", "path_prefix": path, "route_kind": "non_idempotent", "timeout_ms": longTimeout.Milliseconds(),
				"target_latency_ms": 200, "max_attempts": 2, "priority": 3,
			}
			switch path {
			case "/split/":
				route["weighted_backends"] = []any{
					map[string]any{"service": "left", "weight": s.split["left"]}, map[string]any{"service": "right", "weight": s.split["right"]},
				}
			case "/timed/":
				route["timeout_ms"], route["service"] = s.timeout.Milliseconds(), "left"
			default:
				route["service"] = s.services(path)[0]
			}
			doc["routes"] = append(doc["routes"].([]any), route)
		}
		for _, service := range changedServices {
			doc["services"] = append(doc["services"].([]any), map[string]any{"name": service, "max_connections": 200})
		}
		keys := map[string][]string{checkAccount: {"key-" + checkAccount}, keyedAccount: {}}
		for i, present := range s.keys {
			if present {
				keys[keyedAccount] = append(keys[keyedAccount], fmt.Sprintf("key-%s-%d", keyedAccount, i))
			}
		}
		keys[s.moving] = append(keys[s.moving], "key-"+movingKey)
		for _, name := range []string{checkAccount, keyedAccount} {
			doc["tenants"] = append(doc["tenants"].([]any), map[string]any{"name": name, "api_keys": keys[name]})
		}
		b, err := json.Marshal(doc)
		if err != nil {
			panic(err) // Cannot happen: the document holds only values that JSON can encode.
		}
		return b
	}
}

// invalidPlans change a plan so that it must be refused.
var invalidPlans = []func(doc map[string]any){
	func(doc map[string]any) { doc["routes"].([]any)[0].(map[string]any)["service"] = "unknown" },
	func(doc map[string]any) { doc["routes"] = append(doc["routes"].([]any), doc["routes"].([]any)[1]) },
	func(doc map[string]any) { doc["routes"].([]any)[1].(map[string]any)["timeout_ms"] = 0 },
	func(doc map[string]any) {
		for _, route := range doc["routes"].([]any) {
			if list, ok := route.(map[string]any)["weighted_backends"].([]any); ok {
				list[0].(map[string]any)["weight"], list[1].(map[string]any)["weight"] = 0, 0
			}
		}
	},
	func(doc map[string]any) {
		keys := doc["tenants"].([]any)[1].(map[string]any)["api_keys"]
		doc["tenants"].([]any)[2].(map[string]any)["api_keys"] = keys
	},
	func(doc map[string]any) { delete(doc, "services") },
}

func edit(b []byte, change func(doc map[string]any)) []byte {
	var doc map[string]any
	if err := json.Unmarshal(b, &doc); err != nil {
		panic(err) // Cannot happen: the document is valid JSON.
	}
	change(doc)
	b, err := json.Marshal(doc)
	if err != nil {
		panic(err) // Cannot happen: the document holds only values that JSON can encode.
	}
	return b
}

// change sends new versions of the plan until ctx ends, about one each changeInterval, at times
// two at once to different hosts. Between them it sends older versions again, other content
// under a version that was acknowledged, and invalid plans.
func (d *deployment) change(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 9))
	for version := 1; types.Sleep(ctx, changeInterval); {
		n, operators := r.IntN(d.fleet.size.controls), 1+r.IntN(4)/3
		var g sync.WaitGroup
		same := r.IntN(4) == 0 // Both operators send the same plan.
		for i := range operators {
			if i == 0 || !same {
				version += 1 + r.IntN(2)
			}
			v := version
			g.Go(func() { d.putVersion(n+i, v) })
		}
		g.Wait()
		n = r.IntN(d.fleet.size.controls)
		plan := d.fleet.size.plan
		switch older := d.versions.randomAcked(r); r.IntN(6) {
		case 0:
			d.putVersion(n, older)
		case 1:
			// This version or a newer one is in force, so the content must not be obeyed.
			d.put(n, older, edit(plan(older), func(doc map[string]any) { doc["routes"] = []any{} }))
		case 2:
			kind := r.IntN(len(invalidPlans) + 1)
			b := plan(version + 1)
			if kind == len(invalidPlans) {
				b = b[:len(b)/2]
			} else {
				b = edit(b, invalidPlans[kind])
			}
			if code := d.put(n, version+1, b); code == http.StatusOK {
				d.t.Errorf("an invalid plan of kind %d with version %d was acknowledged", kind, version+1)
			}
		}
	}
}

// putVersion sends a version of the plan, and again to other hosts if there is no clear response
// or if the acknowledgment is lost. A valid version must not be refused.
func (d *deployment) putVersion(n, version int) {
	d.versions.send(version)
	for i := range 3 {
		h := d.fleet.hosts[(n+i)%d.fleet.size.controls]
		notify(d.sent, h)
		code := d.put(n+i, version, d.fleet.size.plan(version))
		if code == http.StatusOK {
			notify(d.ack, h)
			if d.losesAcks.Load() && rand.Float64() < lostAcks {
				continue
			}
			d.versions.acknowledge(version)
			d.mu.Lock()
			d.acked = max(d.acked, version)
			d.mu.Unlock()
			return
		}
		if code >= 400 && code < 500 && code != http.StatusTooManyRequests && code != http.StatusRequestTimeout {
			d.t.Errorf("version %d was refused with status %d", version, code)
			return
		}
	}
}

// notify sends a value to a channel if it is received at once.
func notify[T any](c chan<- T, v T) {
	select {
	case c <- v:
	default:
	}
}

// put sends a plan to a control host and returns the status.
func (d *deployment) put(n, version int, b []byte) int {
	begin := time.Now()
	code, _ := d.fleet.requestConfig(n, http.MethodPut, b)
	d.mu.Lock()
	d.replies[fmt.Sprint(code)]++
	d.mu.Unlock()
	if took := time.Since(begin); code != http.StatusOK && code != http.StatusBadRequest || took > time.Second {
		d.note("version %d: status %d after %v", version, code, took.Round(time.Millisecond))
	}
	return code
}
