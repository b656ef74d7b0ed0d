package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// forceTime is the time after the acknowledgment of a version from which on hosts in touch
	// must not obey older ones, and no host must return one.
	forceTime = 2 * time.Second
	// checkInterval is the mean time between two requests that check changes, and readInterval
	// that between two reads of the configuration.
	checkInterval, readInterval = 20 * time.Millisecond, 200 * time.Millisecond
	checkCallers                = 12
	// answerSlack is the time after the timeout of a route within which a request that takes
	// longer must have an answer, minLate the number from which on those without count if they
	// are more than a quarter.
	answerSlack = 500 * time.Millisecond
	minLate     = 8
	// regressTime is the time after a target has seen the effect of a version from which on its
	// host must not obey older ones; slowRegressTime is that for a host that is not in touch.
	regressTime, slowRegressTime = 250 * time.Millisecond, 2 * time.Second
	// minAdded is the number of requests on added routes from which on their share counts.
	minAdded = 20
)

// versions are the versions of the plan that were sent, in the order of their numbers.
type versions struct {
	seed uint64

	mu    sync.Mutex
	list  []sentVersion
	reads []versionRead
}

type sentVersion struct {
	version         int
	sentAt, ackedAt time.Time // of the first request and acknowledgment; ackedAt is zero without one
}

// versionRead is the response to a read of the configuration.
type versionRead struct {
	control, version int
	sentAt           time.Time
}

// newVersions returns the versions of a deployment whose first version is in force.
func newVersions(seed uint64) *versions {
	return &versions{seed: seed, list: []sentVersion{{version: 1}}}
}

func (v *versions) send(version int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if i, ok := v.index(version); !ok {
		v.list = slices.Insert(v.list, i, sentVersion{version: version, sentAt: time.Now()})
	}
}

func (v *versions) acknowledge(version int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if i, _ := v.index(version); v.list[i].ackedAt.IsZero() {
		v.list[i].ackedAt = time.Now()
	}
}

func (v *versions) index(version int) (int, bool) {
	return slices.BinarySearchFunc(v.list, version, func(s sentVersion, version int) int { return s.version - version })
}

// randomAcked returns one of the latest versions that were acknowledged.
func (v *versions) randomAcked(r *rand.Rand) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := max(0, len(v.list)-1-r.IntN(5)); i > 0; i-- {
		if !v.list[i].ackedAt.IsZero() {
			return v.list[i].version
		}
	}
	return 1
}

// latest returns the highest version that was sent.
func (v *versions) latest() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list[len(v.list)-1].version
}

// oldest returns the oldest version that may be in force at a time: the highest one that was
// acknowledged forceTime before.
func (v *versions) oldest(at time.Time) int {
	for _, s := range slices.Backward(v.list) {
		if s.version == 1 || !s.ackedAt.IsZero() && s.ackedAt.Before(at.Add(-forceTime)) {
			return s.version
		}
	}
	return 1
}

// inForce returns the states of the versions from oldest on that were sent before endedAt.
func (v *versions) inForce(oldest int, endedAt time.Time) (list []planState) {
	for _, s := range v.list {
		if s.version >= oldest && s.sentAt.Before(endedAt) {
			list = append(list, stateOf(v.seed, s.version))
		}
	}
	return list
}

// oldestAt returns the oldest version that may be in force at the entry host of an attempt. It is
// that of [versions.oldest] for a host in touch, and none that is older than one whose effect a
// target has seen from the same process more than regressTime before.
func (d *deployment) oldestAt(a attempt, inTouch bool, effects []effect) int {
	oldest, settled := 1, slowRegressTime
	if inTouch {
		oldest, settled = d.versions.oldest(a.sentAt), regressTime
	}
	for _, e := range effects {
		if e.version > oldest && e.at.Before(a.sentAt.Add(-settled)) && !d.mayHaveRestarted(a.entry, e.at, a.endedAt) {
			oldest = e.version
		}
	}
	return oldest
}

// effect is the time at which a target got a request that only a version or later ones allow.
type effect struct {
	at      time.Time
	version int
}

// effects returns the effects of versions by entry host.
func (d *deployment) effects() map[string][]effect {
	m := map[string][]effect{}
	for _, a := range d.probes.attempts {
		var n int
		if scan(a.path, "/added/%d/", &n) {
			for _, r := range d.targets.runsOf(a.id) {
				m[a.entry] = append(m[a.entry], effect{at: r.startedAt, version: n * addedEvery})
			}
		}
	}
	return m
}

// mayHaveRestarted reports whether a fault or a planned stop may have ended the process of a host
// between two times.
func (d *deployment) mayHaveRestarted(name string, from, to time.Time) bool {
	return slices.ContainsFunc(d.faults, func(p period) bool {
		return (p.host == name || p.host == "group") && p.from.Before(to) && (p.to.IsZero() || p.to.After(from))
	})
}

// sendChecks sends requests with paths and keys that the versions of the plan change, over
// connections that callers keep, until ctx ends.
func (d *deployment) sendChecks(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 10))
	var pool []*caller
	for i := range checkCallers {
		pool = append(pool, d.load.balancer.newCaller(i))
	}
	types.Sleep(ctx, calmTime) // All hosts have just started.
	var g errgroup.Group
	for types.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(checkInterval))) {
		a := attempt{account: checkAccount, requestBody: "x", program: "check", timeout: 3 * time.Second}
		switch r.IntN(8) {
		case 0, 1:
			a.path = "/moved/"
		case 2:
			a.path = "/split/"
		case 3:
			a.path = fmt.Sprintf("/tryout/%d/", r.IntN(tryoutRoutes))
		case 4:
			a.path = fmt.Sprintf("/added/%d/", max(0, d.versions.latest()/addedEvery-r.IntN(3)))
		case 5:
			a.path, a.account = "/keyed/", fmt.Sprint(keyedAccount, "-", r.IntN(keyedKeys))
		case 6:
			a.path, a.account = "/keyed/", movingKey
		case 7:
			a.path, a.requestBody = "/timed/", fmt.Sprint(waitInput, timedWork.Milliseconds(), ";")
		}
		c := pool[r.IntN(len(pool))]
		g.Go(func() error {
			d.probes.do(context.WithoutCancel(ctx), c.kept, "soak.example", a)
			return nil
		})
	}
	_ = g.Wait() // The goroutines always return nil.
}

// readVersions reads the configuration from random control hosts until ctx ends.
func (d *deployment) readVersions(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 11))
	for types.Sleep(ctx, time.Duration(r.Int64N(int64(2*readInterval)))) {
		read := versionRead{control: r.IntN(d.fleet.size.controls), sentAt: time.Now()}
		code, b := d.fleet.requestConfig(read.control, http.MethodGet, nil)
		if code != http.StatusOK {
			continue
		}
		var doc struct {
			Version int `json:"version"`
		}
		if err := json.Unmarshal(b, &doc); err != nil || !bytes.Equal(b, d.fleet.size.plan(doc.Version)) {
			d.t.Errorf("the configuration read back is none that was sent: %.80s", b)
		}
		read.version = doc.Version
		d.versions.mu.Lock()
		d.versions.reads = append(d.versions.reads, read)
		d.versions.mu.Unlock()
	}
}

// isInTouch reports whether no fault was active, on any host, from calmTime before an attempt
// until its end, or from twice that if the fault hit all hosts of a role, and no planned stop of
// its entry host.
func (d *deployment) isInTouch(a attempt) bool {
	for _, p := range d.faults {
		settled := calmTime
		if p.host == "group" {
			settled *= 2
		}
		if (!p.planned || p.host == a.entry) && p.from.Before(a.endedAt) && (p.to.IsZero() || p.to.After(a.sentAt.Add(-settled))) {
			return false
		}
	}
	return true
}

// checkVersions checks that each request was handled as one of the versions allows that may
// have been in force, and that reads return none that is older than the acknowledged ones.
func (d *deployment) checkVersions() {
	older := 0
	for _, read := range d.versions.reads {
		if oldest := d.versions.oldest(read.sentAt); read.version < oldest {
			d.t.Errorf("control host %d returned version %d at %v, more than %v after the acknowledgment of version %d",
				read.control, read.version, read.sentAt.Sub(d.started), forceTime, oldest)
		}
		if read.version < d.versions.oldest(read.sentAt.Add(forceTime)) {
			older++
		}
	}
	inTouch, ran, refused := 0, 0, 0
	effects := d.effects()
	var first, added count // of requests on a route of all versions, and on those that were added
	for _, a := range d.probes.attempts {
		touched := d.isInTouch(a)
		if touched {
			inTouch++
		}
		runs := d.targets.runsOf(a.id)
		oldest := d.oldestAt(a, touched, effects[a.entry])
		d.checkProbeRuns(a, runs, oldest)
		ran += len(runs)
		states := d.versions.inForce(oldest, a.endedAt)
		allowed := !slices.ContainsFunc(states, func(s planState) bool { return len(s.services(a.path)) == 0 || s.owner(a.account) == "" })
		switch {
		case !touched || !allowed:
		case a.path == "/moved/":
			first.add(outcome{last: a})
		case strings.HasPrefix(a.path, "/added/"):
			added.add(outcome{last: a})
		}
		if a.status != http.StatusUnauthorized && a.status != http.StatusForbidden && a.status != http.StatusNotFound {
			continue
		}
		refused++
		if allowed {
			d.t.Errorf("%s %s with the key %s, sent at %v, was refused by %s with status %d %s, though all %d versions from %d on allow it",
				a.path, a.id, a.account, a.sentAt.Sub(d.started), a.entry, a.status, a.responseBody, len(states), oldest)
		}
	}
	d.t.Logf("%d reads, %d of them older than a version acknowledged before; %d requests on changed routes, %d at hosts in touch; %d ran, %d were refused for the plan",
		len(d.versions.reads), older, len(d.probes.attempts), inTouch, ran, refused)
	d.t.Logf("served: %d of %d requests on a route of all versions %v, %d of %d on added routes %v", first.served, first.offered, first.failures, added.served, added.offered, added.failures)
	if added.offered >= minAdded && added.share() < first.share()/4 {
		d.t.Error("added routes are served too seldom")
	}
	if inTouch == 0 || ran == 0 || refused == 0 || len(d.versions.reads) == 0 {
		d.t.Error("no changes were tested")
	}
	for _, a := range d.callers.attempts {
		if (a.status == http.StatusUnauthorized || a.status == http.StatusForbidden || a.status == http.StatusNotFound) && a.previous == "" {
			d.t.Errorf("%s %s was refused by %s with status %d %s, though all versions allow it", a.path, a.id, a.entry, a.status, a.responseBody)
		}
	}
	d.checkTimeouts()
}

// checkProbeRuns checks the runs of a request on a changed route, which may run once.
func (d *deployment) checkProbeRuns(a attempt, runs []run, oldest int) {
	if len(runs) > 1 || len(runs) > 0 && a.guaranteesNotRun() {
		d.t.Errorf("%s %s ran %d times, with the response status %d", a.path, a.id, len(runs), a.status)
	}
	if a.status == http.StatusOK && a.complete && a.responseBody != "done "+a.id {
		d.t.Errorf("%s %s received the response body %q", a.path, a.id, a.responseBody)
	}
	for _, r := range runs {
		endedAt := a.endedAt
		if r.startedAt.After(endedAt) {
			endedAt = r.startedAt
		}
		states := d.versions.inForce(oldest, endedAt)
		if r.key != "" || !slices.ContainsFunc(states, func(s planState) bool {
			return r.account != "" && s.owner(a.account) == r.account && slices.Contains(s.services(a.path), r.server.service)
		}) {
			d.t.Errorf("%s %s with the key %s, sent at %v through %s, ran on the service %s for the account %q with the key %q, which none of the %d versions from %d on allows",
				a.path, a.id, a.account, a.sentAt.Sub(d.started), a.entry, r.server.service, r.account, r.key, len(states), oldest)
		}
	}
}

// checkTimeouts checks that requests that take longer than the timeout of their route in all
// versions that may be in force have an answer soon after it, and that others are not broken
// off before theirs.
func (d *deployment) checkTimeouts() {
	var short, late, long, early int
	for _, a := range d.probes.attempts {
		if a.path != "/timed/" || !d.isInTouch(a) || len(d.targets.runsOf(a.id)) == 0 || d.targets.brokeOff(a.id) {
			continue
		}
		isShort := func(s planState) bool { return s.timeout == shortTimeout }
		isLong := func(s planState) bool { return s.timeout == longTimeout }
		states := d.versions.inForce(d.versions.oldest(a.sentAt), a.endedAt)
		switch {
		case !slices.ContainsFunc(states, isLong):
			short++
			if a.endedAt.Sub(a.sentAt) > shortTimeout+answerSlack {
				late++
			}
		case !slices.ContainsFunc(states, isShort):
			long++
			if a.endedAt.Sub(a.sentAt) < timedWork {
				early++
				d.t.Logf("%s on %s was ended after %v with status %d %s, before its timeout", a.id, a.entry, a.endedAt.Sub(a.sentAt), a.status, a.responseBody)
			}
		}
	}
	d.t.Logf("%d of %d requests had no answer %v after their timeout; %d of %d were ended before theirs", late, short, answerSlack, early, long)
	if late >= minLate && late > short/4 || early >= minLate && early > long/4 {
		d.t.Error("timeouts of routes are not kept")
	}
}
