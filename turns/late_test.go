package turns_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/turns"
)

// lateListener delays what its connections send, in order, as a process does that seldom runs.
type lateListener struct {
	net.Listener
	latency time.Duration
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	late := &lateConn{Conn: c, latency: l.latency, writes: make(chan lateWrite, 1024), closed: make(chan struct{})}
	go late.run()
	return late, nil
}

type lateConn struct {
	net.Conn
	latency time.Duration
	writes  chan lateWrite
	closed  chan struct{}
	once    sync.Once
}

type lateWrite struct {
	b  []byte
	at time.Time
}

func (c *lateConn) Write(b []byte) (int, error) {
	select {
	case c.writes <- lateWrite{append([]byte(nil), b...), time.Now().Add(c.latency)}:
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *lateConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// run writes what is due until the connection is closed or breaks.
func (c *lateConn) run() {
	for {
		select {
		case w := <-c.writes:
			select {
			case <-time.After(time.Until(w.at)):
			case <-c.closed:
				return
			}
			if _, err := c.Conn.Write(w.b); err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// TestChainFromLateStores guards against chains that are given up shortly before the stores
// reply, and requested from all of them again by each attempt of the caller.
func TestChainFromLateStores(t *testing.T) {
	c := newCluster(t, 3)
	writeTurn(t, c.client(), "choir", "p", "first", "")
	for i, s := range c.stores {
		s.shutDown()
		s.replyLatency = 560 * time.Millisecond
		c.restartStore(i)
	}
	r := c.client()
	begin := time.Now()
	chain, err := r.ChainOf(withTimeout(t, 3*time.Second), "choir", "p", "first")
	if err != nil || len(chain) != 1 {
		t.Errorf("a chain of %d turns after %v from stores that reply after 0.56 s: %v", len(chain), time.Since(begin), err)
	}
}

// TestMissingTurnBesideSilentStore guards against a turn that is proven missing, and whose
// caller is told only at the end of its time since one store does not reply.
func TestMissingTurnBesideSilentStore(t *testing.T) {
	c := newCluster(t, 3)
	writeTurn(t, c.client(), "choir", "p", "first", "")
	c.stores[2].shutDown()
	c.stores[2].replyLatency = time.Hour
	c.restartStore(2)
	r := c.client()
	begin := time.Now()
	_, err := r.ChainOf(withTimeout(t, stepTimeout), "choir", "p", turns.TurnID("none"))
	if took := time.Since(begin); err == nil || took > 2*time.Second {
		t.Errorf("found out after %v that there is no such turn: %v", took, err)
	}
}
