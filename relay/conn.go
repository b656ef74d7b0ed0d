package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
)

// ErrHostLost is the error of a relayed connection that ended because of the relaying
// host or the way to it. It says nothing about the target.
var ErrHostLost = errors.New("relay: the connection to the relaying host was lost")

// Conn is a connection to a target through another host. It has no deadlines.
type Conn struct {
	host    types.HostID
	address string
	peer    *websocket.Conn
	// offered reports whether the host still relays connections.
	offered  func() bool
	cancel   context.CancelFunc
	ctx      context.Context //nolint:containedctx // Ends with Close.
	incoming chan []byte     // received frames; closed after readErr is set
	readErr  error
	reader   errgroup.Group

	mu     sync.Mutex
	unread []byte
}

var _ net.Conn = (*Conn)(nil)

func newConn(host types.HostID, address string, peer *websocket.Conn, offered func() bool) *Conn {
	c := &Conn{host: host, address: address, peer: peer, offered: offered, incoming: make(chan []byte)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	peer.SetReadLimit(maxFrameBytes)
	c.reader.Go(func() error {
		defer close(c.incoming)
		c.readErr = c.receive()
		return nil
	})
	return c
}

// receive passes received frames on until the connection ends, and returns why it ended.
func (c *Conn) receive() error {
	for {
		_, b, err := c.peer.Read(c.ctx)
		switch {
		case websocket.CloseStatus(err) == websocket.StatusNormalClosure:
			return io.EOF
		case websocket.CloseStatus(err) == statusTargetLost:
			return syscall.ECONNRESET
		case c.ctx.Err() != nil:
			return net.ErrClosed
		case err != nil:
			return errors.Mark(err, ErrHostLost)
		}
		select {
		case c.incoming <- b:
		case <-c.ctx.Done():
			return net.ErrClosed
		}
	}
}

// Host returns the host that relays the connection.
func (c *Conn) Host() types.HostID { return c.host }

// Read reads what the target has sent. It returns io.EOF only if the target has closed
// its connection.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unread) == 0 {
		b, ok := <-c.incoming
		if !ok {
			return 0, c.readErr
		}
		c.unread = b
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Quiet reports whether the connection is open and may be used again: nothing has been
// received that was not read, and the host still relays connections. A host that stops offers
// none, and ends those that it relays when its process ends.
func (c *Conn) Quiet() bool {
	if !c.offered() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case b, ok := <-c.incoming:
		if ok {
			c.unread = b
		}
		return false
	default:
		return len(c.unread) == 0
	}
}

// Write sends bytes to the target.
func (c *Conn) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		frame := p[sent:min(len(p), sent+frameBytes)]
		if err := c.peer.Write(c.ctx, websocket.MessageBinary, frame); err != nil {
			return sent, errors.Mark(err, ErrHostLost)
		}
		sent += len(frame)
	}
	return sent, nil
}

// Close closes the connection, and so that of the relaying host to the target.
func (c *Conn) Close() error {
	c.cancel()
	err := c.peer.CloseNow()
	_ = c.reader.Wait() // It always returns nil.
	return err
}

// LocalAddr returns nil, since the connection has no address of its own.
func (c *Conn) LocalAddr() net.Addr { return nil }

// RemoteAddr returns the address of the target.
func (c *Conn) RemoteAddr() net.Addr {
	a, err := net.ResolveTCPAddr("tcp4", c.address)
	if err != nil {
		return nil
	}
	return a
}

// SetDeadline does nothing.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }
