package entry_test

import (
	"fmt"
	"net/http"
	"testing"
)

// TestInvalidStatus guards against a response with a status that HTTP does not have: callers would get
// it, or the body of what counts as an interim response in place of the response.
func TestInvalidStatus(t *testing.T) {
	inner := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000 Zero", "099 Low", "+20 Sign", "101 Switching Protocols", "103 Early Hints", "600 High"} {
		t.Run(status, func(t *testing.T) {
			f := newFleet(t)
			f.startRawTarget(fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(inner), inner))
			if resp := f.request(0, choirKey, http.MethodPost, "/v1/services/booking/rooms", "x"); resp.status < http.StatusInternalServerError {
				t.Errorf("status %d: %.100s", resp.status, resp.body)
			}
		})
	}
}
