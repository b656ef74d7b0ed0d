package host_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/admin"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/fakes"
	"github.com/banyanspur/banyanspur/manage"
	"github.com/banyanspur/banyanspur/types"
)

// kills can be raised on the command line for a long run; see docs/PROMISES.md.
var (
	kills    = flag.Int("kills", 10, "process kills of TestProcessKills")
	killSeed = flag.Uint64("killseed", 1, "seed of TestProcessKills")
)

func defaultEngine() *fakes.Engine { return &fakes.Engine{} }

// replicas returns the replicas of control host i by group, as the host reports
// them.
func (f *fleet) replicas(i int) (map[string]replica, error) {
	var list []struct {
		Host  string
		Error string
		Reply struct{ Groups map[string]replica }
	}
	out, err := f.runAdmin("groups")
	if err != nil {
		return nil, fmt.Errorf("%w: %s", err, out)
	}
	if err := json.Unmarshal([]byte(out), &list); err != nil {
		return nil, err
	}
	if list[i].Error != "" {
		return nil, fmt.Errorf("%s: %s", list[i].Host, list[i].Error)
	}
	return list[i].Reply.Groups, nil
}

// replica is the part of a replica's status that the tests check.
type replica struct {
	ID     string
	Status struct {
		Role    int
		Applied int
		Members struct{ Voters []struct{ ID string } }
	}
}

// waitHealthy waits until every replica of control host i is one of 3 voters and
// lags the replica of host 0 by at most 64 applied entries.
func (f *fleet) waitHealthy(i int) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("control-%d is a voter", i), func() error {
		own, err := f.replicas(i)
		if err != nil {
			return err
		}
		first, err := f.replicas(0)
		if err != nil {
			return err
		}
		for id, r := range own {
			voters := fmt.Sprint(r.Status.Members.Voters)
			if !strings.Contains(voters, r.ID) || len(r.Status.Members.Voters) != 3 || r.Status.Applied < first[id].Status.Applied-64 {
				return fmt.Errorf("group %s: replica %s, voters %s, applied %d of %d", id, r.ID, voters, r.Status.Applied, first[id].Status.Applied)
			}
		}
		return nil
	})
}

// TestProcessKills kills and restarts random control and entry hosts while
// programs run. Every acknowledged deposit must be in the history, and none may
// be executed twice.
func TestProcessKills(t *testing.T) {
	f := newFleet(t, 3, 3, defaultEngine)
	var stop atomic.Bool
	var g errgroup.Group
	acked := make([][]string, 6)
	for p := range acked {
		g.Go(func() error { return f.makeDeposits(p, &stop, &acked[p]) })
	}
	r := rand.New(rand.NewPCG(*killSeed, 0))
	for range *kills {
		name := fmt.Sprintf("entry-%d", r.IntN(3))
		control := r.IntN(2) == 0
		if control {
			name = fmt.Sprintf("control-%d", 1+r.IntN(2))
		}
		f.kill(name)
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		f.start(name)
		if control {
			f.waitHealthy(int(name[len(name)-1] - '0'))
		}
	}
	stop.Store(true)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	ackedCount := 0
	for p, outcomes := range acked {
		ackedCount += len(outcomes)
		f.checkAcked(p, outcomes)
	}
	for id, n := range f.booking.Effects() {
		if n > 1 {
			t.Errorf("%s was executed %d times", id, n)
		}
	}
	t.Logf("%d kills, %d deposits acknowledged, %d executed, seed %d", *kills, ackedCount, len(f.booking.Effects()), *killSeed)
}

// makeDeposits makes one deposit after the other until stop is set, and appends
// the outcome of each acknowledged one to acked.
func (f *fleet) makeDeposits(p int, stop *atomic.Bool, acked *[]string) error {
	name := programName(p)
	open := map[string]any{"program": name, "budget": map[string]any{"calls": 1000000, "tokens": 0, "seconds": 3600}}
	if _, err := f.requestUntilAnswered(p, http.MethodPost, "/v1/programs", open); err != nil {
		return err
	}
	for n := 1; !stop.Load(); n++ {
		path := fmt.Sprintf("/v1/programs/%s/calls/%d/booking/deposits/%s/%d", name, n, name, n)
		_, err := f.requestUntilAnswered(p+n, http.MethodPost, path, map[string]int{"amount": n})
		outcome := "answered"
		if err != nil {
			if !strings.Contains(err.Error(), "outcomeUnknown") {
				return err
			}
			outcome = "unknown"
		}
		*acked = append(*acked, outcome)
	}
	return nil
}

// checkAcked checks that the history of program p contains the acknowledged
// deposits in order, with outcomes that agree with want.
func (f *fleet) checkAcked(p int, want []string) {
	f.t.Helper()
	b, err := f.requestUntilAnswered(0, http.MethodGet, "/v1/programs/"+programName(p)+"/history", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	var h history
	if err := json.Unmarshal(b, &h); err != nil {
		f.t.Fatal(err)
	}
	if len(h.Calls) < len(want) {
		f.t.Fatalf("%s: the history has %d calls, %d were acknowledged", h.Program, len(h.Calls), len(want))
	}
	for i, outcome := range want {
		c := h.Calls[i]
		if c.Number != i+1 || c.Outcome != outcome && c.Outcome != "answered" || string(c.Request) != fmt.Sprintf(`{"amount":%d}`, i+1) {
			f.t.Errorf("%s call %d: acknowledged as %s, stored as %+v", h.Program, i+1, outcome, c)
		}
	}
}

// TestLostDisk deletes the data directory of a control host, which must come back
// with new replica identities and become a voter. A second control host is then
// killed at once; the groups must keep serving without having lost anything.
func TestLostDisk(t *testing.T) {
	f := newFleet(t, 3, 1, defaultEngine)
	before, err := f.replicas(2)
	if err != nil {
		t.Fatal(err)
	}
	var acked []string
	var stop atomic.Bool
	var g errgroup.Group
	g.Go(func() error { return f.makeDeposits(0, &stop, &acked) })
	f.kill("control-2")
	if err := os.RemoveAll(filepath.Join(f.dir, "data-2")); err != nil {
		t.Fatal(err)
	}
	f.start("control-2")
	f.waitHealthy(2)
	after, err := f.replicas(2)
	if err != nil {
		t.Fatal(err)
	}
	for id, r := range after {
		if r.ID == before[id].ID {
			t.Errorf("group %s: the lost replica came back as %s", id, r.ID)
		}
	}
	f.kill("control-1")
	time.Sleep(time.Second)
	stop.Store(true)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	f.checkAcked(0, acked)
	f.apply(strings.Replace(f.questionnaire, "burst = 100000", "burst = 99999", 1))
}

// TestMemoryReleasedAfterKill ends programs and at once kills the leader of a
// group. The engines must still release the cached prefixes of all programs.
func TestMemoryReleasedAfterKill(t *testing.T) {
	f := newFleet(t, 3, 2, defaultEngine)
	const programs = 30
	for p := range programs {
		name := programName(p)
		open := map[string]any{"program": name, "budget": map[string]any{"calls": 1, "tokens": 1024, "seconds": 600}}
		path, body := testCall(name, 1)
		for _, step := range []struct {
			path string
			body any
		}{{"/v1/programs", open}, {"/v1/programs/" + name + "/calls/1" + path, body}, {"/v1/programs/" + name + "/end", nil}} {
			if _, err := f.requestUntilAnswered(p, http.MethodPost, step.path, step.body); err != nil {
				t.Fatal(err)
			}
		}
	}
	leader := f.leader("1")
	f.kill(leader)
	f.start(leader)
	f.eventually("cached prefixes are released", func() error {
		if n := len(f.engines[0].CachedPrefixes()) + len(f.engines[1].CachedPrefixes()); n > 0 {
			return fmt.Errorf("engines have the cached prefixes of %d programs", n)
		}
		return nil
	})
}

// TestKeyWithdrawalWhileSuspended withdraws a key while one entry host is
// suspended with SIGSTOP. The withdrawal may be reported as in force only once
// the suspended host can no longer serve with the old configuration. After
// SIGCONT, the host must reject the key.
func TestKeyWithdrawalWhileSuspended(t *testing.T) {
	f := newFleet(t, 3, 2, defaultEngine)
	suspended := f.hosts["entry-1"].Process
	if err := suspended.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	out, err := f.runAdmin("withdraw", "--hash", string(types.HashKey(callerKey)))
	if err != nil {
		t.Fatal(out, err)
	}
	t.Logf("in force after %v: %s", time.Since(start), out)
	if err := suspended.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		for _, a := range f.entries {
			if response, err := f.request(a, http.MethodGet, "/v1/programs/none", nil); err == nil || strings.Contains(err.Error(), "notFound") {
				t.Fatalf("request %d to %s was served: %s %v", i, a, response, err)
			}
		}
	}
}

// TestLeaderPartitioned silently partitions the leader of a group from all other
// hosts for several seconds. The others must elect a new leader and keep serving.
// Once its links are restored, the old leader must catch up.
func TestLeaderPartitioned(t *testing.T) {
	f := newCustomFleet(t, 3, 2, 2, true, defaultEngine)
	var acked []string
	var stop atomic.Bool
	var g errgroup.Group
	g.Go(func() error { return f.makeDeposits(0, &stop, &acked) })
	f.adminAddress = f.entryAdmins[0] // An entry host's administration interface, which stays reachable.
	oldLeader := f.leader("1")
	f.setPartitioned(oldLeader, true)
	f.eventually("another host leads", func() error {
		if newLeader := f.leader("1"); newLeader == oldLeader {
			return fmt.Errorf("%s still leads", newLeader)
		}
		return nil
	})
	version := f.submitOrders(20)
	time.Sleep(3 * time.Second)
	f.setPartitioned(oldLeader, false)
	f.waitHealthy(int(oldLeader[len(oldLeader)-1] - '0'))
	stop.Store(true)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	f.checkAcked(0, acked)
	var fleet config.Fleet
	if err := f.adminRequest(http.MethodGet, "/admin/v1/configuration", nil, &fleet); err != nil || fleet.Version != version {
		t.Errorf("version %d, want %d: %v", fleet.Version, version, err)
	}
	for id, n := range f.booking.Effects() {
		if n > 1 {
			t.Errorf("%s was executed %d times", id, n)
		}
	}
	t.Logf("%d deposits", len(acked))
}

// TestMissedChanges changes the configuration 1000 times while one control host
// is down and one entry host is suspended with SIGSTOP. Both must catch up.
func TestMissedChanges(t *testing.T) {
	const changes = 1000
	f := newFleet(t, 3, 2, defaultEngine)
	f.kill("control-2")
	suspended := f.hosts["entry-1"].Process
	if err := suspended.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	version := f.submitOrders(changes)
	f.start("control-2")
	start := time.Now()
	f.waitHealthy(2)
	t.Logf("control host caught up with %d changes after %v, including its start", changes, time.Since(start))
	if err := suspended.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	start = time.Now()
	f.eventually("the last order is in force", func() error {
		var reply struct{ InForce bool }
		if err := f.adminRequest(http.MethodGet, fmt.Sprintf("/admin/v1/versions/%d", version), nil, &reply); err != nil || !reply.InForce {
			return fmt.Errorf("%v %w", reply, err)
		}
		return nil
	})
	t.Logf("entry host caught up after %v", time.Since(start))
	f.waitReady()
}

// submitOrders submits n orders that change an account's rate, and returns the
// configuration version after the last one.
func (f *fleet) submitOrders(n int) types.Version {
	f.t.Helper()
	var fleet config.Fleet
	if err := f.adminRequest(http.MethodGet, "/admin/v1/configuration", nil, &fleet); err != nil {
		f.t.Fatal(err)
	}
	version := fleet.Version
	for i := range n {
		body := manage.OrderBody{ID: types.OrderID(types.RandomID()), Base: version, Summary: "rate"}
		body.Change.PutAccounts = []config.Account{{ID: "band", Rate: types.PerSecond(i + 1), Burst: 1}}
		f.eventually("order", func() error {
			var d admin.Decision
			err := f.adminRequest(http.MethodPost, "/admin/v1/orders", body, &d)
			if err == nil && !d.Accepted {
				f.t.Fatal(d.Reason)
			}
			version = d.Version
			return err
		})
	}
	return version
}

// adminRequest sends a request with the operator's key to the administration
// interface and decodes the response into result.
func (f *fleet) adminRequest(method, path string, body, result any) error {
	b, _ := json.Marshal(body)
	req, err := http.NewRequest(method, "http://"+f.adminAddress+path, strings.NewReader(string(b)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+f.operatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the host responded with %s", resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(result)
}
