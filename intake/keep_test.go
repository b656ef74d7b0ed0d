package intake_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/intake"
)

// TestUnusedHijackedConnectionsYield guards against ports whose places are taken by connections
// that have shaken hands and send nothing: new ones must get in, and used ones must stay.
func TestUnusedHijackedConnectionsYield(t *testing.T) {
	const places = 10
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := intake.ListenHosts(inner, intake.NewBudget(64<<20))
	listener.MaxConns = places
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		if r.URL.Path == "/used" {
			intake.Keep(r.Context())
		}
		_, _ = io.WriteString(c, "open\n")
		_, _ = io.Copy(io.Discard, c)
	}))
	_ = server.Listener.Close()
	server.Listener = listener
	server.Config.ConnState, server.Config.ConnContext = intake.SetState, intake.ConnContext
	server.Start()
	var conns []net.Conn
	t.Cleanup(func() {
		for _, c := range conns {
			_ = c.Close()
		}
		server.Close()
	})
	dial := func(path string) (c net.Conn, open bool) {
		t.Helper()
		c, err := net.Dial("tcp4", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		line, _ := bufio.NewReader(c).ReadString('\n')
		return c, line == "open\n"
	}
	used, open := dial("/used")
	if !open {
		t.Fatal("the first connection is refused")
	}
	for range places - 1 {
		dial("/unused")
	}
	time.Sleep(600 * time.Millisecond) // Unused ones count as idle then.
	for i := range places - 1 {
		if _, open := dial("/used"); !open {
			t.Errorf("connection %d beside unused ones is refused", i)
		}
	}
	_ = used.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := used.Read(make([]byte, 1)); err == io.EOF {
		t.Error("a used connection was closed")
	}
}
