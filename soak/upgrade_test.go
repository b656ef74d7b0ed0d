package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// production is the commit whose build the upgrade tests run beside this one, usually the
// last release:
//
//	go test ./soak -run 'Upgrade|Downgrade' -production COMMIT
var production = flag.String("production", "ac87e9b17c85b9eb87919f4886b4764f4c552ab6", "commit of the build that the upgrade tests run beside this one")

// upgradeTest is a fleet that starts with one build, with its targets and callers.
type upgradeTest struct {
	t       *testing.T
	targets *targets
	fleet   *fleet
	callers *callers
	rand    *rand.Rand
}

// newUpgradeTest starts a fleet with the given binary and waits until it serves a
// turn.
func newUpgradeTest(t *testing.T, binary string) *upgradeTest {
	tg, listAddress, err := startTargets(3, 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tg.close)
	f := newFleet(t, small, 1, listAddress, binary)
	u := &upgradeTest{t: t, targets: tg, fleet: f, callers: &callers{fleet: f}, rand: rand.New(rand.NewPCG(1, 5))}
	waitFor(t, "the first configuration", func() bool {
		code, _ := f.requestConfig(0, http.MethodPut, planDocument(1))
		return code == http.StatusOK
	})
	u.sendUntil("the first turn", attempt{account: unlimitedAccount, path: "/turn/", requestBody: "first;", program: "first"}, http.StatusOK)
	return u
}

// sendUntil sends a request repeatedly until the response has the given status. A
// response with status 200 must also be complete.
func (u *upgradeTest) sendUntil(what string, a attempt, status int) attempt {
	u.t.Helper()
	var last attempt
	waitFor(u.t, fmt.Sprintf("%s: status %d", what, status), func() bool {
		last = u.callers.send(context.Background(), u.rand, a)
		return last.status == status && (last.complete || status != http.StatusOK)
	})
	return last
}

// runProgram runs a program with the given number of turns and returns the last
// turn.
func (u *upgradeTest) runProgram(name string, turns int) attempt {
	u.t.Helper()
	last := attempt{}
	for i := range turns {
		what := fmt.Sprintf("turn %d of program %s", i, name)
		last = u.sendUntil(what, attempt{account: unlimitedAccount, path: "/turn/", requestBody: what + ";", previous: last.id, program: name}, http.StatusOK)
	}
	return last
}

// replace stops a host gracefully and restarts it with another build.
func (u *upgradeTest) replace(h *testHost, binary string) {
	u.t.Helper()
	h.stop(syscall.SIGTERM)
	h.binary = binary
	u.fleet.start(h, false)
}

// checkGuarantees checks the guarantees of the fleet by what callers and targets
// observed.
func (u *upgradeTest) checkGuarantees(version int) {
	u.t.Helper()
	checkConfiguration(u.t, u.fleet, version)
	checkRuns(u.t, u.callers, u.targets)
	checkPrompts(u.t, u.callers, u.targets)
	checkBudgets(u.t, u.callers)
	checkRateLimit(u.t, u.targets)
	checkTurnsRetained(u.t, u.callers)
}

// TestUpgradeInPlace stops a fleet of the production build and starts this build with
// the same settings and data directories. It fails if a storage format has changed
// incompatibly: a turn, a budget, the configuration or a key is then lost or
// refused.
func TestUpgradeInPlace(t *testing.T) { restartWith(t, buildProduction(t), "") }

// TestDowngradeInPlace goes back: it starts the production build on what this build has
// written.
func TestDowngradeInPlace(t *testing.T) { restartWith(t, "", buildProduction(t)) }

// restartWith starts a fleet with one binary, stops all hosts and starts them with
// another one.
func restartWith(t *testing.T, before, after string) {
	u := newUpgradeTest(t, before)
	for i := range 20 {
		u.runProgram(fmt.Sprintf("p%d", i), 1+i%programTurns)
	}
	spent := attempt{account: unlimitedAccount, path: "/turn/", requestBody: "more;", program: "spent"}
	u.sendUntil("a program with its budget spent", spent, http.StatusPaymentRequired)
	unknown := attempt{account: "nobody", path: "/charge/", requestBody: "x", program: "nobody"}
	u.sendUntil("a request with an unknown key", unknown, http.StatusUnauthorized)
	for _, h := range u.fleet.hosts {
		h.stop(syscall.SIGTERM)
	}
	for _, h := range u.fleet.hosts {
		h.binary = after
		u.fleet.start(h, false)
	}
	u.fleet.waitRecovered()
	u.sendUntil("a turn after the restart", attempt{account: unlimitedAccount, path: "/turn/", requestBody: "first;", program: "new"}, http.StatusOK)
	if a := u.callers.send(context.Background(), u.rand, spent); a.status != http.StatusPaymentRequired {
		t.Errorf("a program with its budget spent received status %d after the restart", a.status)
	}
	if a := u.callers.send(context.Background(), u.rand, unknown); a.status != http.StatusUnauthorized {
		t.Errorf("an unknown key received status %d after the restart", a.status)
	}
	u.checkGuarantees(1)
}

// TestUpgradeRolling replaces the hosts of a fleet under load one at a time: first all of
// them within the production build, then all of them by this build, and finally one host
// of each role by the production build and by this one again. It fails if the two builds
// cannot read each other's messages. The first round is the baseline: it shows how many
// requests a replacement costs without a change of build.
func TestUpgradeRolling(t *testing.T) {
	old := buildProduction(t)
	u := newUpgradeTest(t, old)
	one := []*testHost{u.fleet.hosts[0], u.fleet.hosts[3], u.fleet.hosts[6]}
	u.replaceAll("production build by production build", u.fleet.hosts, old)
	u.replaceAll("production build by this build", u.fleet.hosts, "")
	u.replaceAll("one of each role back to the production build", one, old)
	u.replaceAll("one of each role by this build again", one, "")
	u.checkGuarantees(1)
}

// replaceAll replaces hosts one after another under load and reports the response
// statuses.
func (u *upgradeTest) replaceAll(name string, hosts []*testHost, binary string) {
	u.t.Helper()
	from := len(u.callers.attempts)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	for i := range uint64(concurrentPrograms) {
		g.Go(func() error { u.callers.runPrograms(ctx, uint64(1000+from)+i); return nil })
	}
	for _, h := range hosts {
		u.replace(h, binary)
		u.fleet.waitRecovered()
		u.sendUntil("a turn after "+h.name+" was replaced",
			attempt{account: unlimitedAccount, path: "/turn/", requestBody: "x;", program: name + h.name}, http.StatusOK)
	}
	time.Sleep(time.Second) // Keep up the load for a while after the last replacement.
	cancel()
	_ = g.Wait() // All goroutines always return nil.
	u.reportStatuses(name, u.callers.attempts[from:])
}

// reportStatuses logs the number of responses by status. A well-formed request of
// an account without a limit may fail because a host stops, but must never be
// refused for its content.
func (u *upgradeTest) reportStatuses(name string, attempts []attempt) {
	u.t.Helper()
	counts := map[int]int{}
	for _, a := range attempts {
		counts[a.status]++
		switch a.status {
		case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusConflict, http.StatusInternalServerError:
			u.t.Errorf("%s: %s %s received status %d: %.100s", name, a.path, a.id, a.status, strings.TrimSpace(a.responseBody))
		}
	}
	u.t.Logf("%s: responses by status (0: no response): %v", name, counts)
}
