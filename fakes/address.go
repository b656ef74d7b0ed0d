package fakes

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports below those that systems hand out by themselves, so that no outgoing
// connection or other server takes one between its choice and its use.
const (
	firstPort   = 20000
	portCount   = 12000
	portsPerRun = 97
)

var nextPort atomic.Int64

// FreeAddresses returns n addresses on 127.0.0.1 on which nobody listens. It
// returns fewer if there are none left. It is safe for concurrent use.
func FreeAddresses(n int) []string {
	var list []string
	for range portCount {
		if len(list) == n {
			break
		}
		port := firstPort + (int64(os.Getpid())*portsPerRun+nextPort.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close() // It was open for the check alone.
		list = append(list, address)
	}
	return list
}
