package intake

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/types"
)

// retryAfter is when a peer for which there was no memory may come again.
const retryAfter = time.Second

// ErrSlow is returned for a body that was not received in time.
var ErrSlow = errors.New("intake: the body was not received in time")

// ReadBody reads the body of r, which may have up to limit bytes and take up to timeout. The
// returned holder has the memory of the body; it must be closed once the body is no longer used,
// also if there is an error. What is left of a body that was not read whole is not read
// either; see [Fault] for the response.
func ReadBody(w http.ResponseWriter, r *http.Request, b *Budget, limit int64, timeout time.Duration) ([]byte, *Holder, error) {
	rc := http.NewResponseController(w)
	h := b.Open(PeerAccount(r.RemoteAddr), func() { _ = rc.SetReadDeadline(time.Now()) })
	if r.ContentLength > limit {
		SkipBody(w, r)
		return nil, h, errors.WithStack(ErrTooLarge)
	}
	_ = rc.SetReadDeadline(time.Now().Add(timeout)) // If unsupported, the caller's connection bounds the read.
	body, err := ReadAll(h, r.Body, r.ContentLength, limit)
	if err == nil {
		h.SetPhase(Working)
		_ = rc.SetReadDeadline(time.Time{})
		if !h.Evicted() {
			return body, h, nil
		}
		err = errors.WithStack(ErrEvicted)
	}
	SkipBody(w, r)
	switch {
	case h.Evicted():
		err = errors.Mark(err, ErrEvicted)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		err = errors.Mark(err, ErrSlow)
	}
	return nil, h, err
}

// SkipBody makes the HTTP server respond to r without reading what is left of its body, and close
// the connection. By default it would read up to 256 KiB first, for as long as the peer likes.
func SkipBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // If unsupported, the caller's connection bounds the read.
}

// WithoutBodies returns a handler of requests whose bodies h does not need.
func WithoutBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		SkipBody(w, r)
		h.ServeHTTP(w, r)
	})
}

// PeerAccount returns the account of a peer of which only the address is known, so that the
// peers of one IP address do not take the memory of all others.
func PeerAccount(remoteAddr string) types.AccountID {
	if ip, _, err := net.SplitHostPort(remoteAddr); err == nil {
		remoteAddr = ip
	}
	return types.AccountID("address " + remoteAddr)
}

// Fault returns the response to a request whose body [ReadBody] could not read. The request has
// not run. Peers that have lost their memory to others may come again, like those that found none.
func Fault(err error) *types.Fault {
	switch {
	case errors.Is(err, ErrTooLarge):
		return types.NewFault(types.CodePayloadTooLarge, "the body is too large")
	case errors.Is(err, ErrEvicted):
		return types.NewFault(types.CodeOverloaded, "the body arrived too slowly while others needed the memory").WithRetryAfter(retryAfter)
	case errors.Is(err, ErrFull):
		return types.NewFault(types.CodeOverloaded, "the host has no memory left for the request").WithRetryAfter(retryAfter)
	case errors.Is(err, ErrSlow):
		return types.NewFault(types.CodeRequestTimeout, "the body was not received in time")
	}
	return types.NewFault(types.CodeBadRequest, "the body is incomplete: %v", err)
}
