package entry

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/banyanspur/banyanspur/types"
)

// endpoint handles a request. It either writes the response itself and returns
// nil, or writes nothing and returns the error to respond with.
type endpoint func(w http.ResponseWriter, r *http.Request) error

// router returns the routes of the callers' API, which docs/API.md describes.
func (e *Entry) router() http.Handler {
	m := mux.NewRouter().UseEncodedPath()
	m.Handle("/v1/programs", e.middleware(e.openProgram)).Methods(http.MethodPost)
	m.Handle("/v1/programs/{program}", e.middleware(e.readProgram)).Methods(http.MethodGet)
	m.Handle("/v1/programs/{program}/history", e.middleware(e.readHistory)).Methods(http.MethodGet)
	m.Handle("/v1/programs/{program}/end", e.middleware(e.endProgram)).Methods(http.MethodPost)
	m.Handle("/v1/programs/{program}/calls/{number}/{service}/{path:.*}", e.middleware(e.callInProgram))
	m.Handle("/v1/chat/completions", e.middleware(e.chat)).Methods(http.MethodPost)
	m.Handle("/v1/services/{service}/{path:.*}", e.middleware(e.callService))
	m.Handle("/open/{service}/{path:.*}", e.middleware(e.callAnonymous))
	m.NotFoundHandler = e.middleware(func(http.ResponseWriter, *http.Request) error {
		return types.NewFault(types.CodeNotFound, "unknown route; see docs/API.md")
	})
	m.MethodNotAllowedHandler = e.middleware(func(_ http.ResponseWriter, r *http.Request) error {
		return types.NewFault(types.CodeBadRequest, "method %s is not allowed on this route", r.Method)
	})
	return m
}

// middleware wraps an endpoint: it rejects requests above MaxInFlight, counts
// requests by result and writes the endpoint's error as the response.
func (e *Entry) middleware(h endpoint) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer e.inFlight.Add(-1)
		if e.inFlight.Add(1) > int64(e.MaxInFlight) {
			countRequest(types.CodeOverloaded)
			writeFault(w, types.NewFault(types.CodeOverloaded, "the entry host is already serving its maximum of %d requests", e.MaxInFlight).WithRetryAfter(overloadRetryAfter))
			return
		}
		if e.draining.Load() {
			w.Header().Set("Connection", "close") // The caller reconnects, and the load balancer selects another host.
		}
		err := h(w, r)
		if err == nil {
			countRequest("")
			return
		}
		f := types.AsFault(err)
		countRequest(f.Code)
		writeFault(w, f)
	})
}
