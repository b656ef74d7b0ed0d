package fakes

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Relay forwards TCP connections to an address and can simulate a network
// partition: connections stay open but no data passes. It is safe for concurrent
// use.
type Relay struct {
	// Upstream is the address to which connections are forwarded.
	Upstream string

	partitioned atomic.Bool
}

// SetPartitioned starts a partition, or ends it if partitioned is false. Data sent
// during the partition is lost, and connections that lost data are closed when
// they receive more after its end.
func (r *Relay) SetPartitioned(partitioned bool) { r.partitioned.Store(partitioned) }

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
				r.proxy(ctx, conn)
				return nil
			})
		}
	})
	return g.Wait()
}

// proxy forwards both directions of one connection until one of them ends.
func (r *Relay) proxy(ctx context.Context, from net.Conn) {
	to, err := net.Dial("tcp", r.Upstream)
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
	for _, direction := range [][2]net.Conn{{from, to}, {to, from}} {
		g.Go(func() error {
			defer stop()
			r.copy(direction[1], direction[0])
			return nil
		})
	}
	_ = g.Wait()
}

const relayBufferBytes = 32 << 10

// copy forwards data until an error occurs, or until data arrives after some
// was lost in a partition: the stream is corrupt then.
func (r *Relay) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, relayBufferBytes)
	lost := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.partitioned.Load() {
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
