package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/types"
)

// targetClients are the HTTP clients towards targets.
type targetClients struct {
	keepAlive *http.Client // for calls that may be repeated
	// singleUse opens a connection for each call: the transport sends a request
	// again by itself when a kept connection turns out to be closed, and only
	// a fresh one rules that out.
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
)

func newTargetClients() targetClients {
	dialer := &net.Dialer{Timeout: dialTimeout}
	keepAlive := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	singleUse := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return targetClients{
		keepAlive: &http.Client{Transport: keepAlive, CheckRedirect: noRedirect},
		singleUse: &http.Client{Transport: singleUse, CheckRedirect: noRedirect},
	}
}

func (t targetClients) forCall(c *call) *http.Client {
	if c.idempotent {
		return t.keepAlive
	}
	return t.singleUse
}

// sendResult is what came of sending a call to a target.
type sendResult struct {
	status      int
	contentType string
	body        []byte
	tokens      types.Tokens
	// err is set if there is no whole answer.
	err error
	// ran tells whether the target may have run the call.
	ran types.Ran
	// crashed is set if the target broke the connection while it ran the call.
	crashed bool
	// forwarded is set if the caller has got a part of it already.
	forwarded bool
}

// send asks one target once. Parts of a stream go to sink as they come.
func (e *Entry) send(ctx context.Context, c *call, t config.Target, stream *eventStream) sendResult {
	var gotConn atomic.Bool // a connection was there, so that bytes may have left
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
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
	e.fairShare.Note(c.caller.account, sent.tokens, e.Clock())
	failed := sent.err != nil && ctx.Err() == nil
	e.targets.Finish(t.ID, elapsed, failed, e.Clock())
	if sent.err != nil && !gotConn.Load() {
		sent.ran = types.NotRun
	}
	sent.crashed = failed && sent.ran == types.Unknown
	return sent
}

func (e *Entry) exchange(req *http.Request, c *call, t config.Target, stream *eventStream) sendResult {
	resp, err := e.targetClients.forCall(c).Do(req)
	if err != nil {
		return sendResult{err: errors.Wrap(err, "entry: send"), ran: types.Unknown}
	}
	defer resp.Body.Close()
	e.targets.Report(t.ID, resp.Header, e.Clock())
	sent := sendResult{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), ran: types.DidRun}
	if c.stream && resp.StatusCode == http.StatusOK {
		e.receiveStream(resp.Body, c, stream, &sent)
	} else {
		receiveBody(resp.Body, &sent)
	}
	if sent.err != nil {
		sent.ran = types.Unknown
		return sent
	}
	if c.reserve > 0 {
		sent.tokens = generatedTokens(c, sent.body)
	}
	return sent
}

// receiveBody reads a body to its end; one that is cut short is an error.
func receiveBody(body io.Reader, sent *sendResult) {
	b, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	switch {
	case err != nil:
		sent.err = errors.Wrap(err, "entry: the answer was cut short")
	case len(b) > maxResponseBytes:
		sent.err = errors.Newf("entry: the answer is larger than %d bytes", maxResponseBytes)
	}
	sent.body = b
}

// newTargetRequest builds the request to the target from nothing but what it may see.
func (c *call) newTargetRequest(ctx context.Context, t config.Target, priority int) (*http.Request, error) {
	body := c.body
	if c.service.Kind == config.KindModel {
		body = c.engineBody(priority)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+t.Address+c.path, bytes.NewReader(body))
	if err != nil {
		return nil, types.NewFault(types.CodeBadRequest, "the path or the method is not valid")
	}
	req.GetBody = nil // Nothing below may send the body again.
	for name := range c.header {
		req.Header.Set(name, c.header.Get(name))
	}
	req.Header.Set("User-Agent", "banyanspur")
	if c.program == "" {
		return req, nil
	}
	req.Header.Set(headerCallID, c.callID())
	if c.service.Kind == config.KindModel {
		req.Header.Set(headerHold, HoldName(c.caller.account, c.program))
	}
	return req, nil
}

// callID is the same for all attempts at a call, so that a target can tell.
func (c *call) callID() string {
	return string(types.FingerprintOf([]byte(c.caller.account), []byte(c.program), types.Encode(c.number)))[:32]
}

// HoldName is the name under which engines keep memory for a program. It tells
// an engine neither the client account nor the program.
func HoldName(a types.AccountID, p types.ProgramID) string {
	return string(types.FingerprintOf([]byte(a), []byte(p)))[:32]
}

// engineBody returns the body with a bound on the answer, if the caller gave
// none, and with our priority in place of the caller's.
func (c *call) engineBody(priority int) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(c.body, &fields) != nil {
		return c.body // parseChat has refused anything else.
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
