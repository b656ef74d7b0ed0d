package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/admin"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/fakes"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/types"
)

const (
	choirKey      = "key-of-the-choir"
	bandKey       = "key-of-the-band"
	clusterSecret = "a-secret-of-the-test-fleet"
	// waitTimeout limits every wait. It is not an expected duration.
	waitTimeout = 30 * time.Second
)

// fleet runs one control host and two entry hosts in the test process.
type fleet struct {
	t              *testing.T
	client         *ctrl.Client
	entryAddresses []string
	stopEntry      []context.CancelFunc // stops the entry host with the same index
	engine         *fakes.Engine
	booking        *fakes.Service
	// hostList is the path of the platform's host list, which is empty at first.
	hostList string
}

// newFleet starts a fleet with the configuration of initialChange and waits until
// both entry hosts serve it. It marks the test as parallel.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	t.Parallel()
	return startFleet(t)
}

// receivedBytes is the memory that each process of a fleet has for what peers send. The largest
// body takes half of it while it is received.
const receivedBytes = 32 << 20

// startFleet starts a fleet as newFleet does, in a test that is not parallel.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, engine: &fakes.Engine{}, booking: &fakes.Service{}, entryAddresses: fakes.FreeAddresses(2)}
	f.hostList = filepath.Join(t.TempDir(), "hosts")
	if err := os.WriteFile(f.hostList, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	control := []config.ControlHost{{Host: "control-0", Address: fakes.FreeAddresses(1)[0]}}
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	f.client = &ctrl.Client{Hosts: control, Secret: clusterSecret, Groups: 2}
	g.Go(func() error { return f.client.Run(ctx) })
	run := func(ctx context.Context, s config.Settings) {
		s.Control, s.Groups, s.Zone = control, 2, "zone-a"
		p := &host.Process{Settings: s, Secret: clusterSecret, DrainLag: 50 * time.Millisecond, Received: intake.NewBudget(receivedBytes)}
		g.Go(func() error { return p.Run(ctx) })
	}
	run(ctx, config.Settings{Host: "control-0", Roles: []config.Role{config.RoleControl}, DataDir: t.TempDir(), PeerListen: control[0].Address})
	for i, address := range f.entryAddresses {
		entryCtx, stop := context.WithCancel(ctx)
		f.stopEntry = append(f.stopEntry, stop)
		run(entryCtx, config.Settings{Host: types.HostID(fmt.Sprintf("entry-%d", i)), Roles: []config.Role{config.RoleEntry}, CallerListen: address, HostListFile: f.hostList})
	}
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	f.applyOrder(f.initialChange())
	return f
}

// initialChange returns the first configuration: account choir, whose rate limit
// is not reached, account band with a low rate limit, and one target for each of
// a model, a plain and an anonymous service.
func (f *fleet) initialChange() config.Change {
	return config.Change{
		PutAccounts: []config.Account{{ID: "choir", Rate: 10000, Burst: 10000}, {ID: "band", Rate: 10, Burst: 3}},
		PutKeys:     []config.Key{{Hash: types.HashKey(choirKey), Account: "choir"}, {Hash: types.HashKey(bandKey), Account: "band"}},
		PutServices: []config.Service{
			{ID: "assistant", Kind: config.KindModel},
			{ID: "booking", Kind: config.KindPlain, NonIdempotentPrefixes: []string{"/deposits"}},
			{ID: "lobby", Kind: config.KindPlain, Anonymous: true},
		},
		PutTargets: []config.Target{
			{ID: "engine-0", Service: "assistant", Address: f.startServer(f.engine.Handler()), Zone: "zone-a"},
			{ID: "booking-0", Service: "booking", Address: f.startServer(f.booking), Zone: "zone-a"},
			{ID: "lobby-0", Service: "lobby", Address: f.startServer(f.booking), Zone: "zone-a"},
		},
	}
}

// startServer starts an HTTP server and returns its address.
func (f *fleet) startServer(h http.Handler) string {
	s := httptest.NewServer(h)
	f.t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// applyOrder submits a configuration change and waits until it is in force and
// all entry hosts serve requests.
func (f *fleet) applyOrder(change config.Change) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	id := types.OrderID(types.RandomID())
	var version types.Version
	f.eventually("order", func() error {
		current, err := f.client.Fleet(ctx)
		if err != nil {
			return err
		}
		d, err := f.client.SubmitOrder(ctx, newOrder(id, current.Version, change))
		if err != nil {
			return err
		}
		if !d.Accepted {
			f.t.Fatal(d.Reason)
		}
		version = d.Version
		return nil
	})
	f.waitInForce(version)
	for i := range f.entryAddresses {
		f.eventually("entry is ready", func() error {
			if resp := f.request(i, choirKey, http.MethodGet, "/v1/programs/none", ""); resp.status == http.StatusServiceUnavailable || resp.err != nil {
				return fmt.Errorf("%+v", resp)
			}
			return nil
		})
	}
}

// eventually calls fn until it returns nil and fails the test after waitTimeout.
func (f *fleet) eventually(what string, fn func() error) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := fn()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// waitInForce waits until every entry host serves under the version.
func (f *fleet) waitInForce(v types.Version) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	f.eventually("in force", func() error {
		reply, err := f.client.InForce(ctx, v)
		if err == nil && !reply.InForce {
			err = fmt.Errorf("waiting for %v", reply.PendingHosts)
		}
		return err
	})
}

// waitEngineBusy waits until the engine has started to process a prompt.
func (f *fleet) waitEngineBusy(e *fakes.Engine) {
	f.t.Helper()
	f.eventually("engine is busy", func() error {
		if computed, _ := e.PrefillTokens(); computed == 0 {
			return fmt.Errorf("no prompt tokens computed")
		}
		return nil
	})
}

// response is the result of a request to an entry host.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// fault contains the fields of an error response that the tests check.
type fault struct {
	Code, Ran string
}

// fault returns the fault in the body, or the zero value if there is none.
func (r response) fault() fault {
	var b struct {
		Error fault `json:"error"`
	}
	_ = json.Unmarshal([]byte(r.body), &b)
	return b.Error
}

// request sends a request to the entry host with the given index. If key is
// empty, no Authorization header is sent.
func (f *fleet) request(entry int, key, method, path, body string) response {
	req, err := http.NewRequest(method, "http://"+f.entryAddresses[entry]+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return f.do(req)
}

func (f *fleet) do(req *http.Request) response {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(bytes.TrimSpace(b)), err: err}
}

// openProgram opens a program of account choir.
func (f *fleet) openProgram(name string) {
	f.t.Helper()
	body := fmt.Sprintf(`{"program":%q,"budget":{"calls":50,"tokens":2000,"seconds":600,"depth":2}}`, name)
	if resp := f.request(0, choirKey, http.MethodPost, "/v1/programs", body); resp.status != http.StatusCreated {
		f.t.Fatalf("open: %+v", resp)
	}
}

// call sends call n of a program of account choir.
func (f *fleet) call(entry int, program string, n int, path, body string) response {
	return f.request(entry, choirKey, http.MethodPost, fmt.Sprintf("/v1/programs/%s/calls/%d%s", program, n, path), body)
}

func newOrder(id types.OrderID, base types.Version, change config.Change) admin.Order {
	return admin.Order{ID: id, Base: base, Change: change, Operator: "tester"}
}
