// Command claims runs a case of the second review: it starts the system's processes on loopback
// addresses, and the stand-ins for clients, replicas and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

func main() {
	runtime.LockOSThread() // The child processes end with the thread that started them.
	if len(os.Args) != 3 {
		fail("usage: claims BINARY RECORD")
	}
	binary, err := filepath.Abs(os.Args[1])
	check(err)
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	code := runClaims(binary, dir, newRecord(os.Args[2]), os.Getenv("TROUBLE") != "0")
	_ = os.RemoveAll(dir) // The processes have ended.
	fmt.Printf("exit %d\n", code)
	os.Exit(code)
}
