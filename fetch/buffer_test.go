package fetch_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/fetch"
)

// TestUnreadResponsesTakeBoundedMemory guards against many callers at once that do not read large
// responses: what the kernel keeps for the connections to targets counts toward the memory of
// the host.
func TestUnreadResponsesTakeBoundedMemory(t *testing.T) {
	const calls, receiveBytes = 90, 5 << 20 // The target notes up to 100 requests.
	var sent atomic.Int64
	tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		if id, ok := next(); ok {
			n, _ := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, 64<<20)
			_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10) // Little of what is sent is kept on this side.
			piece := make([]byte, 4<<10)
			for err := error(nil); err == nil; n, err = c.Write(piece) {
				sent.Add(int64(n))
			}
		}
	})
	p := fetch.Pool{ReceiveBytes: receiveBytes}
	for i := range calls {
		id := fmt.Sprint(i)
		resp, err := p.Do(t.Context(), tg.address, &fetch.Request{
			Method: http.MethodGet, RequestTarget: "/", Host: "a.example", Header: http.Header{"Id": {id}}, ID: id, IDHeader: "Id",
		})
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Close()
	}
	time.Sleep(time.Second)
	// The n-th connection gets an n-th of the bytes, and the sender keeps some.
	limit := int64(receiveBytes*5 + calls*(48<<10))
	t.Logf("%d bytes were sent, the bound is %d", sent.Load(), limit)
	if sent.Load() > limit {
		t.Errorf("%d bytes were sent without being read, want up to %d", sent.Load(), limit)
	}
	resp, err := p.Do(t.Context(), tg.address, &fetch.Request{
		Method: http.MethodGet, RequestTarget: "/", Host: "a.example", Header: http.Header{"Id": {"read"}}, ID: "read", IDHeader: "Id",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	begin := time.Now()
	if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, 8<<20)); err != nil || n != 8<<20 {
		t.Errorf("read %d bytes, %v", n, err)
	}
	t.Logf("8 MiB with the smallest buffer took %v", time.Since(begin))
}
