package manage

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/banyanspur/banyanspur/admin"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/types"
)

// Server answers operators. Set the exported fields before [Server.Handler];
// the handler is safe for concurrent use.
type Server struct {
	// Client reaches the control hosts.
	Client *ctrl.Client
	// Control lists the control hosts, to ask each for its groups.
	Control []config.ControlHost
	// Operators lists who may ask. Without any, only health and metrics are
	// served.
	Operators []config.Operator
	// Ready tells whether callers should be sent to this host.
	Ready func() bool
}

const (
	// askTimeout bounds a request to the control hosts.
	askTimeout = 10 * time.Second
	// maxOrderBytes bounds the body of an order.
	maxOrderBytes = 64 << 20
)

// Handler returns the handler for operators, health checks and metrics.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("/readyz", s.ready)
	a := m.PathPrefix("/admin/v1").Subrouter()
	a.Handle("/configuration", s.endpoint(s.configuration)).Methods(http.MethodGet)
	a.Handle("/orders", s.endpoint(s.order)).Methods(http.MethodPost)
	a.Handle("/versions/{version}", s.endpoint(s.inForce)).Methods(http.MethodGet)
	a.Handle("/audit", s.endpoint(s.audit)).Methods(http.MethodGet)
	a.Handle("/groups", s.endpoint(s.groups)).Methods(http.MethodGet)
	return m
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Ready != nil && !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// endpoint authenticates the operator and answers with what fn returns.
func (s *Server) endpoint(fn func(ctx context.Context, who types.OperatorID, r *http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		who, ok := s.operator(r)
		if !ok {
			answer(w, http.StatusUnauthorized, types.NewFault(types.CodeUnauthorized, "the Authorization header must hold Bearer and an operator's key"))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), askTimeout)
		defer cancel()
		body, err := fn(ctx, who, r)
		if err != nil {
			answer(w, statusOf(err), types.AsFault(err))
			return
		}
		answer(w, http.StatusOK, body)
	})
}

func (s *Server) operator(r *http.Request) (types.OperatorID, bool) {
	_, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	hash := types.HashKey(key)
	for _, o := range s.Operators {
		if o.KeyHash == hash {
			return o.Name, true
		}
	}
	return "", false
}

func statusOf(err error) int {
	switch types.AsFault(err).Code {
	case types.CodeBadRequest:
		return http.StatusBadRequest
	case types.CodeConflict:
		return http.StatusConflict
	case types.CodeNotFound:
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // An operator who is gone asks again.
}

func (s *Server) configuration(ctx context.Context, _ types.OperatorID, _ *http.Request) (any, error) {
	return s.Client.Fleet(ctx)
}

// OrderBody is the body of POST /admin/v1/orders.
type OrderBody struct {
	// ID is made by the operator's side and stays the same for a resend.
	ID types.OrderID `json:"id"`
	// Base is the version that the operator saw.
	Base    types.Version `json:"base"`
	Change  config.Change `json:"change"`
	Summary string        `json:"summary"`
}

func (s *Server) order(ctx context.Context, who types.OperatorID, r *http.Request) (any, error) {
	d := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxOrderBytes))
	d.DisallowUnknownFields()
	var body OrderBody
	if err := d.Decode(&body); err != nil {
		return nil, types.NewFault(types.CodeBadRequest, "the body is not an order: %v", err)
	}
	if !types.ValidName(body.ID) {
		return nil, types.NewFault(types.CodeBadRequest, "id: %q is not a valid id", body.ID)
	}
	if body.Change.Size() == 0 {
		return nil, types.NewFault(types.CodeBadRequest, "change: the order changes nothing")
	}
	return s.Client.Order(ctx, admin.Order{ID: body.ID, Operator: who, Base: body.Base, Change: body.Change, Summary: body.Summary})
}

func (s *Server) inForce(ctx context.Context, _ types.OperatorID, r *http.Request) (any, error) {
	v, err := strconv.ParseUint(mux.Vars(r)["version"], 10, 64)
	if err != nil {
		return nil, types.NewFault(types.CodeBadRequest, "%q is not a version", mux.Vars(r)["version"])
	}
	return s.Client.InForce(ctx, types.Version(v))
}

func (s *Server) audit(ctx context.Context, _ types.OperatorID, r *http.Request) (any, error) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		return nil, types.NewFault(types.CodeBadRequest, "after: %q is not a number", r.URL.Query().Get("after"))
	}
	return s.Client.Trail(ctx, after)
}

// HostGroups is what a control host says of its replicas, or why it does not.
type HostGroups struct {
	Host  types.HostID      `json:"host"`
	Reply *ctrl.GroupsReply `json:"reply,omitempty"`
	Error string            `json:"error,omitempty"`
}

func (s *Server) groups(ctx context.Context, _ types.OperatorID, _ *http.Request) (any, error) {
	list := []HostGroups{}
	for _, h := range s.Control {
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
