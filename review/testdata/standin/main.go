// Command standin runs the cases of the review: it starts the system's processes on
// loopback addresses, and the stand-ins for clients, replicas and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

func main() {
	runtime.LockOSThread() // The child processes end with the thread that started them.
	if len(os.Args) != 4 {
		fail("usage: standin CASE BINARY RECORD")
	}
	binary, err := filepath.Abs(os.Args[2])
	check(err)
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	rec := newRecord(os.Args[3])
	trouble := os.Getenv("TROUBLE") != "0"
	code := exitNotRun
	switch os.Args[1] {
	case "drain":
		code = runDrain(binary, dir, rec, trouble)
	case "retire":
		code = runRetire(binary, dir, rec, trouble)
	case "stale":
		code = runStale(binary, dir, rec, trouble)
	case "crash":
		code = runCrash(binary, dir, rec, trouble)
	default:
		fail("unknown case %q", os.Args[1])
	}
	_ = os.RemoveAll(dir) // The processes have ended.
	fmt.Printf("exit %d\n", code)
	os.Exit(code)
}
