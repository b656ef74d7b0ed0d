package fakes

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports lie below the ephemeral range of common systems, so that no outgoing
// connection or other server takes one between its selection and its use.
const (
	firstPort       = 20000
	portCount       = 12000
	portsPerProcess = 97
)

var nextPort atomic.Int64

// FreeAddresses returns n unused addresses on 127.0.0.1, or fewer if there are
// not enough. It is safe for concurrent use.
func FreeAddresses(n int) []string {
	var addresses []string
	for range portCount {
		if len(addresses) == n {
			break
		}
		port := firstPort + (int64(os.Getpid())*portsPerProcess+nextPort.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close() // Only opened to check that the port is free.
		addresses = append(addresses, address)
	}
	return addresses
}
