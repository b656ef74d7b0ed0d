package fetch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Request is what is sent to a target.
type Request struct {
	Method string
	// Target is path and query, as they stand in the request line.
	Target string
	Host   string
	// Header holds neither Host nor anything that frames the body.
	Header http.Header
	Body   []byte
	// ID is what the target must echo in the header field IDField.
	ID      string
	IDField string
	// Fresh asks for a new connection.
	Fresh bool
}

// Error is a failure to get an answer.
type Error struct {
	// Sent is set unless it is certain that no byte of the request reached the
	// target.
	Sent bool
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("fetch: sent %t: %v", e.Sent, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Response is a target's answer. Close must be called in the end.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is complete.
	Body io.Reader

	pool    *Pool
	address string
	conn    *conn
	raw     *http.Response
	written chan struct{} // closed once the whole request was handed over
	stop    func() bool
	odd     bool // an answer to another request was in the way
	whole   bool // the body has been read to its end
}

const (
	// maxStray bounds an answer to another request that is skipped, in bytes.
	maxStray = 64 << 10
	// maxStrays bounds how many of them are skipped for one request.
	maxStrays = 3
	// handOverTime is how long the end of an answer waits for the end of its
	// request, which has been handed over by then unless the answer came early.
	handOverTime = 20 * time.Millisecond
)

// Do sends a request once and returns the answer's head. The connection ends
// when ctx does. An error is an *[Error].
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.get(ctx, address, r.Fresh)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp := &Response{pool: p, address: address, conn: c, written: make(chan struct{}), stop: stop}
	var writer errgroup.Group
	writer.Go(func() error { return write(c, r, resp.written) })
	if err := resp.readHead(r); err != nil {
		stop()
		_ = c.Close()
		_ = writer.Wait() // The connection's end has ended it.
		return nil, &Error{Sent: true, Err: err}
	}
	return resp, nil
}

// write sends head and body. A target may answer without having read all of
// it, so a failure shows in the answer alone.
func write(c *conn, r *Request, written chan<- struct{}) error {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1<<10)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return err
	}
	close(written)
	return nil
}

// readHead reads heads until one belongs to the request.
func (resp *Response) readHead(r *Request) error {
	for range maxStrays + 1 {
		raw, err := http.ReadResponse(resp.conn.in, &http.Request{Method: r.Method})
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if raw.StatusCode < http.StatusOK {
			continue // An interim answer; the final one follows.
		}
		if id := raw.Header.Get(r.IDField); id != "" && id != r.ID {
			strays.Inc()
			resp.odd = true
			if err := skip(raw); err != nil {
				return err
			}
			continue
		}
		resp.raw, resp.Status, resp.Header = raw, raw.StatusCode, raw.Header
		resp.Body = &body{resp}
		resp.conn.noteKeepAlive(raw.Header)
		return nil
	}
	return errors.New("too many answers to other requests")
}

// skip reads an answer to another request to its end.
func skip(raw *http.Response) error {
	if raw.Close {
		return errors.New("an answer to another request ends the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(raw.Body, maxStray+1))
	if err == nil && n > maxStray {
		err = errors.New("an answer to another request is too long")
	}
	return err
}

// body notes whether the answer was read to its end.
type body struct{ resp *Response }

// Read reads from the answer.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.raw.Body.Read(p)
	if err == io.EOF {
		b.resp.whole = true
	}
	return n, err
}

// Close gives the connection back if it may be used again, and ends it
// otherwise; a target that is still at work then stops.
func (resp *Response) Close() {
	undisturbed := resp.stop()
	reusable := undisturbed && resp.whole && !resp.odd && !resp.raw.Close &&
		resp.conn.in.Buffered() == 0 && resp.conn.idleFor > 0
	if !reusable || !resp.handedOver() {
		_ = resp.conn.Close()
		return
	}
	_ = resp.conn.SetDeadline(time.Time{})
	resp.pool.put(resp.address, resp.conn)
}

// handedOver reports whether the whole request was handed to the connection.
func (resp *Response) handedOver() bool {
	select {
	case <-resp.written:
		return true
	case <-time.After(handOverTime):
		return false
	}
}
