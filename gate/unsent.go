package gate

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnsentBytes is how much of a response the kernel keeps for a caller besides what is on
// its way. Without a limit, it keeps some megabytes for a caller that does not read, which
// count toward the memory of the host.
const maxUnsentBytes = 32 << 10

// LimitUnsent is a ConnContext function of an [http.Server]. It makes the kernel keep no more
// than maxUnsentBytes for the connection that cannot be sent yet. Connections other than TCP
// keep what they do.
func LimitUnsent(ctx context.Context, c net.Conn) context.Context {
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
