package relay

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/types"
)

const (
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
)

var relayedDials = metrics.NewCounter("banyanspur_relay_dials_total")

// Host is a host that relays connections.
type Host struct {
	ID types.HostID
	// Address is the host's peer address.
	Address string
	// SameZone is set for hosts in the availability zone of this one, which are
	// preferred.
	SameZone bool
}

// SetHosts sets the hosts that relay connections.
func (d *Dialer) SetHosts(hosts []Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = hosts
}

// Offers reports whether a host relays connections, or no host does that is known.
func (d *Dialer) Offers(id types.HostID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hosts) == 0 || slices.ContainsFunc(d.hosts, func(h Host) bool { return h.ID == id })
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
		d.background.GoOrRun(func() {
			c, err := d.dialThrough(ctx, h, address)
			outcomes <- relayedDial{h, dialed{c, err}}
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
	d.background.GoOrRun(func() {
		for range n {
			if o := <-outcomes; o.err == nil {
				_ = o.conn.Close()
			}
		}
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
	return newConn(h.ID, address, peer, func() bool { return d.Offers(h.ID) }), nil
}

// httpClient returns the client for connections to relaying hosts.
func (d *Dialer) httpClient() *http.Client {
	d.clientOnce.Do(func() {
		d.client = &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: maxHandshakeBytes, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return fetch.DialTCP(ctx, address)
		}}}
	})
	return d.client
}
