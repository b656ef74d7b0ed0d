package fetch_test

import (
	"net"
	"testing"

	"github.com/banyanspur/banyanspur/fetch"
)

// TestPoolWithoutConnectionsClosesNone guards against a process that ends because a path is
// cut, or a relaying host stops, before the pool has held its first connection.
func TestPoolWithoutConnectionsClosesNone(t *testing.T) {
	var p fetch.Pool
	p.CloseIdle("127.0.0.1:1", func(net.Conn) bool { return true })
}
