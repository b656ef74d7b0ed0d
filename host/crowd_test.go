package host_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	// crowdMemoryMB is the memory of a host in tests of crowds, and crowdHeapMB how much of it
	// may be in use while a crowd of connections holds unfinished requests.
	crowdMemoryMB = 64
	crowdHeapMB   = 32
	crowdSize     = 24
	crowdBody     = 4 << 20
)

// startCrowd opens crowdSize connections to address and sends a request on each, of which the
// last byte is missing.
func startCrowd(t *testing.T, address, requestLine string) {
	t.Helper()
	body := strings.Repeat(" ", crowdBody)
	for i := range crowdSize {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		if i%2 == 0 {
			_, _ = fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", requestLine, len(body)+1, body) // Fails if the host refuses it.
		} else {
			_, _ = fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", requestLine, len(body), body)
		}
	}
}

// checkHeap checks how much memory is in use.
func checkHeap(t *testing.T, step string) {
	t.Helper()
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	if used := m.HeapAlloc >> 20; used > crowdHeapMB {
		t.Errorf("%s: %d MiB are in use", step, used)
	}
}

// TestUnfinishedConfigurationsTakeLittleMemory guards against operators' ports that hold the
// bodies of any number of callers, until the process ends for lack of memory.
func TestUnfinishedConfigurationsTakeLittleMemory(t *testing.T) {
	address, _ := startLoneControl(t)
	if _, err := orderRetire(t, address); err != nil { // Waits until the host accepts connections.
		t.Fatal(err)
	}
	startCrowd(t, address, "PUT /v1/config")
	checkHeap(t, "beside the crowd")
	status, text := putUntilTaken(t, address, strings.Repeat(" ", crowdBody)+"{}")
	if status != http.StatusBadRequest || !strings.Contains(text, "lacks version") {
		t.Errorf("status %d, %s; want that of a configuration that was read", status, text)
	}
}

// putUntilTaken sends a configuration as an operator does, again after each 503.
func putUntilTaken(t *testing.T, address, body string) (status int, text string) {
	t.Helper()
	client := http.Client{Timeout: 10 * time.Second}
	for range 10 {
		req, err := http.NewRequest(http.MethodPut, "http://"+address+"/v1/config", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if status, text = resp.StatusCode, string(b); status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(time.Second) // Its Retry-After.
	}
	return status, text
}
