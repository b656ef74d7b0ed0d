package intake_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/types"
)

// TestUnreadableBodiesAreRefused guards against refusals of bodies after which their senders give
// up although another host would take the request, or try again what none takes, and against
// responses that wait for the rest of a body.
func TestUnreadableBodiesAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		budget  int64
		request string
		want    types.Code
	}{
		"announced": {1 << 20, "Content-Length: 20000\r\n\r\n", types.CodePayloadTooLarge},
		"chunked":   {1 << 20, "Transfer-Encoding: chunked\r\n\r\n4e20\r\n" + strings.Repeat("x", 15000), types.CodePayloadTooLarge},
		"slow":      {1 << 20, "Content-Length: 10000\r\n\r\nx", types.CodeRequestTimeout},
		"no memory": {3 << 10, "Content-Length: 10000\r\n\r\nx", types.CodeOverloaded},
		"whole":     {1 << 20, "Content-Length: 3\r\n\r\nabc", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			budget := intake.NewBudget(c.budget)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, held, err := intake.ReadBody(w, r, budget, 10_000, 300*time.Millisecond)
				defer held.Close()
				if err != nil {
					_, _ = io.WriteString(w, string(intake.Fault(err).Code))
					return
				}
				_, _ = fmt.Fprintf(w, "%d bytes", len(body))
			}))
			defer server.Close()
			conn, err := net.Dial("tcp4", strings.TrimPrefix(server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+c.request)
			response, _ := io.ReadAll(conn)
			want := string(c.want)
			if c.want == "" {
				want = "3 bytes"
			}
			_, got, _ := strings.Cut(string(response), "\r\n\r\n")
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
