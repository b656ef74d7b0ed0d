package gate

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnsentBytes is how much of a response the kernel keeps for a caller besides what is on
// its way. Without a limit, it keeps some megabytes for a caller that does not read, which
// count toward the memory of the host.
const maxUnsentBytes = 32 << 10

// lingerer is a connection that can be reset.
type lingerer interface {
	SetLinger(seconds int) error
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is the function of that name for the [http.Server] of a [Gate]. It makes the
// kernel keep no more than maxUnsentBytes for the connection that cannot be sent yet, and
// lets the gate reset the connection. Connections other than TCP stay as they are.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	ctx = context.WithValue(ctx, connKey{}, c)
	sc, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return ctx // The connection is closed.
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
	return ctx
}

// abortResponse makes a truncated response of the connection of r look truncated. Of HTTP/1.1,
// it lacks its end. A response of HTTP/1.0 may end with its connection, so that this is reset
// instead of being closed in order.
func abortResponse(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(lingerer); ok && !r.ProtoAtLeast(1, 1) {
		_ = c.SetLinger(0) // Fails if the connection is lost already.
	}
}
