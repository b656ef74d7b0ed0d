package soak_test

import (
	"fmt"
	"syscall"
	"time"
)

// registerTime is how long an entry host that was added serves beside the one that it replaces.
const registerTime = 3 * time.Second

// replaceHosts replaces a control host, a store and an entry host by new ones with empty
// directories at other addresses. The control host and the store are lost first; the entry host
// stops as planned once the new one serves.
func (d *deployment) replaceHosts() {
	f := d.fleet
	d.replaceLost(f.rand.IntN(f.size.controls))
	d.replaceLost(f.size.controls + f.rand.IntN(f.size.stores))
	f.waitRecovered()
	i := f.size.controls + f.size.stores + f.rand.IntN(f.size.entries)
	old, added := f.hosts[i], f.newHost(i)
	d.note("%s: added, to replace %s", added.name, old.name)
	f.start(added, false)
	time.Sleep(registerTime)
	d.during(old, "planned stop for good", true, func() { old.stop(syscall.SIGTERM) })
	f.hosts[i] = added
	old.relay.Close()
}

// replaceLost ends the host with a disk at an index for good and starts another one.
func (d *deployment) replaceLost(i int) {
	f := d.fleet
	old, added := f.hosts[i], f.newHost(i)
	d.during(old, "replaced at another address by "+added.name, false, func() {
		old.stop(syscall.SIGKILL)
		old.relay.Close()
		f.start(added, false)
		f.hosts[i] = added
	})
	d.waitHost(added, "replacement of "+old.name)
}

// newHost returns a host of the role and availability zone of the one at an index, with another
// address. It is not started.
func (f *fleet) newHost(i int) *testHost {
	f.t.Helper()
	old := f.hosts[i]
	h := &testHost{t: f.t, role: old.role, zone: old.zone, number: len(f.started) + 1, dir: f.t.TempDir(), binary: old.binary, emptiedAt: time.Now()}
	h.name = fmt.Sprintf("%s-%d", h.role, h.number-1)
	f.startRelay(h)
	return h
}
