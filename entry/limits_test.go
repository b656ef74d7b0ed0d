package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/entry"
)

// TestRateLimitAcrossEntryHosts sends concurrent requests of one account through
// both entry hosts. At most the burst plus the tokens refilled meanwhile may be
// admitted, and a request after the announced Retry-After must succeed.
func TestRateLimitAcrossEntryHosts(t *testing.T) {
	f := newFleet(t)
	start := time.Now()
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			resp := f.request(i%2, bandKey, http.MethodPost, "/v1/services/booking/rooms", "{}")
			if resp.status == http.StatusOK {
				admitted.Add(1)
			} else if resp.fault() != (fault{Code: "rateLimited", Ran: "notRun"}) || resp.header.Get("Retry-After") != "1" {
				t.Errorf("rejected request: %+v", resp)
			}
		})
	}
	wg.Wait()
	maxAdmitted := 3 + 10*time.Since(start).Seconds()
	if n := admitted.Load(); n < 3 || float64(n) > maxAdmitted {
		t.Errorf("%d requests were admitted, want 3 to %.1f", n, maxAdmitted)
	}
	time.Sleep(time.Second)
	if resp := f.request(0, bandKey, http.MethodPost, "/v1/services/booking/rooms", "{}"); resp.status != http.StatusOK {
		t.Errorf("after Retry-After: %+v", resp)
	}
}

// TestBudgetExhaustion uses up the calls and tokens of a program's budget. Further
// calls, and a sub-agent with a larger budget, must be rejected.
func TestBudgetExhaustion(t *testing.T) {
	f := newFleet(t)
	body := `{"program":"p","budget":{"calls":3,"tokens":10,"seconds":600,"depth":1}}`
	if resp := f.request(0, choirKey, http.MethodPost, "/v1/programs", body); resp.status != http.StatusCreated {
		t.Fatalf("open: %+v", resp)
	}
	exceeded := fault{Code: "budgetExceeded", Ran: "notRun"}
	child := `{"program":"c","parent":"p","budget":{"calls":4,"tokens":0,"seconds":60}}`
	checkFault(t, "child", f.request(0, choirKey, http.MethodPost, "/v1/programs", child), http.StatusForbidden, exceeded)
	if resp := f.call(0, "p", 1, chatPath, chatBody); resp.status != http.StatusOK {
		t.Fatalf("call: %+v", resp)
	}
	checkFault(t, "tokens", f.call(0, "p", 2, chatPath, chatBody), http.StatusForbidden, exceeded)
	for n := 2; n <= 3; n++ {
		if resp := f.call(n%2, "p", n, roomsPath, "{}"); resp.status != http.StatusOK {
			t.Fatalf("call: %+v", resp)
		}
	}
	checkFault(t, "calls", f.call(0, "p", 4, roomsPath, "{}"), http.StatusForbidden, exceeded)
}

// TestInvalidRequestsNotRun sends invalid requests. Each must be rejected with the
// expected fault, and none may reach a target.
func TestInvalidRequestsNotRun(t *testing.T) {
	f := newFleet(t)
	f.openProgram("p")
	bad := fault{Code: "badRequest", Ran: "notRun"}
	for _, c := range []struct {
		name, path, body string
		status           int
		want             fault
	}{
		{"unknown field", "/v1/programs", `{"budgets":{}}`, 400, bad},
		{"no budget", "/v1/programs", `{"program":"x"}`, 400, bad},
		{"bad id", "/v1/programs", `{"program":"../x","budget":{"calls":1,"seconds":1}}`, 400, bad},
		{"two values", "/v1/programs", `{} {}`, 400, bad},
		{"no model", "/v1/chat/completions", `{"messages":[]}`, 404, fault{Code: "notFound", Ran: "notRun"}},
		{"no messages", "/v1/chat/completions", `{"model":"assistant"}`, 400, bad},
		{"too many tokens", "/v1/chat/completions", strings.Replace(chatBody, "8", "99999999", 1), 400, bad},
		{"call zero", "/v1/programs/p/calls/0" + roomsPath, `{}`, 400, bad},
		{"out of order", "/v1/programs/p/calls/2" + roomsPath, `{}`, 409, fault{Code: "outOfOrder", Ran: "notRun"}},
		{"other program", "/v1/programs/q/calls/1" + roomsPath, `{}`, 404, fault{Code: "notFound", Ran: "notRun"}},
		{"no service", "/v1/services/none/x", `{}`, 404, fault{Code: "notFound", Ran: "notRun"}},
		{"not open", "/open/booking/x", `{}`, 404, fault{Code: "notFound", Ran: "notRun"}},
		{"too large", "/v1/programs/p/calls/1" + roomsPath, strings.Repeat("x", entry.MaxBodyBytes+1), 413, fault{Code: "payloadTooLarge", Ran: "notRun"}},
	} {
		checkFault(t, c.name, f.request(0, choirKey, http.MethodPost, c.path, c.body), c.status, c.want)
	}
	f.checkTruncatedBody()
	if n := len(f.booking.Headers()); n != 0 {
		t.Errorf("%d requests reached a target", n)
	}
}

// checkTruncatedBody sends a request whose body is shorter than its
// Content-Length. The connection may be closed without a response.
func (f *fleet) checkTruncatedBody() {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.entryAddresses[0])
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /v1/programs/p/calls/1%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{}", roomsPath, choirKey)
	_ = conn.(*net.TCPConn).CloseWrite()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && !strings.Contains(line, "400") {
		f.t.Errorf("truncated body: got response %s", line)
	}
}
