package fakes

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Relay passes TCP connections on to an address, and can be cut silently: the
// connections stay open and nothing comes through. It is safe for concurrent
// use.
type Relay struct {
	// To is the address that connections are passed on to.
	To string

	cut atomic.Bool
}

// Cut cuts the link, or mends it. What was on its way meanwhile is lost, and
// with it the connections that lost something.
func (r *Relay) Cut(cut bool) { r.cut.Store(cut) }

// Run accepts connections from l until ctx ends.
func (r *Relay) Run(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	g.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil // The listener was closed.
			}
			g.Go(func() error {
				r.pass(ctx, conn)
				return nil
			})
		}
	})
	return g.Wait()
}

// pass copies both directions of one connection until one of them ends.
func (r *Relay) pass(ctx context.Context, from net.Conn) {
	to, err := net.Dial("tcp", r.To)
	if err != nil {
		_ = from.Close()
		return
	}
	stop := sync.OnceFunc(func() {
		_ = from.Close()
		_ = to.Close()
	})
	defer context.AfterFunc(ctx, stop)()
	var g errgroup.Group
	for _, ends := range [][2]net.Conn{{from, to}, {to, from}} {
		g.Go(func() error {
			defer stop()
			r.copy(ends[1], ends[0])
			return nil
		})
	}
	_ = g.Wait()
}

const relayBuffer = 32 << 10

// copy passes bytes on until an error, or until some were lost and the link
// is mended: the stream is broken then.
func (r *Relay) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, relayBuffer)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.cut.Load() {
			lost = true
			continue
		}
		if lost {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
