package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/types"
)

// targetClients holds the HTTP clients that send calls to targets. Neither
// follows redirects.
type targetClients struct {
	// keepAlive reuses connections. It is for idempotent calls only.
	keepAlive *http.Client
	// singleUse opens a connection for each call. It is for non-idempotent
	// calls: on a reused connection that turns out to be closed, http.Transport
	// resends the request on its own.
	singleUse *http.Client
}

const (
	dialTimeout        = time.Second
	maxIdleConnections = 512
	idleTimeout        = 30 * time.Second
	maxResponseBytes   = 16 << 20
	headerCallID       = "Banyanspur-Call-Id"
	headerHold         = "Banyanspur-Hold"
	responseBufferLen  = 32 << 10
	maxHeaderBytes     = 64 << 10 // of a response
)

func newTargetClients() targetClients {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return fetch.TrackReset(c), nil
	}
	keepAlive := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	singleUse := &http.Transport{
		DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return targetClients{
		keepAlive: &http.Client{Transport: keepAlive, CheckRedirect: noRedirect},
		singleUse: &http.Client{Transport: singleUse, CheckRedirect: noRedirect},
	}
}

// forCall returns the client for the call.
func (t targetClients) forCall(c *call) *http.Client {
	if c.idempotent {
		return t.keepAlive
	}
	return t.singleUse
}

// sendResult is the result of sending a call to a target once.
type sendResult struct {
	status      int
	contentType string
	body        []byte
	tokens      types.Tokens
	// err is set if no complete response was received.
	err error
	// ran reports whether the target ran, or may have run, the call.
	ran types.ExecutionState
	// crashed is set if the request failed after a connection to the target
	// was established and before the call's context ended.
	crashed bool
	// forwarded is set if the caller has received part of the response.
	forwarded bool
}

// send sends the call to a target once and updates the statistics of the target
// and of the client account. Events of a streamed response are written to
// stream as they arrive.
func (e *Entry) send(ctx context.Context, c *call, t config.Target, stream *eventStream) sendResult {
	var gotConn atomic.Bool // a connection was established, so the target may have received bytes
	trace := &httptrace.ClientTrace{
		GotConn:        func(httptrace.GotConnInfo) { gotConn.Store(true) },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return fetch.CheckInterim(http.Header(h)) },
	}
	priority := e.fairShare.Priority(c.caller.account, e.Clock())
	req, err := c.newTargetRequest(httptrace.WithClientTrace(ctx, trace), t, priority)
	if err != nil {
		return sendResult{err: err, ran: types.NotRun}
	}
	e.targets.Start(t.ID)
	start := e.Clock()
	sent := e.exchange(req, c, t, stream)
	elapsed := e.Clock().Sub(start)
	metricTargetSeconds.Update(elapsed.Seconds())
	e.fairShare.AddUsage(c.caller.account, sent.tokens, e.Clock())
	failed := sent.err != nil && ctx.Err() == nil
	e.targets.Finish(t.ID, elapsed, failed, e.Clock())
	if sent.err != nil && !gotConn.Load() {
		sent.ran = types.NotRun
	}
	sent.crashed = failed && sent.ran == types.MayHaveRun
	return sent
}

// exchange sends req and receives the response.
func (e *Entry) exchange(req *http.Request, c *call, t config.Target, stream *eventStream) sendResult {
	resp, err := e.targetClients.forCall(c).Do(req)
	if err != nil {
		return sendResult{err: errors.Wrap(err, "entry: send request to target"), ran: types.MayHaveRun}
	}
	defer resp.Body.Close()
	if err := fetch.CheckStatus(resp); err != nil {
		return sendResult{err: errors.Wrap(err, "entry: response of target"), ran: types.MayHaveRun}
	}
	e.targets.Report(t.ID, resp.Header, e.Clock())
	sent := sendResult{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), ran: types.DidRun}
	if c.stream && resp.StatusCode == http.StatusOK {
		e.receiveStream(resp.Body, c, stream, &sent)
	} else {
		receiveBody(resp.Body, &sent)
	}
	if sent.err != nil {
		sent.ran = types.MayHaveRun
		return sent
	}
	if c.reserve > 0 {
		sent.tokens = generatedTokens(c, sent.body)
	}
	return sent
}

// receiveBody reads the response body into sent. It sets sent.err if the body is
// truncated or longer than maxResponseBytes.
func receiveBody(body io.Reader, sent *sendResult) {
	b, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	switch {
	case err != nil:
		sent.err = errors.Wrap(err, "entry: response body truncated")
	case len(b) > maxResponseBytes:
		sent.err = errors.Newf("entry: response body exceeds %d bytes", maxResponseBytes)
	}
	sent.body = b
}

// newTargetRequest builds the request to the target. It copies nothing from the
// caller's request except the method, the path with the query, the body and the
// allowed headers.
func (c *call) newTargetRequest(ctx context.Context, t config.Target, priority int) (*http.Request, error) {
	body := c.body
	if c.service.Kind == config.KindModel {
		body = c.engineBody(priority)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+t.Address+c.path, bytes.NewReader(body))
	if err != nil {
		return nil, types.NewFault(types.CodeBadRequest, "the request path or method is not valid")
	}
	req.GetBody = nil // Prevents net/http from resending the body on its own.
	for name := range c.header {
		req.Header.Set(name, c.header.Get(name))
	}
	req.Header.Set("User-Agent", "banyanspur")
	if c.program == "" {
		return req, nil
	}
	req.Header.Set(headerCallID, c.callID())
	if c.service.Kind == config.KindModel {
		req.Header.Set(headerHold, CacheKey(c.caller.account, c.program))
	}
	return req, nil
}

// callID returns the ID of a program's call. It is the same for all attempts at
// the call, so that a target can recognize a repeated call.
func (c *call) callID() string {
	return string(types.FingerprintOf([]byte(c.caller.account), []byte(c.program), types.Encode(c.number)))[:32]
}

// CacheKey returns the key under which engines cache a program's prefix. It is a
// hash that reveals neither the client account nor the program to the engine.
func CacheKey(a types.AccountID, p types.ProgramID) string {
	return string(types.FingerprintOf([]byte(a), []byte(p)))[:32]
}

// engineBody returns the request body for a model engine. It adds max_tokens if
// the caller set no limit and replaces the caller's priority with the given one.
func (c *call) engineBody(priority int) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(c.body, &fields) != nil {
		return c.body // parseChat has rejected bodies that are not JSON objects.
	}
	if fields["max_tokens"] == nil && fields["max_completion_tokens"] == nil {
		fields["max_tokens"], _ = json.Marshal(c.reserve)
	}
	fields["priority"], _ = json.Marshal(priority)
	body, err := json.Marshal(fields)
	if err != nil {
		return c.body
	}
	return body
}
