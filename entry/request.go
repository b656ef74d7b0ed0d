package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes = 8 << 20
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
	// defaultMaxTokens bounds a model's answer if the caller does not.
	defaultMaxTokens = 1024
	// maxTokensLimit is the most that a caller may ask for in one call.
	maxTokensLimit = 131072
)

// The headers of the callers' interface.
const (
	headerProgram  = "Banyanspur-Program"
	headerCall     = "Banyanspur-Call"
	headerRecorded = "Banyanspur-Recorded"
)

// call is a caller's request as it goes to a target.
type call struct {
	caller     caller
	program    types.ProgramID  // empty for a call outside any program
	number     types.CallNumber // 0 if the caller left it to us
	service    config.Service
	method     string
	path       string // starts with a slash; with the query
	header     http.Header
	body       []byte
	idempotent bool
	stream     bool         // the caller wants server-sent events
	reserve    types.Tokens // the most that a model may generate; 0 unless it is one
}

// allowedHeaders are the request headers that targets get to see. Everything
// else stays here, above all whatever may hold a key.
var allowedHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

func (e *Entry) callInProgram(w http.ResponseWriter, r *http.Request) error {
	c, err := e.authenticate(r)
	if err != nil {
		return err
	}
	vars := mux.Vars(r)
	return e.serveCall(w, r, c, vars["service"], vars["path"], vars["program"], vars["number"])
}

func (e *Entry) callService(w http.ResponseWriter, r *http.Request) error {
	c, err := e.authenticate(r)
	if err != nil {
		return err
	}
	vars := mux.Vars(r)
	return e.serveCall(w, r, c, vars["service"], vars["path"], r.Header.Get(headerProgram), r.Header.Get(headerCall))
}

// callOpen serves routes that are open to all. No key is looked at, and none
// is passed on.
func (e *Entry) callOpen(w http.ResponseWriter, r *http.Request) error {
	vars := mux.Vars(r)
	cfg, err := e.config.get(e.Clock())
	if err != nil {
		return err
	}
	if !cfg.Services[types.ServiceID(vars["service"])].Open {
		return types.NewFault(types.CodeNotFound, "there is no service %q that is open to all", vars["service"])
	}
	return e.serveCall(w, r, caller{}, vars["service"], vars["path"], "", "")
}

// chat serves the usual chat-completions request; its model names the service.
func (e *Entry) chat(w http.ResponseWriter, r *http.Request) error {
	c, err := e.authenticate(r)
	if err != nil {
		return err
	}
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	var req struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(body, &req); err != nil {
		return badJSON(err)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return e.serveCall(w, r, c, req.Model, "v1/chat/completions", r.Header.Get(headerProgram), r.Header.Get(headerCall))
}

// serveCall reads the request into a call and runs it.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request, from caller, service, path, program, number string) error {
	cfg, err := e.config.get(e.Clock())
	if err != nil {
		return err
	}
	s, ok := cfg.Services[types.ServiceID(service)]
	if !ok {
		return types.NewFault(types.CodeNotFound, "there is no service %q", service)
	}
	body, err := readBody(w, r)
	if err != nil {
		return err
	}
	c := &call{caller: from, program: types.ProgramID(program), service: s, method: r.Method, path: "/" + path, header: http.Header{}, body: body}
	if err := c.validate(number); err != nil {
		return err
	}
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	for _, name := range allowedHeaders {
		if v := r.Header.Get(name); v != "" {
			c.header.Set(name, v)
		}
	}
	return e.runCall(w, r, c)
}

// validate fills in what follows from the service and refuses what cannot be run.
func (c *call) validate(number string) error {
	c.idempotent = !c.service.MayNotRepeat(c.path)
	if err := c.parseNumber(number); err != nil {
		return err
	}
	if c.service.Kind != config.KindModel {
		return nil
	}
	if c.method != http.MethodPost || c.path != "/v1/chat/completions" {
		return types.NewFault(types.CodeNotFound, "service %q takes POST /v1/chat/completions only", c.service.ID)
	}
	return c.parseChat()
}

func (c *call) parseNumber(number string) error {
	if c.program == "" {
		if number != "" {
			return types.NewFault(types.CodeBadRequest, "a call number needs a program")
		}
		return nil
	}
	if !types.ValidName(c.program) {
		return types.NewFault(types.CodeBadRequest, "%q is not a valid program id", c.program)
	}
	if number == "" {
		if !c.idempotent {
			return types.NewFault(types.CodeBadRequest, "a call that may not be repeated needs a call number (%s)", headerCall)
		}
		return nil
	}
	n, err := strconv.ParseUint(number, 10, 48)
	if err != nil || n == 0 {
		return types.NewFault(types.CodeBadRequest, "%q is not a call number; the first is 1", number)
	}
	c.number = types.CallNumber(n)
	return nil
}

// chatRequest is what we need to know of a chat-completions request.
type chatRequest struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           *int64            `json:"max_tokens"`
	MaxCompletionTokens *int64            `json:"max_completion_tokens"`
}

func (c *call) parseChat() error {
	var req chatRequest
	if err := json.Unmarshal(c.body, &req); err != nil {
		return badJSON(err)
	}
	if len(req.Messages) == 0 {
		return types.NewFault(types.CodeBadRequest, "messages: at least one is needed")
	}
	c.stream = req.Stream
	c.reserve = defaultMaxTokens
	for _, limit := range []*int64{req.MaxTokens, req.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 || *limit > maxTokensLimit {
			return types.NewFault(types.CodeBadRequest, "max_tokens: %d is not 1 to %d", *limit, maxTokensLimit)
		}
		c.reserve = types.Tokens(*limit)
	}
	return nil
}

// fingerprint identifies the request within its client account, whichever
// program it is part of.
func (c *call) fingerprint() types.Fingerprint {
	return types.FingerprintOf([]byte(c.service.ID), []byte(c.method), []byte(c.path), c.body)
}

// readBody reads the whole body; one that is cut short, too large or too slow
// is refused before anything is done.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // Not every writer has one.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, types.NewFault(types.CodePayloadTooLarge, "the body is larger than %d bytes", MaxBodyBytes)
	case err != nil:
		return nil, types.NewFault(types.CodeBadRequest, "the body was cut short or took longer than %v", bodyTimeout)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// decodeBody reads a body of our own format strictly.
func decodeBody[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var v T
	body, err := readBody(w, r)
	if err != nil {
		return v, err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, badJSON(err)
	}
	if d.More() {
		return v, types.NewFault(types.CodeBadRequest, "the body holds more than one JSON value")
	}
	return v, nil
}

func badJSON(err error) error {
	return types.NewFault(types.CodeBadRequest, "the body is not the JSON that is expected here: %s", strings.TrimPrefix(err.Error(), "json: "))
}
