package gate_test

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
)

// delayClaims makes the store late with claims, and not with chains, by a time: it gets the map with which the gate asks it only then.
func (b *testbed) delayClaims(d time.Duration) {
	v := b.fleet.View()
	m := &turns.Map{Members: v.Map.Members}
	for _, p := range v.Map.Shards {
		p.Epoch++
		m.Shards = append(m.Shards, p)
	}
	v.Map = m
	b.fleet.setView(v)
	time.AfterFunc(d, func() { b.store.SetMap(m) })
}

// lateRepliesListener delays what is written to its connections by the replyLatency of a testbed, in order.
type lateRepliesListener struct {
	net.Listener
	b *testbed
	g *errgroup.Group
}

func (l lateRepliesListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	late := &lateRepliesConn{Conn: c, b: l.b, writes: make(chan lateReply, 4096), closed: make(chan struct{})}
	l.g.Go(late.run)
	return late, nil
}

type lateRepliesConn struct {
	net.Conn
	b      *testbed
	writes chan lateReply
	closed chan struct{}
	once   sync.Once
}

type lateReply struct {
	data []byte
	at   time.Time
}

func (c *lateRepliesConn) Write(data []byte) (int, error) {
	select {
	case c.writes <- lateReply{append([]byte(nil), data...), time.Now().Add(time.Duration(c.b.replyLatency.Load()))}:
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *lateRepliesConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *lateRepliesConn) run() error {
	for {
		select {
		case w := <-c.writes:
			time.Sleep(time.Until(w.at))
			if _, err := c.Conn.Write(w.data); err != nil {
				return nil //nolint:nilerr // The reader finds the end of the connection.
			}
		case <-c.closed:
			return nil
		}
	}
}
