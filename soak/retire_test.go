package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
)

// turnsWhileFrozen is how many turns callers send while a host is frozen, to be continued
// through that host.
const turnsWhileFrozen = 20

// lostContact is how long a host is frozen until the others have closed their connections to
// it. What the leader has sent until then is still received on waking up.
const lostContact = 4 * time.Second

// replaceStore adds a store, retires the one at index i of the hosts, removes it once it is
// emptied, and kills another store for d. From frozenFor before the order, an entry host is
// frozen. When it wakes up, with the shard map of before, callers continue turns there that
// they have got through another entry host in the meantime.
func (c *callers) replaceStore(i int, frozenFor, d time.Duration) {
	f := c.fleet
	f.t.Helper()
	retired, added := f.hosts[i], f.newHost(i)
	f.start(added, false)
	waitFor(f.t, added.name+" to register", func() bool { return f.isRegistered(added) })
	n := f.rand.IntN(3)
	frozen, awake := f.hosts[6+n], f.hosts[6+(n+1)%3]
	f.t.Logf("%s: retired, replaced by %s, while %s is frozen", retired.name, added.name, frozen.name)
	frozen.signal(syscall.SIGSTOP)
	time.Sleep(frozenFor)
	waitFor(f.t, retired.name+" to be emptied", func() bool {
		return f.requestRetirement(http.MethodPost, retired) && f.requestRetirement(http.MethodGet, retired)
	})
	f.hosts[i] = added
	previous := c.sendTurns(awake, make([]string, turnsWhileFrozen))
	other := f.hosts[3+(i-3+1+f.rand.IntN(2))%3]
	f.t.Logf("%s: killed for %v", other.name, d)
	other.stop(syscall.SIGKILL)
	wake := time.AfterFunc(d/4, func() { frozen.signal(syscall.SIGCONT) })
	defer wake.Stop()
	c.sendTurns(frozen, previous)
	frozen.disturbedAt = time.Now()
	retired.stop(syscall.SIGKILL)
	retired.relay.Close()
	time.Sleep(d)
	f.start(other, false)
	f.waitRecovered()
}

// sendTurns concurrently sends a turn through one entry host for each of the given ones, which
// it continues unless they are empty. It returns the IDs of the turns that callers got whole,
// and empty ones in place of the others.
func (c *callers) sendTurns(entry *testHost, previous []string) []string {
	ids := make([]string, len(previous))
	var g errgroup.Group
	for i := range previous {
		g.Go(func() error {
			program := fmt.Sprint("frozen ", c.newID())
			a := c.sendTo(context.Background(), entry, attempt{account: unlimitedAccount, path: "/turn/", requestBody: "x;", previous: previous[i], program: program})
			if a.status == http.StatusOK && a.complete {
				ids[i] = a.id
			}
			return nil
		})
	}
	_ = g.Wait() // The goroutines always return nil.
	return ids
}

// isRegistered reports whether the shard map lists a store.
func (f *fleet) isRegistered(h *testHost) bool {
	id, err := os.ReadFile(filepath.Join(h.dir, "data", "turns", "identity"))
	view := f.client.View()
	if err != nil || view.Map == nil {
		return false
	}
	_, ok := view.Map.Members[turns.StoreID(id)]
	return ok
}

// requestRetirement orders a store to be emptied (POST), or asks whether it is (GET), and
// reports whether a control host has agreed.
func (f *fleet) requestRetirement(method string, h *testHost) bool {
	code, body := f.requestControl(f.rand.IntN(f.size.controls), method, "/v1/retire/"+h.name, []byte(`{"deadline_s":10}`), time.Second)
	return code == http.StatusOK && (method == http.MethodPost || strings.Contains(string(body), "complete"))
}

// TestStoresAreReplaced guards against turns that are lost, or answered 404, while stores are
// retired one after the other, entry hosts are frozen meanwhile, and another store is down when
// these wake up.
func TestStoresAreReplaced(t *testing.T) {
	c, tg := startServing(t, *first, 3, 2)
	stop := c.runInBackground(*first)
	c.replaceStore(3, 0, time.Second)
	c.replaceStore(4, lostContact, time.Second)
	c.replaceStore(5, lostContact, time.Second)
	stop()
	checkRuns(t, c, tg)
	checkPrompts(t, c, tg)
	checkTurnsRetained(t, c)
}
