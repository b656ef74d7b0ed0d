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

// kills is raised by hand for a long run; see docs/PROMISES.md.
var (
	kills    = flag.Int("kills", 10, "process kills of TestProcessKills")
	killSeed = flag.Uint64("killseed", 1, "seed of TestProcessKills")
)

func idleEngine() *fakes.Engine { return &fakes.Engine{} }

// status returns what control host i says of its replicas, by group.
func (f *fleet) status(i int) (map[string]replica, error) {
	var list []struct {
		Host  string
		Error string
		Reply struct{ Groups map[string]replica }
	}
	out, err := f.admins("groups")
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

// replica is what the tests read of a replica's status.
type replica struct {
	ID     string
	Status struct {
		Role    int
		Applied int
		Members struct{ Voters []struct{ ID string } }
	}
}

// healthy waits until every replica of control host i is a voter of 3 that has
// applied as much as those of host 0.
func (f *fleet) healthy(i int) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("control-%d is a voter", i), func() error {
		own, err := f.status(i)
		if err != nil {
			return err
		}
		first, err := f.status(0)
		if err != nil {
			return err
		}
		for id, r := range own {
			voters := fmt.Sprint(r.Status.Members.Voters)
			if !strings.Contains(voters, r.ID) || len(r.Status.Members.Voters) != 3 || r.Status.Applied < first[id].Status.Applied-64 {
				return fmt.Errorf("group %s: %s among %s, applied %d of %d", id, r.ID, voters, r.Status.Applied, first[id].Status.Applied)
			}
		}
		return nil
	})
}

// TestProcessKills kills control and entry hosts at random while programs run,
// and restarts them. Everything acknowledged is in the history, and no deposit
// is made twice.
func TestProcessKills(t *testing.T) {
	f := newFleet(t, 3, 3, idleEngine)
	var stop atomic.Bool
	var g errgroup.Group
	acked := make([][]string, 6)
	for p := range acked {
		g.Go(func() error { return f.deposits(p, &stop, &acked[p]) })
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
			f.healthy(int(name[len(name)-1] - '0'))
		}
	}
	stop.Store(true)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	made := 0
	for p, answers := range acked {
		made += len(answers)
		f.checkAcked(p, answers)
	}
	for id, n := range f.booking.Effects() {
		if n > 1 {
			t.Errorf("%s was made %d times", id, n)
		}
	}
	t.Logf("%d kills, %d deposits acknowledged, %d made, seed %d", *kills, made, len(f.booking.Effects()), *killSeed)
}

// deposits makes one deposit after the other until told to stop, and notes the
// outcome of each that was acknowledged.
func (f *fleet) deposits(p int, stop *atomic.Bool, acked *[]string) error {
	name := programName(p)
	open := map[string]any{"program": name, "budget": map[string]any{"calls": 1000000, "tokens": 0, "seconds": 3600}}
	if _, err := f.persist(p, http.MethodPost, "/v1/programs", open); err != nil {
		return err
	}
	for n := 1; !stop.Load(); n++ {
		path := fmt.Sprintf("/v1/programs/%s/calls/%d/booking/deposits/%s/%d", name, n, name, n)
		_, err := f.persist(p+n, http.MethodPost, path, map[string]int{"amount": n})
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

func (f *fleet) checkAcked(p int, want []string) {
	f.t.Helper()
	b, err := f.persist(0, http.MethodGet, "/v1/programs/"+programName(p)+"/history", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	var h history
	if err := json.Unmarshal(b, &h); err != nil {
		f.t.Fatal(err)
	}
	if len(h.Calls) < len(want) {
		f.t.Fatalf("%s: %d calls of %d acknowledged", h.Program, len(h.Calls), len(want))
	}
	for i, outcome := range want {
		c := h.Calls[i]
		if c.Number != i+1 || c.Outcome != outcome && c.Outcome != "answered" || string(c.Request) != fmt.Sprintf(`{"amount":%d}`, i+1) {
			f.t.Errorf("%s call %d: acknowledged as %s, stored as %+v", h.Program, i+1, outcome, c)
		}
	}
}

// TestLostDisk takes a control host's disk. It comes back under new identities
// and becomes a voter; right after, a second host is lost, and the group still
// serves with all it had.
func TestLostDisk(t *testing.T) {
	f := newFleet(t, 3, 1, idleEngine)
	before, err := f.status(2)
	if err != nil {
		t.Fatal(err)
	}
	var acked []string
	var stop atomic.Bool
	var g errgroup.Group
	g.Go(func() error { return f.deposits(0, &stop, &acked) })
	f.kill("control-2")
	if err := os.RemoveAll(filepath.Join(f.dir, "data-2")); err != nil {
		t.Fatal(err)
	}
	f.start("control-2")
	f.healthy(2)
	after, err := f.status(2)
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
	f.apply(strings.Replace(f.answers, "burst = 100000", "burst = 99999", 1))
}

// TestMemoryGivenBackAfterKill ends programs and kills a control host at once.
// The engines hold nothing in the end.
func TestMemoryGivenBackAfterKill(t *testing.T) {
	f := newFleet(t, 3, 2, idleEngine)
	const programs = 30
	for p := range programs {
		name := programName(p)
		open := map[string]any{"program": name, "budget": map[string]any{"calls": 1, "tokens": 1024, "seconds": 600}}
		path, body := testCall(name, 1)
		for _, step := range []struct {
			path string
			body any
		}{{"/v1/programs", open}, {"/v1/programs/" + name + "/calls/1" + path, body}, {"/v1/programs/" + name + "/end", nil}} {
			if _, err := f.persist(p, http.MethodPost, step.path, step.body); err != nil {
				t.Fatal(err)
			}
		}
	}
	victim := f.leader("1")
	f.kill(victim)
	f.start(victim)
	f.eventually("memory is given back", func() error {
		if n := len(f.engines[0].Holds()) + len(f.engines[1].Holds()); n > 0 {
			return fmt.Errorf("%d programs are held", n)
		}
		return nil
	})
}

// TestWithdrawalWhileFrozen withdraws a key while one entry host is frozen. The
// withdrawal is reported in force only when the frozen host cannot serve under
// the old configuration any more; thawed, it refuses the key.
func TestWithdrawalWhileFrozen(t *testing.T) {
	f := newFleet(t, 3, 2, idleEngine)
	frozen := f.hosts["entry-1"].Process
	if err := frozen.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	out, err := f.admins("withdraw", "--hash", string(types.HashKey(callerKey)))
	if err != nil {
		t.Fatal(out, err)
	}
	t.Logf("in force after %v: %s", time.Since(start), out)
	if err := frozen.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		for _, a := range f.entries {
			if answer, err := f.ask(a, http.MethodGet, "/v1/programs/none", nil); err == nil || strings.Contains(err.Error(), "notFound") {
				t.Fatalf("ask %d of %s was served: %s %v", i, a, answer, err)
			}
		}
	}
}

// TestLeaderCutOff cuts a leader off from everyone, silently and for long: the
// others go on, its links are mended, and it follows with all it missed.
func TestLeaderCutOff(t *testing.T) {
	f := newFleetOf(t, 3, 2, 2, true, idleEngine)
	var acked []string
	var stop atomic.Bool
	var g errgroup.Group
	g.Go(func() error { return f.deposits(0, &stop, &acked) })
	f.admin = f.metrics[0] // An entry host's administration, which is not cut off.
	first := f.leader("1")
	f.cutOff(first, true)
	f.eventually("another leads", func() error {
		if second := f.leader("1"); second == first {
			return fmt.Errorf("%s leads", second)
		}
		return nil
	})
	version := f.change(20)
	time.Sleep(3 * time.Second)
	f.cutOff(first, false)
	f.healthy(int(first[len(first)-1] - '0'))
	stop.Store(true)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	f.checkAcked(0, acked)
	var fleet config.Fleet
	if err := f.operate(http.MethodGet, "/admin/v1/configuration", nil, &fleet); err != nil || fleet.Version != version {
		t.Errorf("version %d, want %d: %v", fleet.Version, version, err)
	}
	for id, n := range f.booking.Effects() {
		if n > 1 {
			t.Errorf("%s was made %d times", id, n)
		}
	}
	t.Logf("%d deposits", len(acked))
}

// TestMissedChanges changes the configuration a thousand times while one
// control host is away and an entry host is frozen. Both catch up.
func TestMissedChanges(t *testing.T) {
	const changes = 1000
	f := newFleet(t, 3, 2, idleEngine)
	f.kill("control-2")
	frozen := f.hosts["entry-1"].Process
	if err := frozen.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	version := f.change(changes)
	f.start("control-2")
	start := time.Now()
	f.healthy(2)
	t.Logf("control host caught up with %d changes after %v, its start included", changes, time.Since(start))
	if err := frozen.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	start = time.Now()
	f.eventually("in force", func() error {
		var reply struct{ InForce bool }
		if err := f.operate(http.MethodGet, fmt.Sprintf("/admin/v1/versions/%d", version), nil, &reply); err != nil || !reply.InForce {
			return fmt.Errorf("%v %w", reply, err)
		}
		return nil
	})
	t.Logf("entry host caught up after %v", time.Since(start))
	f.waitReady()
}

// change gives n orders and returns the last version.
func (f *fleet) change(n int) types.Version {
	f.t.Helper()
	var fleet config.Fleet
	if err := f.operate(http.MethodGet, "/admin/v1/configuration", nil, &fleet); err != nil {
		f.t.Fatal(err)
	}
	version := fleet.Version
	for i := range n {
		body := manage.OrderBody{ID: types.OrderID(types.RandomID()), Base: version, Summary: "rate"}
		body.Change.PutAccounts = []config.Account{{ID: "band", Rate: types.PerSecond(i + 1), Burst: 1}}
		f.eventually("order", func() error {
			var d admin.Decision
			err := f.operate(http.MethodPost, "/admin/v1/orders", body, &d)
			if err == nil && !d.Accepted {
				f.t.Fatal(d.Reason)
			}
			version = d.Version
			return err
		})
	}
	return version
}

// operate asks the administration interface.
func (f *fleet) operate(method, path string, body, into any) error {
	b, _ := json.Marshal(body)
	req, err := http.NewRequest(method, "http://"+f.admin+path, strings.NewReader(string(b)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+f.operator)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the host answered %s", resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
