package relay

import (
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
)

var cutPaths = metrics.NewCounter("banyanspur_relay_cut_paths_total")

// path is the state of this host's own way to the address of a target.
type path struct {
	cut       bool      // the target is reached through other hosts
	checkedAt time.Time // when the path was last checked
	checking  bool
	busy      int       // connections with a request in flight
	heardAt   time.Time // when the target last sent anything or accepted a connection, or busy was last 0
}

// silent reports whether the target has sent nothing for silenceTime although it has
// requests.
func (p *path) silent(now time.Time) bool {
	return p.busy > 0 && now.Sub(p.heardAt) > silenceTime
}

// path returns the state of a path. The caller must hold mu.
func (d *Dialer) path(address string) *path {
	p := d.paths[address]
	if p == nil {
		if d.paths == nil {
			d.paths = map[string]*path{}
		}
		p = &path{}
		d.paths[address] = p
	}
	return p
}

func (d *Dialer) isCut(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path(address).cut
}

// setCut records whether a target can be reached directly. cause is the error of the
// attempt to do so.
func (d *Dialer) setCut(address string, cause error) {
	d.mu.Lock()
	p := d.path(address)
	cut := cause != nil
	changed := p.cut != cut
	p.cut, p.checkedAt = cut, time.Now()
	d.mu.Unlock()
	if !changed {
		return
	}
	if !cut {
		d.Log.Write(event.PathHealed, event.Fields{"address": address})
		if d.OnHeal != nil {
			d.OnHeal(address)
		}
		return
	}
	silent := !errors.Is(cause, syscall.ECONNREFUSED) && !errors.Is(cause, syscall.ECONNRESET)
	if silent {
		d.mu.Lock()
		d.silentAt = time.Now()
		d.mu.Unlock()
	}
	cutPaths.Inc()
	d.Log.Write(event.PathCut, event.Fields{"address": address, "error": cause.Error(), "silent": silent})
	if d.OnCut != nil {
		d.OnCut(address, silent)
	}
}

// Stranded reports whether this host cannot reach half of the targets or more, and so
// cannot relay connections of others.
func (d *Dialer) Stranded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	cut := 0
	for _, p := range d.paths {
		if p.cut {
			cut++
		}
	}
	return cut > 0 && 2*cut >= len(d.paths)
}

// KeepOnly drops the state of the paths to other addresses.
func (d *Dialer) KeepOnly(addresses map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, p := range d.paths {
		if !addresses[address] && p.busy == 0 {
			delete(d.paths, address)
		}
	}
}

// directConn is this host's own connection to a target. It records when the target sends
// something.
type directConn struct {
	net.Conn
	dialer *Dialer
	path   *path
	busy   bool
}

// Read reads from the connection.
func (c *directConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.dialer.mu.Lock()
		c.path.heardAt = time.Now()
		c.dialer.mu.Unlock()
	}
	return n, err
}

// Quiet reports whether the connection can be expected to work: the target was heard from
// since a path was last found to be cut silently.
func (c *directConn) Quiet() bool {
	c.dialer.mu.Lock()
	defer c.dialer.mu.Unlock()
	return c.path.heardAt.After(c.dialer.silentAt)
}

// SetBusy sets whether a request is in flight on the connection.
func (c *directConn) SetBusy(busy bool) {
	c.dialer.mu.Lock()
	defer c.dialer.mu.Unlock()
	if busy == c.busy {
		return
	}
	c.busy = busy
	if !busy {
		c.path.busy--
		return
	}
	if c.path.busy == 0 {
		c.path.heardAt = time.Now()
	}
	c.path.busy++
}

// SyscallConn returns the raw connection, with which its state can be queried.
func (c *directConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.New("relay: not a system connection")
}
