package relay

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/types"
)

// ErrUnreachable is the error of a target that neither this host nor a relaying one can
// connect to.
var ErrUnreachable = errors.New("relay: another host cannot reach the target either")

const (
	// hedgeDelay is how long a direct dial may take until a relayed one is made beside
	// it. It is several round trips between zones.
	hedgeDelay = 80 * time.Millisecond
	// TargetTimeout limits the time in which a relaying host connects to a target. It is
	// shorter than [fetch.DefaultDialTimeout], since the caller has already waited for
	// hedgeDelay.
	TargetTimeout = 150 * time.Millisecond
	// relayTimeout is the timeout of a relayed dial. It covers TargetTimeout and the
	// way to the relaying host.
	relayTimeout = TargetTimeout + 150*time.Millisecond
	// maxHosts is how many hosts are asked to relay one connection.
	maxHosts = 2
	// avoidTime is how long a host that could not relay is avoided.
	avoidTime = time.Second
	// checkTick is how often the paths are looked through.
	checkTick = 100 * time.Millisecond
	// silenceTime is how long a target with requests may send nothing until the path to
	// it is checked, and silentCheckInterval the pause between such checks.
	silenceTime         = 500 * time.Millisecond
	silentCheckInterval = 2 * time.Second
	// healCheckInterval is the pause between checks whether a path that was cut works
	// again.
	healCheckInterval = 500 * time.Millisecond
)

var (
	relayedDials = metrics.NewCounter("banyanspur_relay_dials_total")
	cutPaths     = metrics.NewCounter("banyanspur_relay_cut_paths_total")
)

// Host is a host that relays connections.
type Host struct {
	ID types.HostID
	// Address is the host's peer address.
	Address string
	// SameZone is set for hosts in the availability zone of this one, which are
	// preferred.
	SameZone bool
}

// Dialer opens connections to targets. If this host's own connection to a target cannot
// be made, it opens one through another host, and goes on to do so until its own way
// works again. Set the exported fields, then call [Dialer.Run]. The other methods are safe
// for concurrent use at any time.
type Dialer struct {
	// ID is the ID of this host.
	ID types.HostID
	// Secret authenticates this host to the others.
	Secret string
	// Direct opens this host's own connection to an address.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Keep receives connections that were opened to check a path, for later use.
	Keep func(address string, c net.Conn)
	// OnCut, if set, is called when a target can no longer be reached directly. silent
	// is set if nothing refuses new connections, so that open ones are likely to hang.
	OnCut func(address string, silent bool)
	// OnHeal, if set, is called when a target can be reached directly again.
	OnHeal func(address string)
	// Log receives events. The zero value discards them.
	Log event.Log

	mu         sync.Mutex
	hosts      []Host
	next       int // rotates hosts
	avoidUntil map[types.HostID]time.Time
	paths      map[string]*path // by address
	// silentAt is when a path was last found to be cut silently. Idle connections to
	// targets that were not heard from since may hang.
	silentAt time.Time

	background errgroup.Group
	clientOnce sync.Once
	client     *http.Client // for connections to relaying hosts
}

// SetHosts sets the hosts that relay connections.
func (d *Dialer) SetHosts(hosts []Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = hosts
}

// HasHosts reports whether any host relays connections.
func (d *Dialer) HasHosts() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hosts) > 0
}

// selectHosts returns the hosts to ask for a relayed connection, each time others, and
// without those that could not relay lately: one of this zone and one of another zone, if
// there are any, since a partition may cut off all hosts of a zone.
func (d *Dialer) selectHosts() []Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	now := time.Now()
	var near, far []Host
	for i := range d.hosts {
		h := d.hosts[(i+d.next)%len(d.hosts)]
		switch {
		case now.Before(d.avoidUntil[h.ID]):
		case h.SameZone:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	if len(near) > 0 && len(far) > 0 {
		return []Host{near[0], far[0]}
	}
	hosts := slices.Concat(near, far)
	if len(hosts) == 0 {
		hosts = slices.Clone(d.hosts)
	}
	return hosts[:min(maxHosts, len(hosts))]
}

// avoid makes selectHosts leave out the given hosts for avoidTime.
func (d *Dialer) avoid(hosts []Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.avoidUntil == nil {
		d.avoidUntil = map[types.HostID]time.Time{}
	}
	for _, h := range hosts {
		d.avoidUntil[h.ID] = time.Now().Add(avoidTime)
	}
}

// Dial opens a connection to the address of a target. The error is marked with
// [ErrUnreachable] if a relaying host could not reach the target either.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if !d.HasHosts() {
		return d.dialDirect(ctx, address)
	}
	if !d.isCut(address) {
		return d.dialEither(ctx, address)
	}
	c, err := d.dialRelayed(ctx, address)
	if errors.Is(err, ErrHostLost) {
		return d.dialDirect(ctx, address) // No host relays.
	}
	return c, err
}

// dialDirect opens this host's own connection.
func (d *Dialer) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, fetch.DefaultDialTimeout)
	defer cancel()
	c, err := d.Direct(ctx, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.path(address)
	p.heardAt = time.Now()
	return &directConn{Conn: c, dialer: d, path: p}, nil
}

// dialed is the outcome of a dial.
type dialed struct {
	conn net.Conn
	err  error
}

// start runs a dial in the background and returns a channel for its outcome.
func (d *Dialer) start(ctx context.Context, address string, dial func(ctx context.Context, address string) (net.Conn, error)) <-chan dialed {
	done := make(chan dialed, 1)
	d.background.Go(func() error {
		c, err := dial(ctx, address)
		done <- dialed{c, err}
		return nil
	})
	return done
}

// dialEither opens this host's own connection, and a relayed one if that fails or takes
// longer than hedgeDelay. The direct dial goes on if the relayed one is faster, since its
// outcome tells whether the path is cut.
func (d *Dialer) dialEither(ctx context.Context, address string) (net.Conn, error) {
	direct := d.start(context.WithoutCancel(ctx), address, d.dialDirect)
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	select {
	case r := <-direct:
		if r.err == nil {
			return r.conn, nil
		}
		return d.relayAfter(ctx, address, r.err)
	case <-ctx.Done():
		d.keepWhenDone(address, direct)
		return nil, ctx.Err()
	case <-hedge.C:
	}
	relayCtx, cancel := context.WithCancel(ctx)
	relayed := d.start(relayCtx, address, d.dialRelayed)
	select {
	case r := <-direct:
		if r.err == nil {
			cancel()
			d.keepWhenDone(address, relayed)
			return r.conn, nil
		}
		defer cancel()
		return d.decide(address, r.err, <-relayed)
	case r := <-relayed:
		cancel()
		if r.err != nil {
			return d.awaitDirect(ctx, address, direct, r.err)
		}
		d.background.Go(func() error {
			if late := <-direct; late.err != nil {
				d.setCut(address, late.err)
			} else {
				d.Keep(address, late.conn)
			}
			return nil
		})
		return r.conn, nil
	}
}

// relayAfter opens a relayed connection after a direct dial has failed.
func (d *Dialer) relayAfter(ctx context.Context, address string, directErr error) (net.Conn, error) {
	c, err := d.dialRelayed(ctx, address)
	return d.decide(address, directErr, dialed{c, err})
}

// decide returns the outcome of a failed direct dial and a relayed one.
func (d *Dialer) decide(address string, directErr error, relayed dialed) (net.Conn, error) {
	if relayed.err == nil {
		d.setCut(address, directErr)
		return relayed.conn, nil
	}
	if errors.Is(relayed.err, ErrUnreachable) {
		return nil, errors.Mark(directErr, ErrUnreachable)
	}
	return nil, directErr
}

// awaitDirect returns the outcome of the direct dial after the relayed one has failed.
func (d *Dialer) awaitDirect(ctx context.Context, address string, direct <-chan dialed, relayErr error) (net.Conn, error) {
	select {
	case r := <-direct:
		if r.err != nil {
			return d.decide(address, r.err, dialed{err: relayErr})
		}
		return r.conn, nil
	case <-ctx.Done():
		d.keepWhenDone(address, direct)
		return nil, ctx.Err()
	}
}

// keepWhenDone keeps the connection of a dial that is no longer waited for.
func (d *Dialer) keepWhenDone(address string, done <-chan dialed) {
	d.background.Go(func() error {
		if r := <-done; r.err == nil {
			d.Keep(address, r.conn)
		}
		return nil
	})
}

// dialRelayed opens a connection through another host. It asks the next host if one fails
// or takes longer than hedgeDelay. The error is marked with [ErrUnreachable] if a host
// could not reach the target, and none could, and else with [ErrHostLost].
func (d *Dialer) dialRelayed(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hosts := d.selectHosts()
	outcomes := make(chan relayedDial, len(hosts))
	err := errors.Mark(errors.New("relay: there is no other host"), ErrHostLost)
	started, pending := 0, 0
	startNext := func() {
		if started == len(hosts) {
			return
		}
		h := hosts[started]
		started, pending = started+1, pending+1
		d.background.Go(func() error {
			c, err := d.dialThrough(ctx, h, address)
			outcomes <- relayedDial{h, dialed{c, err}}
			return nil
		})
	}
	startNext()
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	var failed []Host
	for pending > 0 {
		select {
		case <-hedge.C:
			startNext()
		case o := <-outcomes:
			pending--
			if o.err == nil {
				d.avoid(failed)
				d.closeWhenDone(outcomes, pending)
				return o.conn, nil
			}
			failed = append(failed, o.host)
			if !errors.Is(err, ErrUnreachable) {
				err = o.err
			}
			if errors.Is(o.err, ErrHostLost) {
				d.avoid([]Host{o.host})
			}
			startNext()
		}
	}
	return nil, err
}

// relayedDial is the outcome of a dial through a host.
type relayedDial struct {
	host Host
	dialed
}

// closeWhenDone closes the connections of n dials that are no longer waited for.
func (d *Dialer) closeWhenDone(outcomes <-chan relayedDial, n int) {
	if n == 0 {
		return
	}
	d.background.Go(func() error {
		for range n {
			if o := <-outcomes; o.err == nil {
				_ = o.conn.Close()
			}
		}
		return nil
	})
}

// dialThrough opens a connection through the given host.
func (d *Dialer) dialThrough(ctx context.Context, h Host, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	relayedDials.Inc()
	u := url.URL{Scheme: "ws", Host: h.Address, Path: Path, RawQuery: url.Values{targetParam: {address}}.Encode()}
	peer, resp, err := websocket.Dial(ctx, u.String(), &websocket.DialOptions{
		HTTPClient: d.httpClient(), HTTPHeader: http.Header{secretHeader: {d.Secret}, hostHeader: {string(d.ID)}}, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		mark := ErrHostLost
		if resp != nil && resp.StatusCode == http.StatusBadGateway {
			mark = ErrUnreachable
		}
		return nil, errors.Mark(errors.Wrapf(err, "relay: connect through %s", h.ID), mark)
	}
	return newConn(h.ID, address, peer), nil
}

// httpClient returns the client for connections to relaying hosts.
func (d *Dialer) httpClient() *http.Client {
	d.clientOnce.Do(func() {
		d.client = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return fetch.DialTCP(ctx, address)
		}}}
	})
	return d.client
}

// Run checks the paths to targets that are silent or that were cut, until ctx ends.
func (d *Dialer) Run(ctx context.Context) error {
	for types.Sleep(ctx, checkTick) {
		for _, address := range d.dueChecks(time.Now()) {
			d.check(ctx, address)
		}
	}
	d.httpClient().CloseIdleConnections()
	return d.background.Wait()
}

// dueChecks returns the addresses of the paths to be checked, and marks them as being
// checked.
func (d *Dialer) dueChecks(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var due []string
	for address, p := range d.paths {
		age := now.Sub(p.checkedAt)
		wanted := p.cut && age > healCheckInterval || !p.cut && p.silent(now) && age > silentCheckInterval
		if wanted && !p.checking {
			p.checking = true
			due = append(due, address)
		}
	}
	return due
}

// check finds out in the background whether a target can be reached directly, and if not,
// whether it can be reached through another host.
func (d *Dialer) check(ctx context.Context, address string) {
	d.background.Go(func() error {
		defer func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			p := d.path(address)
			p.checking, p.checkedAt = false, time.Now()
		}()
		c, err := d.dialDirect(ctx, address)
		if err == nil {
			d.setCut(address, nil)
			d.Keep(address, c)
			return nil
		}
		if d.isCut(address) || !d.HasHosts() || ctx.Err() != nil {
			return nil
		}
		relayed, relayErr := d.dialRelayed(ctx, address)
		if relayErr == nil {
			d.setCut(address, err)
			d.Keep(address, relayed)
		}
		return nil
	})
}
