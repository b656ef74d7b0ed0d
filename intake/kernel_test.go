package intake_test

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/banyanspur/banyanspur/intake"
)

// TestUnreadBytesAreBounded guards against callers that send on while their request is handled:
// what the kernel keeps for their connections counts toward the memory of the host.
func TestUnreadBytesAreBounded(t *testing.T) {
	const conns, memoryMB = 300, 88
	nl, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := intake.NewBudget(intake.Bytes(memoryMB))
	l := intake.Listen(nl, b, nil)
	defer l.Close()
	var g errgroup.Group
	var unread, largest int64
	var accepted []*intake.Conn
	for range conns {
		c, err := net.Dial("tcp4", nl.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		g.Go(func() error {
			_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			_, _ = c.Write(make([]byte, 1<<20)) // It fails, since nobody reads.
			return nil
		})
		s, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		accepted = append(accepted, s.(*intake.Conn))
	}
	_ = g.Wait()
	for _, c := range accepted {
		raw, err := c.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		_ = raw.Control(func(fd uintptr) {
			n, _ := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
			unread += int64(n)
			largest = max(largest, int64(n))
		})
	}
	// A quarter of the budget is not charged, the rest is within the budget.
	limit := intake.Bytes(memoryMB)/4 + b.Used()
	t.Logf("%d bytes are unread, at most %d of a connection; the bound is %d", unread, largest, limit)
	if unread > limit {
		t.Errorf("%d bytes are unread, want up to %d", unread, limit)
	}
}
