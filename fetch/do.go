package fetch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Request is an HTTP request to a target.
type Request struct {
	Method string
	// RequestTarget is the path and query as in the request line.
	RequestTarget string
	Host          string
	// Header must contain neither Host nor fields that frame the body, such as
	// Content-Length.
	Header http.Header
	// Prefix is sent before Body as a part of it, so that parts which several requests share
	// need no copy.
	Prefix [][]byte
	Body   []byte
	// ID identifies the request. A response whose header field IDHeader has
	// another value belongs to another request and is skipped; one without the
	// field is accepted.
	ID       string
	IDHeader string
	// MaxBodyBytes is the maximum size of the response's body; a longer one is an
	// error. 0 means no limit.
	MaxBodyBytes int64
	// NewConnection prevents the reuse of an idle connection.
	NewConnection bool
	// Begun, if not nil, is called once a first part of the request was written to a connection. It must not block.
	Begun func()
}

// Error is a failure to get a response.
type Error struct {
	// Sent is true unless it is certain that no byte of the request reached the
	// target.
	Sent bool
	// Connected is true if the target had accepted the connection.
	Connected bool
	Err       error
}

// Error returns a description of the failure.
func (e *Error) Error() string { return fmt.Sprintf("fetch: sent %t: %v", e.Sent, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Response is a target's response. It must be closed with [Response.Close].
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only if the response is complete.
	Body io.Reader
	// Reused is set if the connection has carried other requests before. A target may
	// then send a response to one of these once more.
	Reused bool
	// Unframed is set if the response has neither a length nor chunks and ends with its
	// connection. It looks complete also if the target has broken it off and then closed
	// the connection in order.
	Unframed bool

	pool         *Pool
	address      string
	conn         *conn
	raw          *http.Response
	written      chan struct{} // closed once the whole request is written to the connection
	stopCancel   func() bool
	skippedStray bool // a response to another request was skipped
	complete     bool // the body has been read to its end
}

const (
	// maxStrayBytes limits the body of a skipped response to another request.
	maxStrayBytes = 64 << 10
	// maxSkippedHeads limits the number of heads skipped for one request: interim
	// responses and responses to other requests.
	maxSkippedHeads = 3
	// writeWait is how long Close waits until the whole request is written. That
	// is usually the case already, unless the target responded early.
	writeWait = 20 * time.Millisecond
)

// Do sends a request once and returns its response with an unread body. The
// connection is closed when ctx is done. A returned error is an *[Error].
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	request, err := r.encode()
	if err != nil {
		return nil, &Error{Err: err}
	}
	c, n, stop, err := p.begin(ctx, address, request, r.NewConnection)
	if err != nil {
		return nil, err
	}
	resp := &Response{Reused: c.used, pool: p, address: address, conn: c, written: make(chan struct{}), stopCancel: stop}
	c.used = true
	if r.Begun != nil {
		r.Begun()
	}
	var writer errgroup.Group
	if rest := after(request, n); len(rest) == 0 {
		close(resp.written)
	} else {
		writer.Go(func() error { return writeRest(c, rest, resp.written) })
	}
	if err := resp.readHead(r); err != nil {
		stop()
		c.setBusy(false)
		_ = c.Close()
		_ = writer.Wait() // It ends since the connection is closed.
		p.recordCrossed(address, c, err)
		return nil, &Error{Sent: true, Connected: true, Err: err}
	}
	return resp, nil
}

// copiedBodyBytes is the size of a body up to which it is copied behind the head, so that the
// request is one buffer.
const copiedBodyBytes = 64 << 10

// encode returns head and body as they are sent, in one or more parts.
func (r *Request) encode() (net.Buffers, error) {
	size := len(r.Body)
	for _, p := range r.Prefix {
		size += len(p)
	}
	var b bytes.Buffer
	b.Grow(min(size, copiedBodyBytes) + 1<<10)
	b.WriteString(r.Method + " " + r.RequestTarget + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return nil, err
	}
	if size > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("\r\n")
	if size > copiedBodyBytes {
		return slices.Concat(net.Buffers{b.Bytes()}, r.Prefix, net.Buffers{r.Body}), nil
	}
	for _, p := range r.Prefix {
		b.Write(p)
	}
	b.Write(r.Body)
	return net.Buffers{b.Bytes()}, nil
}

// after returns what follows the first n bytes of a request.
func after(request net.Buffers, n int) net.Buffers {
	for len(request) > 0 && n >= len(request[0]) {
		request, n = request[1:], n-len(request[0])
	}
	if n > 0 {
		request = slices.Clone(request)
		request[0] = request[0][n:]
	}
	return request
}

// writeRest sends the rest of a request, and closes written if that succeeds. A target
// may respond without having read the whole request, so [Pool.Do] ignores the
// error and relies on the response, which [DialTCP] ends with an error after a reset.
func writeRest(c *conn, rest net.Buffers, written chan<- struct{}) error {
	if _, err := rest.WriteTo(c); err != nil {
		return err
	}
	close(written)
	return nil
}

// readHead reads response heads until one belongs to the request. It skips interim
// responses and responses to other requests.
func (resp *Response) readHead(r *Request) error {
	for range maxSkippedHeads + 1 {
		raw, err := resp.conn.readHead(r.Method)
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		if err := CheckStatus(raw); err != nil {
			return err
		}
		if raw.StatusCode < http.StatusOK { // An interim response; the final one follows.
			if err := CheckInterim(raw.Header); err != nil {
				return err
			}
			continue
		}
		if id := raw.Header.Get(r.IDHeader); id != "" && id != r.ID {
			strayResponses.Inc()
			resp.skippedStray = true
			if err := discardStray(raw); err != nil {
				return err
			}
			continue
		}
		resp.raw, resp.Status, resp.Header = raw, raw.StatusCode, raw.Header
		resp.Unframed = raw.ContentLength < 0 && len(raw.TransferEncoding) == 0
		resp.Body = &bodyReader{resp: resp, limit: r.MaxBodyBytes}
		resp.conn.parseKeepAlive(raw.Header)
		resp.pool.recordRead(resp.conn)
		return nil
	}
	return errors.New("too many responses to other requests")
}

// discardStray reads the body of a response to another request and discards it.
func discardStray(raw *http.Response) error {
	if raw.Close {
		return errors.New("response to another request closes the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(raw.Body, maxStrayBytes+1))
	if err == nil && n > maxStrayBytes {
		err = errors.New("response to another request is too long")
	}
	return err
}

// bodyReader reads a response's body and records whether it was read to its end.
type bodyReader struct {
	resp  *Response
	limit int64 // maximum size of the body, 0 for none
	n     int64 // bytes read
}

var errBodyTooLong = errors.New("fetch: the body of the response is too long")

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.limit > 0 && b.n >= b.limit {
		p = p[:min(len(p), 1)] // Whether a body of the maximum size ends here.
	}
	n, err := b.resp.raw.Body.Read(p)
	b.n += int64(n)
	if b.limit > 0 && b.n > b.limit {
		return max(0, n-int(b.n-b.limit)), errBodyTooLong
	}
	if err == io.EOF {
		b.resp.complete = true
	}
	return n, err
}

// Close returns the connection to the pool if it can be reused, and closes it
// otherwise. Closing the connection cancels a request that the target is still
// processing.
func (resp *Response) Close() {
	notCanceled := resp.stopCancel()
	resp.conn.setBusy(false)
	reusable := notCanceled && resp.complete && !resp.skippedStray && !resp.raw.Close &&
		resp.conn.reader.Buffered() == 0 && resp.conn.idleTimeout > 0
	if !reusable || !resp.requestWritten() {
		_ = resp.conn.Close()
		return
	}
	_ = resp.conn.SetDeadline(time.Time{})
	resp.pool.putIdle(resp.address, resp.conn)
}

// requestWritten reports whether the whole request has been written to the
// connection. It waits for at most writeWait.
func (resp *Response) requestWritten() bool {
	select {
	case <-resp.written:
		return true
	case <-time.After(writeWait):
		return false
	}
}
