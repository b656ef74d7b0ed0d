package manage

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/banyanspur/banyanspur/admin"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/types"
)

// Server serves the administration interface. Set the exported fields before
// calling [Server.Handler]. The handler is safe for concurrent use.
type Server struct {
	// Client sends requests to the control hosts.
	Client *ctrl.Client
	// ControlHosts lists the control hosts whose replicas are listed under /groups.
	ControlHosts []config.ControlHost
	// Operators lists the operators and the hashes of their keys. If it is empty,
	// only health checks and metrics are accessible.
	Operators []config.Operator
	// Ready reports whether this host should receive requests of callers. If it
	// is nil, the host always counts as ready.
	Ready func() bool
	// Received bounds the memory of the orders that are received.
	Received *intake.Budget
}

const (
	// controlTimeout limits the total time of the requests to control hosts that
	// one request of an operator causes.
	controlTimeout = 10 * time.Second
	// maxOrderBytes is the maximum length of the body of an order, in bytes.
	maxOrderBytes = 64 << 20
	// bodyTimeout limits how long an operator may take to send an order.
	bodyTimeout = 30 * time.Second
)

// Handler returns the handler for the administration interface, health checks
// and metrics. Health checks and metrics need no authentication.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", s.ready)
	api := router.PathPrefix("/admin/v1").Subrouter()
	api.Handle("/configuration", s.endpoint(s.configuration)).Methods(http.MethodGet)
	api.Handle("/orders", s.orderEndpoint()).Methods(http.MethodPost)
	api.Handle("/versions/{version}", s.endpoint(s.versionInForce)).Methods(http.MethodGet)
	api.Handle("/audit", s.endpoint(s.auditRecords)).Methods(http.MethodGet)
	api.Handle("/groups", s.endpoint(s.hostGroups)).Methods(http.MethodGet)
	return router
}

// ready responds with 200 if the host is ready for requests of callers and with
// 503 otherwise.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Ready != nil && !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// endpoint returns a handler that authenticates the operator, calls fn and
// responds with the result or the error of fn as JSON.
func (s *Server) endpoint(fn func(ctx context.Context, operator types.OperatorID, r *http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := s.authenticate(r)
		if !ok {
			intake.SkipBody(w, r)
			writeJSON(w, http.StatusUnauthorized, types.NewFault(types.CodeUnauthorized, "the Authorization header must contain Bearer and an operator's key"))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), controlTimeout)
		defer cancel()
		body, err := fn(ctx, operator, r)
		if err != nil {
			f := types.AsFault(err)
			if f.RetryAfter > 0 {
				w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
			}
			writeJSON(w, statusOf(err), f)
			return
		}
		writeJSON(w, http.StatusOK, body)
	})
}

// orderEndpoint returns a handler that reads an order of an operator and submits it.
func (s *Server) orderEndpoint() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.endpoint(func(ctx context.Context, operator types.OperatorID, r *http.Request) (any, error) {
			body, held, err := intake.ReadBody(w, r, s.Received, maxOrderBytes, bodyTimeout)
			defer held.Close()
			if err == nil {
				err = held.Add(int64(len(body))) // For the copy of the decoder.
			}
			if err != nil {
				return nil, intake.Fault(err)
			}
			return s.submitOrder(ctx, operator, body)
		}).ServeHTTP(w, r)
	})
}

// authenticate returns the operator whose key is in the Authorization header,
// whatever the authentication scheme. It returns false if the key is missing or
// unknown.
func (s *Server) authenticate(r *http.Request) (types.OperatorID, bool) {
	_, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	hash := types.HashKey(key)
	for _, o := range s.Operators {
		if o.KeyHash == hash {
			return o.Name, true
		}
	}
	return "", false
}

// statusOf returns the HTTP status for an error.
func statusOf(err error) int {
	switch types.AsFault(err).Code {
	case types.CodeBadRequest:
		return http.StatusBadRequest
	case types.CodeConflict:
		return http.StatusConflict
	case types.CodeNotFound:
		return http.StatusNotFound
	case types.CodePayloadTooLarge:
		return http.StatusRequestEntityTooLarge
	case types.CodeRequestTimeout:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// writeJSON sends a response with the given status and body as JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // A client that has disconnected can retry.
}

func (s *Server) configuration(ctx context.Context, _ types.OperatorID, _ *http.Request) (any, error) {
	return s.Client.Fleet(ctx)
}

// OrderBody is the body of POST /admin/v1/orders.
type OrderBody struct {
	// ID is generated by the client and is the same in all retries of the order.
	ID types.OrderID `json:"id"`
	// Base is the version that Change is based on.
	Base   types.Version `json:"base"`
	Change config.Change `json:"change"`
	// Summary describes the order for people. It must not contain a key.
	Summary string `json:"summary"`
}

// submitOrder submits an encoded order and returns the decision.
func (s *Server) submitOrder(ctx context.Context, operator types.OperatorID, encoded []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	var body OrderBody
	if err := decoder.Decode(&body); err != nil {
		return nil, types.NewFault(types.CodeBadRequest, "the body is not a valid order: %v", err)
	}
	if !types.ValidName(body.ID) {
		return nil, types.NewFault(types.CodeBadRequest, "id: %q is not a valid id", body.ID)
	}
	if body.Change.Size() == 0 {
		return nil, types.NewFault(types.CodeBadRequest, "change: the change is empty")
	}
	return s.Client.SubmitOrder(ctx, admin.Order{ID: body.ID, Operator: operator, Base: body.Base, Change: body.Change, Summary: body.Summary})
}

// versionInForce reports whether all live entry hosts serve under the version in
// the path or a later one, and which of them may not.
func (s *Server) versionInForce(ctx context.Context, _ types.OperatorID, r *http.Request) (any, error) {
	v, err := strconv.ParseUint(mux.Vars(r)["version"], 10, 64)
	if err != nil {
		return nil, types.NewFault(types.CodeBadRequest, "version: %q is not a number", mux.Vars(r)["version"])
	}
	return s.Client.InForce(ctx, types.Version(v))
}

// auditRecords returns a page of audit records, starting with the one that follows
// the sequence number in the query parameter "after", which defaults to 0.
func (s *Server) auditRecords(ctx context.Context, _ types.OperatorID, r *http.Request) (any, error) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		return nil, types.NewFault(types.CodeBadRequest, "after: %q is not a number", r.URL.Query().Get("after"))
	}
	return s.Client.AuditRecords(ctx, after)
}

// HostGroups holds the state of the replicas on a control host, or the error with
// which the request to the host failed.
type HostGroups struct {
	Host  types.HostID      `json:"host"`
	Reply *ctrl.GroupsReply `json:"reply,omitempty"`
	Error string            `json:"error,omitempty"`
}

// hostGroups returns the state of the replicas on each control host. If the
// request to a host fails, its entry contains the error.
func (s *Server) hostGroups(ctx context.Context, _ types.OperatorID, _ *http.Request) (any, error) {
	list := []HostGroups{}
	for _, h := range s.ControlHosts {
		g := HostGroups{Host: h.Host}
		reply, err := s.Client.Replicas(ctx, h.Host)
		if err != nil {
			g.Error = err.Error()
		} else {
			g.Reply = &reply
		}
		list = append(list, g)
	}
	return list, nil
}
