package wire_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/wire"
)

// TestLinkRedialsHostThatHasStarted guards against links that wait for a connection
// request that was lost, since it was sent before its host started, although the host has
// connected to this process since: after a power failure of all hosts, the first election
// waits for the last link.
func TestLinkRedialsHostThatHasStarted(t *testing.T) {
	var own wire.Server
	server := httptest.NewServer(&own)
	defer server.Close()
	host := newProxy(t, startEchoServer(t))
	host.silenceNew(true)
	pool := startPool(t, &wire.Pool{OwnAddress: strings.TrimPrefix(server.URL, "http://"), DialTimeout: time.Hour})
	own.OnPeer = pool.Redial
	link := pool.Link(host.address)
	for host.bytes.Load() == 0 { // Until the connection request has been lost.
		time.Sleep(time.Millisecond)
	}

	host.silenceNew(false)
	startPool(t, &wire.Pool{OwnAddress: host.address}).Link(pool.OwnAddress)
	waitConnected(t, link)
}

// TestRedialOfUnknownAddress checks that addresses without a link, and odd ones, change
// nothing.
func TestRedialOfUnknownAddress(t *testing.T) {
	var pool wire.Pool
	for _, address := range []string{"", "nowhere", "127.0.0.1:1", "\x00"} {
		pool.Redial(address)
	}
}
