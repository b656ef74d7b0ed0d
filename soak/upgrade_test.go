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

// otherBuild is the path of the banyanspur program of another build, usually
// that of the last release:
//
//	go test ./soak -run Upgrade -other /path/to/banyanspur
var otherBuild = flag.String("other", "", "banyanspur program of another build, for the upgrade tests")

// upgrade is a fleet that starts on one build, and what was sent to it.
type upgrade struct {
	t       *testing.T
	targets *targets
	fleet   *fleet
	callers *callers
	rand    *rand.Rand
}

// newUpgrade starts a fleet on a build and waits until it serves.
func newUpgrade(t *testing.T, binary string) *upgrade {
	tg, list, err := startTargets(3, 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tg.close)
	f := newFleet(t, 1, list, binary)
	u := &upgrade{t: t, targets: tg, fleet: f, callers: &callers{fleet: f}, rand: rand.New(rand.NewPCG(1, 5))}
	waitFor(t, "the first configuration", func() bool {
		code, _ := f.operator(0, http.MethodPut, plan(1))
		return code == http.StatusOK
	})
	u.eventually("the first turn", attempt{account: calmAccount, path: "/turn/", sent: "first;", program: "first"}, http.StatusOK)
	return u
}

// requireOther returns the other build's program, or skips the test.
func requireOther(t *testing.T) string {
	if *otherBuild == "" {
		t.Skip("needs the program of another build: -other PATH")
	}
	return *otherBuild
}

// eventually sends a request until it is answered with a status.
func (u *upgrade) eventually(what string, a attempt, status int) attempt {
	u.t.Helper()
	var last attempt
	waitFor(u.t, fmt.Sprintf("%s: status %d", what, status), func() bool {
		last = u.callers.send(context.Background(), u.rand, a)
		return last.status == status && (last.whole || status != http.StatusOK)
	})
	return last
}

// program sends a program of a few turns and returns the last of them.
func (u *upgrade) program(name string, turns int) attempt {
	u.t.Helper()
	last := attempt{}
	for i := range turns {
		what := fmt.Sprintf("turn %d of program %s", i, name)
		last = u.eventually(what, attempt{account: calmAccount, path: "/turn/", sent: what + ";", previous: last.id, program: name}, http.StatusOK)
	}
	return last
}

// replace stops a machine in order and starts it again on another build.
func (u *upgrade) replace(m *machine, binary string) {
	u.t.Helper()
	m.stop(syscall.SIGTERM)
	m.binary = binary
	u.fleet.start(m, false)
}

// checkPromises checks all that callers and targets saw.
func (u *upgrade) checkPromises(version int) {
	u.t.Helper()
	checkConfiguration(u.t, u.fleet, version)
	checkRuns(u.t, u.callers, u.targets)
	checkChains(u.t, u.callers, u.targets)
	checkBudgets(u.t, u.callers)
	checkLimit(u.t, u.targets)
	checkTurnsAreThere(u.t, u.callers)
}

// TestUpgradeInPlace stops a fleet of the other build and starts this build on
// the same settings and folders. It fails if a stored format has changed: a turn,
// a budget, the configuration or a key is then lost or refused.
func TestUpgradeInPlace(t *testing.T) {
	u := newUpgrade(t, requireOther(t))
	for i := range 20 {
		u.program(fmt.Sprintf("p%d", i), 1+i%programTurns)
	}
	spent := attempt{account: calmAccount, path: "/turn/", sent: "more;", program: "spent"}
	u.eventually("the end of a budget", spent, http.StatusPaymentRequired)
	unknown := attempt{account: "nobody", path: "/charge/", sent: "x", program: "nobody"}
	u.eventually("an unknown key", unknown, http.StatusUnauthorized)
	for _, m := range u.fleet.machines {
		m.stop(syscall.SIGTERM)
	}
	for _, m := range u.fleet.machines {
		m.binary = ""
		u.fleet.start(m, false)
	}
	u.fleet.settle()
	u.eventually("a turn on this build", attempt{account: calmAccount, path: "/turn/", sent: "first;", program: "new"}, http.StatusOK)
	if a := u.callers.send(context.Background(), u.rand, spent); a.status != http.StatusPaymentRequired {
		t.Errorf("a program without budget was answered %d after the restart", a.status)
	}
	if a := u.callers.send(context.Background(), u.rand, unknown); a.status != http.StatusUnauthorized {
		t.Errorf("an unknown key was answered %d after the restart", a.status)
	}
	u.checkPromises(1)
}

// TestUpgradeRolling replaces the hosts of a fleet that serves, one at a time,
// first within the other build and then by this build, and at the end one of each
// role by the other build again. It fails if the two builds do not understand
// each other's messages. The first round shows what a replacement costs by
// itself.
func TestUpgradeRolling(t *testing.T) {
	other := requireOther(t)
	u := newUpgrade(t, other)
	u.roll("other build by other build", u.fleet.machines, other)
	u.roll("other build by this build", u.fleet.machines, "")
	one := []*machine{u.fleet.machines[0], u.fleet.machines[3], u.fleet.machines[6]}
	u.roll("one of each role back to the other build", one, other)
	u.checkPromises(1)
}

// roll replaces machines one after the other while callers send, and reports
// what they saw.
func (u *upgrade) roll(name string, machines []*machine, binary string) {
	u.t.Helper()
	from := len(u.callers.all)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	for i := range uint64(programsAtOnce) {
		g.Go(func() error { u.callers.programs(ctx, uint64(1000+from)+i); return nil })
	}
	for _, m := range machines {
		u.replace(m, binary)
		u.fleet.settle()
		u.eventually("a turn after "+m.name+" was replaced",
			attempt{account: calmAccount, path: "/turn/", sent: "x;", program: name + m.name}, http.StatusOK)
	}
	time.Sleep(time.Second) // Load on the fleet after the last replacement.
	cancel()
	_ = g.Wait() // All return nil.
	u.report(name, u.callers.all[from:])
}

// report counts the answers by status. A well-formed request of an account
// without a limit may meet a host that stops, but is never refused for what it
// says.
func (u *upgrade) report(name string, sent []attempt) {
	u.t.Helper()
	counts := map[int]int{}
	for _, a := range sent {
		counts[a.status]++
		switch a.status {
		case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusConflict, http.StatusInternalServerError:
			u.t.Errorf("%s: %s %s was answered %d: %.100s", name, a.path, a.id, a.status, strings.TrimSpace(a.body))
		}
	}
	u.t.Logf("%s: answers by status (0: none): %v", name, counts)
}
