package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/relay"
	"github.com/banyanspur/banyanspur/types"
)

// TestTargetIsReachedThroughAnotherHost checks that connections go through another host
// while this one cannot reach the target, whichever way its own ones fail, and that they
// are its own ones again afterwards.
func TestTargetIsReachedThroughAnotherHost(t *testing.T) {
	for _, c := range []struct {
		cut    error
		change string
	}{{syscall.ECONNREFUSED, "cut"}, {syscall.ECONNRESET, "cut"}, {errSilent, "cut silently"}} {
		t.Run(c.cut.Error(), func(t *testing.T) {
			tg := newTarget(t)
			d := newDialer(t, newRelayingHost(t, "entry-2", true, tg))
			d.network.setCut(c.cut)
			long := strings.Repeat("x", 50_000) // More than a frame.
			if got, err := exchange(t, d.dialThrough(t, tg), long); got != long || err != nil {
				t.Errorf("%d bytes came back, %v", len(got), err)
			}
			d.awaitChanges(t, c.change)
			d.dialThrough(t, tg)
			d.network.setCut(nil)
			d.awaitChanges(t, c.change, "healed")
			conn, err := d.Dial(context.Background(), tg.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, ok := conn.(*relay.Conn); ok {
				t.Error("the connection goes through another host after the path has healed")
			}
		})
	}
}

// TestZoneWithoutPathUsesAnotherZone guards against hosts of a zone that only ask each
// other, although a partition has cut off all of them.
func TestZoneWithoutPathUsesAnotherZone(t *testing.T) {
	for _, cut := range []error{syscall.ECONNREFUSED, errSilent} {
		tg := newTarget(t)
		var hosts []*relayingHost
		for _, id := range []types.HostID{"entry-2", "entry-3", "entry-4"} {
			h := newRelayingHost(t, id, true, tg)
			h.network.setCut(cut)
			hosts = append(hosts, h)
		}
		d := newDialer(t, append(hosts, newRelayingHost(t, "entry-5", false, tg))...)
		d.network.setCut(cut)
		for range 5 {
			if diff := cmp.Diff(types.HostID("entry-5"), d.dialThrough(t, tg).Host()); diff != "" {
				t.Errorf("relaying host (-want +got):\n%s", diff)
			}
		}
	}
}

// TestEndOfRelayedConnection checks that the three ways in which a relayed connection can
// end are told apart. If the end of the relaying host looked like that of the target's
// connection, a truncated response without a length would look complete.
func TestEndOfRelayedConnection(t *testing.T) {
	tg := newTarget(t)
	h := newRelayingHost(t, "entry-2", true, tg)
	d := newDialer(t, h)
	d.network.setCut(syscall.ECONNREFUSED)
	for text, want := range map[string]error{"end": io.EOF, "break": syscall.ECONNRESET} {
		c := d.dialThrough(t, tg)
		if _, err := exchange(t, c, "a"); err != nil || !c.Quiet() {
			t.Errorf("exchange: %v, quiet %t", err, c.Quiet())
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(c); !errors.Is(err, want) && !(want == io.EOF && err == nil) {
			t.Errorf("after %q: error %v, want %v", text, err, want)
		}
		if c.Quiet() {
			t.Errorf("after %q: a connection that has ended is quiet", text)
		}
	}
	c := d.dialThrough(t, tg)
	if _, err := exchange(t, c, "a"); err != nil { // From here on, the host knows the connection.
		t.Errorf("exchange: %v", err)
	}
	h.lose()
	if _, err := io.ReadAll(c); !errors.Is(err, relay.ErrHostLost) {
		t.Errorf("after the loss of the relaying host: error %v, want %v", err, relay.ErrHostLost)
	}
}

// TestUnreachableTarget checks that a target that no host reaches is told apart from one
// to which only the way is missing: only the former has ended.
func TestUnreachableTarget(t *testing.T) {
	tg := newTarget(t)
	h := newRelayingHost(t, "entry-2", true, tg)
	d := newDialer(t, h)
	d.network.setCut(syscall.ECONNREFUSED)
	h.network.setCut(syscall.ECONNREFUSED)
	if _, err := d.Dial(context.Background(), tg.address); !errors.Is(err, relay.ErrUnreachable) {
		t.Errorf("no host reaches the target: error %v, want %v", err, relay.ErrUnreachable)
	}
	h.server.Close()
	if _, err := d.Dial(context.Background(), tg.address); err == nil || errors.Is(err, relay.ErrUnreachable) {
		t.Errorf("no host relays: error %v", err)
	}
	d.awaitChanges(t)
}

// TestRelayRefusesOthers checks that a host relays only for hosts with the secret, and
// only to targets.
func TestRelayRefusesOthers(t *testing.T) {
	tg := newTarget(t)
	h := newRelayingHost(t, "entry-2", true, tg)
	for _, c := range []struct {
		secret, address string
		want            int
	}{
		{"wrong", tg.address, http.StatusUnauthorized},
		{"", tg.address, http.StatusUnauthorized},
		{secret, "127.0.0.1:22", http.StatusNotFound},
		{secret, "", http.StatusNotFound},
	} {
		req, err := http.NewRequest(http.MethodGet, h.server.URL+relay.Path+"?target="+c.address, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Banyanspur-Relay-Secret", c.secret)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if diff := cmp.Diff(c.want, resp.StatusCode); diff != "" {
			t.Errorf("secret %q, target %q: status (-want +got):\n%s", c.secret, c.address, diff)
		}
	}
	if n := tg.accepted.Load(); n != 0 {
		t.Errorf("the target got %d connections", n)
	}
}

// TestSilentTargetIsNotCut guards against a sound target that is silent for a while being
// taken for one that cannot be reached.
func TestSilentTargetIsNotCut(t *testing.T) {
	tg := newTarget(t)
	d := newDialer(t, newRelayingHost(t, "entry-2", true, tg))
	c, err := d.Dial(context.Background(), tg.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(interface{ SetBusy(bool) }).SetBusy(true)
	time.Sleep(1200 * time.Millisecond)
	d.awaitChanges(t)
	if got, err := exchange(t, c, "late"); got != "late" || err != nil {
		t.Errorf("%q came back, %v", got, err)
	}
}

// TestSilentPathIsFound guards against requests on connections that hang: the path to a
// target that sends nothing is checked, and idle connections to others are not reused
// until these were heard from.
func TestSilentPathIsFound(t *testing.T) {
	first, second := newTarget(t), newTarget(t)
	d := newDialer(t, newRelayingHost(t, "entry-2", true, first))
	var conns []net.Conn
	for _, tg := range []*target{first, second} {
		c, err := d.Dial(context.Background(), tg.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	d.network.setCut(errSilent)
	quiet := func(c net.Conn) bool { return c.(interface{ Quiet() bool }).Quiet() }
	if !quiet(conns[1]) {
		t.Error("the idle connection counts as hanging before the cut was found")
	}
	conns[0].(interface{ SetBusy(bool) }).SetBusy(true)
	d.awaitChanges(t, "cut silently")
	if quiet(conns[1]) {
		t.Error("the idle connection to the other target is reused")
	}
}

// TestConnectionOfStoppingHostIsNotReused guards against requests on a connection through a
// host that no longer offers to relay, since it stops: its process may end before they do.
func TestConnectionOfStoppingHostIsNotReused(t *testing.T) {
	tg := newTarget(t)
	stopping, other := newRelayingHost(t, "entry-2", true, tg), newRelayingHost(t, "entry-3", true, tg)
	d := newDialer(t, stopping)
	d.network.setCut(syscall.ECONNREFUSED)
	c := d.dialThrough(t, tg)
	if got, err := exchange(t, c, "first"); got != "first" || err != nil {
		t.Fatalf("received %q, %v", got, err)
	}
	for _, step := range []struct {
		offered  []relay.Host
		reusable bool
	}{{[]relay.Host{stopping.host, other.host}, true}, {nil, true}, {[]relay.Host{other.host}, false}} {
		d.SetHosts(step.offered)
		if got := c.Quiet(); got != step.reusable {
			t.Errorf("offered %v: reusable %t", step.offered, got)
		}
	}
}
