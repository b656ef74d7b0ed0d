package panics

import (
	"bufio"
	"net"
	"net/http"

	"github.com/banyanspur/banyanspur/event"
)

// Handler returns a handler that calls next and recovers its panics: the caller gets status 502,
// since the request may have had an effect, or, if a part of the response was written, a
// connection that is cut. A handler that knows that its request had none must recover itself.
// [http.ErrAbortHandler] passes through.
func Handler(log event.Log, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &writer{ResponseWriter: w}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler {
				panic(v)
			}
			ReportRequest(log, r, event.Fields{"answered": tracked.used}, v)
			if tracked.used {
				panic(http.ErrAbortHandler) // A truncated response must not look complete.
			}
			h := w.Header()
			clear(h)
			h.Set("Connection", "close") // The rest of the request was perhaps not read.
			http.Error(w, "the request failed and may have had an effect", http.StatusBadGateway)
		}()
		next.ServeHTTP(tracked, r)
	})
}

// writer is a response writer that records whether a final response has begun.
type writer struct {
	http.ResponseWriter
	used bool
}

// Unwrap returns the writer for an [http.ResponseController].
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader counts as a use only for a final status: others may follow a 1xx.
func (w *writer) WriteHeader(status int) {
	w.used = w.used || status >= http.StatusOK || status == http.StatusSwitchingProtocols
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body, and the head before it.
func (w *writer) Write(b []byte) (int, error) {
	w.used = true
	return w.ResponseWriter.Write(b)
}

// FlushError sends what was written, and the head of the response if that was not sent yet.
func (w *writer) FlushError() error {
	w.used = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush is FlushError for callers that expect an [http.Flusher].
func (w *writer) Flush() { _ = w.FlushError() } // Fails if the connection is lost.

// Hijack hands the connection over to the handler.
func (w *writer) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c, b, err := http.NewResponseController(w.ResponseWriter).Hijack()
	w.used = w.used || err == nil
	return c, b, err
}
