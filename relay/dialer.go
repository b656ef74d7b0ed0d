package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/types"
)

// ErrUnreachable is the error of a target that neither this host nor a relaying one can
// connect to.
var ErrUnreachable = errors.New("relay: another host cannot reach the target either")

// hedgeDelay is how long a dial may take until another one is made beside it. It is several
// round trips between zones.
const hedgeDelay = 80 * time.Millisecond

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

	// background runs dials, and what follows on them. After the end of Run, callers do.
	background types.Background
	clientOnce sync.Once
	client     *http.Client // for connections to relaying hosts
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
	d.background.GoOrRun(func() {
		c, err := dial(ctx, address)
		done <- dialed{c, err}
	})
	return done
}

// dialEither opens this host's own connection, and a relayed one if that fails or takes
// longer than hedgeDelay. The direct dial goes on if the relayed one is faster, since its
// outcome tells whether the path is cut.
func (d *Dialer) dialEither(ctx context.Context, address string) (net.Conn, error) {
	direct := d.start(context.WithoutCancel(ctx), address, d.dialDirect)
	keep := func(c net.Conn) { d.Keep(address, c) }
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	select {
	case r := <-direct:
		if r.err == nil {
			return r.conn, nil
		}
		return d.relayAfter(ctx, address, r.err)
	case <-ctx.Done():
		d.whenDone(direct, keep)
		return nil, ctx.Err()
	case <-hedge.C:
	}
	relayCtx, cancel := context.WithCancel(ctx)
	relayed := d.start(relayCtx, address, d.dialRelayed)
	select {
	case r := <-direct:
		if r.err == nil {
			cancel()
			d.whenDone(relayed, func(c net.Conn) { _ = c.Close() })
			return r.conn, nil
		}
		defer cancel()
		return d.decide(address, r.err, <-relayed)
	case r := <-relayed:
		cancel()
		if r.err != nil {
			return d.awaitDirect(ctx, address, direct, r.err, keep)
		}
		d.background.GoOrRun(func() {
			if late := <-direct; late.err != nil {
				d.setCut(address, late.err)
			} else {
				keep(late.conn)
			}
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

// awaitDirect returns the outcome of the direct dial after the relayed one has failed. If
// ctx ends first, keep gets its connection.
func (d *Dialer) awaitDirect(ctx context.Context, address string, direct <-chan dialed, relayErr error, keep func(net.Conn)) (net.Conn, error) {
	select {
	case r := <-direct:
		if r.err != nil {
			return d.decide(address, r.err, dialed{err: relayErr})
		}
		return r.conn, nil
	case <-ctx.Done():
		d.whenDone(direct, keep)
		return nil, ctx.Err()
	}
}

// whenDone calls use with the connection of a dial that is no longer waited for, if there
// is one.
func (d *Dialer) whenDone(done <-chan dialed, use func(net.Conn)) {
	d.background.GoOrRun(func() {
		if r := <-done; r.err == nil {
			use(r.conn)
		}
	})
}
