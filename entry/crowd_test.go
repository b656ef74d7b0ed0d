package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/entry"
)

// TestUnfinishedCallsTakeLittleMemory guards against hosts that hold the bodies of any number of
// callers, most of which never end, until the process ends for lack of memory.
func TestUnfinishedCallsTakeLittleMemory(t *testing.T) {
	const callers, maxHeapBytes = 16, 2 * receivedBytes
	f := startFleet(t)
	body := strings.Repeat("x", entry.MaxBodyBytes-1)
	for range callers {
		c, err := net.Dial("tcp4", f.entryAddresses[0])
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = fmt.Fprintf(c, "POST /v1/services/booking/rooms HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", bandKey, entry.MaxBodyBytes, body) // Fails if the host refuses it.
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	if m.HeapAlloc > maxHeapBytes {
		t.Errorf("%d MiB are in use beside %d callers", m.HeapAlloc>>20, callers)
	}
	var resp response
	for range 10 {
		if resp = f.request(0, choirKey, http.MethodPost, "/v1/services/booking/rooms", "{}"); resp.status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(time.Second) // Its Retry-After.
	}
	if resp.status != http.StatusOK {
		t.Errorf("a request beside them: %+v", resp)
	}
}

// TestLargestCallIsServed guards against a bound on the memory for callers that refuses a body of
// the largest size in calm.
func TestLargestCallIsServed(t *testing.T) {
	f := newFleet(t)
	if resp := f.request(0, choirKey, http.MethodPost, "/v1/services/booking/rooms", strings.Repeat("x", entry.MaxBodyBytes)); resp.status != http.StatusOK {
		t.Errorf("status %d, %.100s", resp.status, resp.body)
	}
}
