package panics_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coder/websocket"
	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/panics"
)

// loggedPanic is what the log has about a panic.
type loggedPanic struct {
	Event    int
	Method   string
	Path     string
	Panic    string
	Stack    string
	Answered bool
}

// TestPanicOfHandlerIsAnswered guards against requests that get no answer since their handler
// panics, and that leave no trace in the log.
func TestPanicOfHandlerIsAnswered(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	type outcome struct {
		Status int
		Cut    bool
		Logged loggedPanic
	}
	for name, test := range map[string]struct {
		handle http.HandlerFunc
		want   outcome
	}{
		"no panic": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }, outcome{Status: http.StatusTeapot}},
		"before the response": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "7")
			w.WriteHeader(http.StatusEarlyHints)
			panicDeep(200, "broken"+long)
		}, outcome{Status: http.StatusBadGateway, Logged: loggedPanic{Event: 108, Method: "PUT", Path: "/a", Panic: "broken"}}},
		"within the response": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "a part")
			_ = http.NewResponseController(w).Flush()
			panicDeep(0, fmt.Errorf("broken"))
		}, outcome{Status: http.StatusOK, Cut: true, Logged: loggedPanic{Event: 108, Method: "PUT", Path: "/a", Panic: "broken", Answered: true}}},
		"on purpose": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "a part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, outcome{Status: http.StatusOK, Cut: true}},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			server := httptest.NewServer(panics.Handler(event.New(&log), test.handle))
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/a", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			server.Close() // The handler has returned.
			got := outcome{Status: resp.StatusCode, Cut: err != nil}
			if log.Len() > 0 {
				if err := json.Unmarshal(log.Bytes(), &got.Logged); err != nil {
					t.Fatalf("%v: %s", err, log.String())
				}
				if log.Len() > 10_000 || !strings.HasPrefix(got.Logged.Stack, "github.com/banyanspur/banyanspur/panics_test.panicDeep(") {
					t.Errorf("line of %d bytes with the stack %s", log.Len(), got.Logged.Stack)
				}
				got.Logged.Stack, got.Logged.Panic = "", got.Logged.Panic[:len("broken")]
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("outcome, -want +got:\n%s", diff)
			}
		})
	}
}

// panicDeep panics below the given number of calls.
func panicDeep(calls int, v any) {
	if calls > 0 {
		panicDeep(calls-1, v)
	}
	panic(v)
}

// TestPanicOfWebSocketHandler guards against a handler that loses its connection since it is
// wrapped, and against a response that is written to a connection that was handed over.
func TestPanicOfWebSocketHandler(t *testing.T) {
	var log bytes.Buffer
	ended := make(chan struct{})
	handler := panics.Handler(event.New(&log), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, nil)
		if err != nil {
			t.Error(err)
			return
		}
		defer c.CloseNow()
		_ = c.Write(context.Background(), websocket.MessageText, []byte("hello"))
		panic("broken")
	}))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	c, _, err := websocket.Dial(t.Context(), strings.Replace(server.URL, "http", "ws", 1), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.CloseNow()
	if _, b, err := c.Read(t.Context()); err != nil || string(b) != "hello" {
		t.Errorf("read %q, %v", b, err)
	}
	if _, b, err := c.Read(t.Context()); err == nil {
		t.Errorf("read %q after the panic", b)
	}
	<-ended
	if !strings.Contains(log.String(), `"answered":true`) {
		t.Errorf("log: %s", log.String())
	}
}
