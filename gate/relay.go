package gate

import (
	"context"
	"net"
	"net/http"
	"slices"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/relay"
	"github.com/banyanspur/banyanspur/types"
)

// initRelay connects the pool to the dialer that opens connections through other hosts if
// this host cannot reach a target.
func (g *Gate) initRelay() {
	if g.DialTarget == nil {
		g.DialTarget = fetch.DialTCP
	}
	d := &g.dialer
	d.ID, d.Secret, d.Log, d.Direct, d.Keep = g.Host, g.Secret, g.Log, g.DialTarget, g.pool.Keep
	d.OnCut = func(address string, silent bool) {
		if silent { // Open connections are likely to hang.
			g.pool.CloseIdle(address, func(c net.Conn) bool { return !isRelayed(c) })
		}
	}
	d.OnHeal = func(address string) { g.pool.CloseIdle(address, isRelayed) }
	g.pool.Dial = d.Dial
	g.initRelayServer()
}

// isRelayed reports whether a connection goes through another host.
func isRelayed(c net.Conn) bool {
	_, ok := c.(*relay.Conn)
	return ok
}

// isRetired reports whether a connection goes through a host that no longer relays any.
func (g *Gate) isRetired(c net.Conn) bool {
	relayed, ok := c.(*relay.Conn)
	return ok && !g.dialer.Offers(relayed.Host())
}

// RelayHandler returns the handler of [relay.Path] on this host's peer address.
func (g *Gate) RelayHandler() http.Handler {
	g.init()
	return &g.relayServer
}

func (g *Gate) initRelayServer() {
	g.relayServer = relay.Server{
		Secret: g.Secret, Log: g.Log, Received: g.Received, IsTarget: g.isTarget, Accepting: func() bool { return g.offerRelay() != nil },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, relay.TargetTimeout)
			defer cancel()
			return g.DialTarget(ctx, address)
		},
	}
}

// isTarget reports whether a listed target has the given address.
func (g *Gate) isTarget(address string) bool {
	return slices.ContainsFunc(g.Fleet.View().Targets, func(t fleet.Target) bool { return t.Address == address })
}

// offerRelay returns what the leader tells other hosts about this one, or nil if it does
// not relay connections now.
func (g *Gate) offerRelay() *fleet.RelayHost {
	if g.RelayAddress == "" || g.stopping.Load() != nil || g.dialer.Stranded() {
		return nil
	}
	return &fleet.RelayHost{Host: g.Host, Address: g.RelayAddress, Zone: g.Zone}
}

// setRelays sets the hosts that this host may ask to relay connections. It does nothing
// if they have not changed.
func (g *Gate) setRelays(relays *fleet.Relays) {
	if relays == nil {
		return
	}
	var hosts []relay.Host
	var ids []types.HostID
	for _, r := range relays.List {
		hosts = append(hosts, relay.Host{ID: r.Host, Address: r.Address, SameZone: r.Zone == g.Zone})
		ids = append(ids, r.Host)
	}
	g.relaysSum = relays.Checksum
	g.dialer.SetHosts(hosts)
	for _, t := range g.Fleet.View().Targets {
		g.pool.CloseIdle(t.Address, g.isRetired) // A host that stops waits for them.
	}
	g.Log.Write(event.RelaysChanged, event.Fields{"hosts": ids})
}
