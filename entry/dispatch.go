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

// senders are the HTTP clients towards targets.
type senders struct {
	reuse *http.Client // for calls that may be repeated
	// once opens a connection for each call: the transport sends a request
	// again by itself when a kept connection turns out to be closed, and only
	// a fresh one rules that out.
	once *http.Client
}

const (
	dialTimeout       = time.Second
	idleConnections   = 512
	idleTimeout       = 30 * time.Second
	maxResponseBytes  = 16 << 20
	headerCallID      = "Banyanspur-Call-Id"
	headerHold        = "Banyanspur-Hold"
	responseBufferLen = 32 << 10
)

func newSenders() senders {
	dialer := &net.Dialer{Timeout: dialTimeout}
	kept := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	fresh := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return senders{
		reuse: &http.Client{Transport: kept, CheckRedirect: noRedirect},
		once:  &http.Client{Transport: fresh, CheckRedirect: noRedirect},
	}
}

func (s senders) of(k *call) *http.Client {
	if k.idempotent {
		return s.reuse
	}
	return s.once
}

// answer is what came of sending a call to a target.
type answer struct {
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
func (e *Entry) send(ctx context.Context, k *call, t config.Target, sink *sink) answer {
	var handed atomic.Bool // a connection was there, so that bytes may have left
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { handed.Store(true) }}
	priority := e.shares.Priority(k.caller.account, e.Clock())
	req, err := k.outgoing(httptrace.WithClientTrace(ctx, trace), t, priority)
	if err != nil {
		return answer{err: err, ran: types.NotRun}
	}
	e.targets.Start(t.ID)
	start := e.Clock()
	a := e.exchange(req, k, t, sink)
	took := e.Clock().Sub(start)
	metricTargetTime.Update(took.Seconds())
	e.shares.Note(k.caller.account, a.tokens, e.Clock())
	failed := a.err != nil && ctx.Err() == nil
	e.targets.Finish(t.ID, took, failed, e.Clock())
	if a.err != nil && !handed.Load() {
		a.ran = types.NotRun
	}
	a.crashed = failed && a.ran == types.Unknown
	return a
}

func (e *Entry) exchange(req *http.Request, k *call, t config.Target, sink *sink) answer {
	resp, err := e.senders.of(k).Do(req)
	if err != nil {
		return answer{err: errors.Wrap(err, "entry: send"), ran: types.Unknown}
	}
	defer resp.Body.Close()
	e.targets.Report(t.ID, resp.Header, e.Clock())
	a := answer{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), ran: types.DidRun}
	if k.stream && resp.StatusCode == http.StatusOK {
		e.receiveStream(resp.Body, k, sink, &a)
	} else {
		receiveWhole(resp.Body, &a)
	}
	if a.err != nil {
		a.ran = types.Unknown
		return a
	}
	if k.reserve > 0 {
		a.tokens = usageOf(k, a.body)
	}
	return a
}

// receiveWhole reads a body to its end; one that is cut short is an error.
func receiveWhole(body io.Reader, a *answer) {
	b, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	switch {
	case err != nil:
		a.err = errors.Wrap(err, "entry: the answer was cut short")
	case len(b) > maxResponseBytes:
		a.err = errors.Newf("entry: the answer is larger than %d bytes", maxResponseBytes)
	}
	a.body = b
}

// outgoing builds the request to the target from nothing but what it may see.
func (k *call) outgoing(ctx context.Context, t config.Target, priority int) (*http.Request, error) {
	body := k.body
	if k.service.Kind == config.KindModel {
		body = k.forEngine(priority)
	}
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+t.Address+k.path, bytes.NewReader(body))
	if err != nil {
		return nil, types.NewFault(types.CodeBadRequest, "the path or the method is not valid")
	}
	req.GetBody = nil // Nothing below may send the body again.
	for name := range k.header {
		req.Header.Set(name, k.header.Get(name))
	}
	req.Header.Set("User-Agent", "banyanspur")
	if k.program == "" {
		return req, nil
	}
	req.Header.Set(headerCallID, k.callID())
	if k.service.Kind == config.KindModel {
		req.Header.Set(headerHold, HoldName(k.caller.account, k.program))
	}
	return req, nil
}

// callID is the same for all attempts at a call, so that a target can tell.
func (k *call) callID() string {
	return string(types.FingerprintOf([]byte(k.caller.account), []byte(k.program), types.Encode(k.number)))[:32]
}

// HoldName is the name under which engines keep memory for a program. It tells
// an engine neither the client account nor the program.
func HoldName(a types.AccountID, p types.ProgramID) string {
	return string(types.FingerprintOf([]byte(a), []byte(p)))[:32]
}

// forEngine returns the body with a bound on the answer, if the caller gave
// none, and with our priority in place of the caller's.
func (k *call) forEngine(priority int) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(k.body, &fields) != nil {
		return k.body // checkChat has refused anything else.
	}
	if fields["max_tokens"] == nil && fields["max_completion_tokens"] == nil {
		fields["max_tokens"], _ = json.Marshal(k.reserve)
	}
	fields["priority"], _ = json.Marshal(priority)
	body, err := json.Marshal(fields)
	if err != nil {
		return k.body
	}
	return body
}
