package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// MaxBodyBytes is the maximum size of a request body from a caller.
	MaxBodyBytes = 8 << 20
	// bodyTimeout limits how long a caller may take to send a request body.
	bodyTimeout = 30 * time.Second
	// defaultMaxTokens limits a model's response if the caller sets no limit.
	defaultMaxTokens = 1024
	// maxTokensLimit is the largest limit that a caller may set for one call.
	maxTokensLimit = 131072
)

// Request and response headers of the callers' API.
const (
	headerProgram  = "Banyanspur-Program"
	headerCall     = "Banyanspur-Call"
	headerRecorded = "Banyanspur-Recorded"
)

// call is a request from a caller to a service.
type call struct {
	caller     caller
	program    types.ProgramID  // empty if the call belongs to no program
	number     types.CallNumber // 0 until assigned if the caller gave none
	service    config.Service
	method     string
	path       string // with a leading slash and the query
	header     http.Header
	body       []byte
	idempotent bool
	stream     bool         // the caller requested server-sent events
	reserve    types.Tokens // maximum number of tokens a model may generate; 0 for other services
}

// allowedHeaders lists the request headers that are passed on to targets. All
// others are dropped, in particular any that may contain a key.
var allowedHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// callInProgram serves the route that names the program and the call number in
// its path.
func (e *Entry) callInProgram(w http.ResponseWriter, r *http.Request) error {
	c, err := e.authenticate(r)
	if err != nil {
		return err
	}
	vars := mux.Vars(r)
	return e.serveCall(w, r, c, vars["service"], vars["path"], vars["program"], vars["number"])
}

// callService serves the route that names only the service in its path. The
// program and the call number are in headers; both are optional.
func (e *Entry) callService(w http.ResponseWriter, r *http.Request) error {
	c, err := e.authenticate(r)
	if err != nil {
		return err
	}
	vars := mux.Vars(r)
	return e.serveCall(w, r, c, vars["service"], vars["path"], r.Header.Get(headerProgram), r.Header.Get(headerCall))
}

// callAnonymous serves calls to anonymous services. It neither reads a key nor
// passes one on.
func (e *Entry) callAnonymous(w http.ResponseWriter, r *http.Request) error {
	vars := mux.Vars(r)
	cfg, err := e.config.get(e.Clock())
	if err != nil {
		return err
	}
	if !cfg.Services[types.ServiceID(vars["service"])].Anonymous {
		return types.NewFault(types.CodeNotFound, "service %q does not exist or requires a key", vars["service"])
	}
	return e.serveCall(w, r, caller{}, vars["service"], vars["path"], "", "")
}

// chat serves a chat-completions request. The model field of the body names the
// service; the program and the call number are in optional headers.
func (e *Entry) chat(w http.ResponseWriter, r *http.Request) error {
	c, err := e.authenticate(r)
	if err != nil {
		return err
	}
	body, held, err := e.readBody(w, r)
	defer held.Close()
	if err != nil {
		return err
	}
	var req struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(body, &req); err != nil {
		return badJSON(err)
	}
	return e.serveBody(w, r, c, req.Model, "v1/chat/completions", r.Header.Get(headerProgram), r.Header.Get(headerCall), body)
}

// serveCall reads the body of a call to a service and serves it. An empty program stands
// for a call that belongs to none.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request, from caller, service, path, program, number string) error {
	if _, err := e.service(service); err != nil {
		return err
	}
	body, held, err := e.readBody(w, r)
	defer held.Close()
	if err != nil {
		return err
	}
	return e.serveBody(w, r, from, service, path, program, number, body)
}

// service returns the service with the given name.
func (e *Entry) service(name string) (config.Service, error) {
	cfg, err := e.config.get(e.Clock())
	if err != nil {
		return config.Service{}, err
	}
	s, ok := cfg.Services[types.ServiceID(name)]
	if !ok {
		return config.Service{}, types.NewFault(types.CodeNotFound, "there is no service %q", name)
	}
	return s, nil
}

// serveBody builds a call from a request whose body has been read, and runs it.
func (e *Entry) serveBody(w http.ResponseWriter, r *http.Request, from caller, service, path, program, number string, body []byte) error {
	s, err := e.service(service)
	if err != nil {
		return err
	}
	c := &call{caller: from, program: types.ProgramID(program), service: s, method: r.Method, path: "/" + path, header: http.Header{}, body: body}
	if err := c.parse(number); err != nil {
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

// parse sets the fields that depend on the service, the call number and the
// body. It returns an error if the call number, the route or the body is not
// valid.
func (c *call) parse(number string) error {
	c.idempotent = !c.service.IsNonIdempotent(c.path)
	if err := c.parseNumber(number); err != nil {
		return err
	}
	if c.service.Kind != config.KindModel {
		return nil
	}
	if c.method != http.MethodPost || c.path != "/v1/chat/completions" {
		return types.NewFault(types.CodeNotFound, "service %q accepts only POST /v1/chat/completions", c.service.ID)
	}
	return c.parseChat()
}

// parseNumber checks the program ID and parses the call number. The number may
// be omitted only for idempotent calls and outside programs.
func (c *call) parseNumber(number string) error {
	if c.program == "" {
		if number != "" {
			return types.NewFault(types.CodeBadRequest, "a call number requires a program")
		}
		return nil
	}
	if !types.ValidName(c.program) {
		return types.NewFault(types.CodeBadRequest, "%q is not a valid program id", c.program)
	}
	if number == "" {
		if !c.idempotent {
			return types.NewFault(types.CodeBadRequest, "a non-idempotent call requires a call number (%s)", headerCall)
		}
		return nil
	}
	n, err := strconv.ParseUint(number, 10, 48)
	if err != nil || n == 0 {
		return types.NewFault(types.CodeBadRequest, "%q is not a valid call number; numbers start at 1", number)
	}
	c.number = types.CallNumber(n)
	return nil
}

// chatRequest contains the fields of a chat-completions request that the entry
// host evaluates.
type chatRequest struct {
	Model               string     `json:"model"`
	Messages            isNonEmpty `json:"messages"`
	Stream              bool       `json:"stream"`
	MaxTokens           *int64     `json:"max_tokens"`
	MaxCompletionTokens *int64     `json:"max_completion_tokens"`
}

// isNonEmpty is set if a JSON array has elements. They are not decoded, since they would take
// many times the memory of their text.
type isNonEmpty bool

// UnmarshalJSON implements [json.Unmarshaler].
func (e *isNonEmpty) UnmarshalJSON(b []byte) error {
	switch {
	case string(b) == "null":
		*e = false
	case b[0] != '[':
		return errors.New("messages is not an array")
	default:
		*e = len(bytes.TrimSpace(b[1:len(b)-1])) > 0
	}
	return nil
}

// parseChat sets stream and reserve from a chat-completions body.
func (c *call) parseChat() error {
	var req chatRequest
	if err := json.Unmarshal(c.body, &req); err != nil {
		return badJSON(err)
	}
	if !req.Messages {
		return types.NewFault(types.CodeBadRequest, "messages: at least one message is required")
	}
	c.stream = req.Stream
	c.reserve = defaultMaxTokens
	for _, limit := range []*int64{req.MaxTokens, req.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 || *limit > maxTokensLimit {
			return types.NewFault(types.CodeBadRequest, "max_tokens: %d must be between 1 and %d", *limit, maxTokensLimit)
		}
		c.reserve = types.Tokens(*limit)
	}
	return nil
}

// fingerprint returns a hash of the service, the method, the path and the body.
// It identifies the request within its client account across programs.
func (c *call) fingerprint() types.Fingerprint {
	return types.FingerprintOf([]byte(c.service.ID), []byte(c.method), []byte(c.path), c.body)
}

// readBody reads the whole request body. It returns a fault if the body is
// truncated, exceeds MaxBodyBytes or takes longer than bodyTimeout, or if there is no memory for
// it. The holder must be closed once the body is no longer used, also after an error.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *intake.Holder, error) {
	body, held, err := intake.ReadBody(w, r, e.Received, MaxBodyBytes, bodyTimeout)
	if err != nil {
		return nil, held, intake.Fault(err)
	}
	return body, held, nil
}

// decodeBody reads the request body as a single JSON value of type T. Unknown
// fields and trailing values are rejected.
func decodeBody[T any](e *Entry, w http.ResponseWriter, r *http.Request) (T, error) {
	var v T
	body, held, err := e.readBody(w, r)
	defer held.Close()
	if err != nil {
		return v, err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, badJSON(err)
	}
	if d.More() {
		return v, types.NewFault(types.CodeBadRequest, "the request body contains more than one JSON value")
	}
	return v, nil
}

// badJSON returns the fault for a request body that cannot be decoded.
func badJSON(err error) error {
	return types.NewFault(types.CodeBadRequest, "the request body is not the expected JSON: %s", strings.TrimPrefix(err.Error(), "json: "))
}
