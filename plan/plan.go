package plan

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// RouteID names a route.
type RouteID string

// Kind tells what a caller may expect when a request fails midway.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events and run at most
	// once, unless the route is resumable.
	Streaming
)

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name RouteID `json:"name,omitempty"`
	// Host is the name that callers use, without a port.
	Host string `json:"host,omitempty"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix,omitempty"`
	Kind   Kind   `json:"kind,omitempty"`
	// Backends share the route's requests by weight. At least one weight is
	// positive.
	Backends []Backend `json:"backends,omitempty"`
	// Timeout is the longest time that a caller is kept waiting; positive.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Objective is the time within which an answer, or a stream's first event,
	// is on time.
	Objective time.Duration `json:"objective,omitempty"`
	// Gap is the longest pause between two events of a stream that is on time.
	Gap time.Duration `json:"gap,omitempty"`
	// Attempts is how many targets one request may run on. 0 stands for 1.
	Attempts int `json:"attempts,omitempty"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Anonymous routes need no key.
	Anonymous bool `json:"anonymous,omitempty"`
	// Sticky routes gain from going to the target that served the same object.
	Sticky bool `json:"sticky,omitempty"`
	// Resumable streams may go on at another target.
	Resumable bool `json:"resumable,omitempty"`
	// Stateful routes carry turns: a request holds new input only and names
	// the turn that it continues.
	Stateful bool `json:"stateful,omitempty"`
	// Keep is how long a turn of a stateful route is kept.
	Keep time.Duration `json:"keep,omitempty"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Backend is a service that takes a share of a route's requests.
type Backend struct {
	Service types.ServiceID `json:"service,omitempty"`
	Weight  int             `json:"weight,omitempty"`
}

// Service is answered by targets.
type Service struct {
	Name       types.ServiceID `json:"name,omitempty"`
	HealthPath string          `json:"healthPath,omitempty"`
	// MaxConnections is what one target accepts from all callers together;
	// 0 stands for no limit.
	MaxConnections int `json:"maxConnections,omitempty"`
	// Engine is set for services of model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int `json:"slots,omitempty"`
	// Memory is how many tokens fit into an engine.
	Memory types.Tokens `json:"memory,omitempty"`
	// Stride is how many tokens one event carries.
	Stride types.Tokens `json:"stride,omitempty"`
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int64         `json:"headerBytes,omitempty"`
	BodyBytes   int64         `json:"bodyBytes,omitempty"`
	HeaderTime  time.Duration `json:"headerTime,omitempty"`
	IdleTime    time.Duration `json:"idleTime,omitempty"`
}

// Account is a client account.
type Account struct {
	Name types.AccountID `json:"name,omitempty"`
	// Keys are the hashes of the account's keys.
	Keys []types.KeyHash `json:"keys,omitempty"`
	// Priority goes before that of a route, if Ranked is set.
	Priority int  `json:"priority,omitempty"`
	Ranked   bool `json:"ranked,omitempty"`
	// Rate and Burst bound the account's requests over all hosts; a Rate of 0
	// stands for no limit.
	Rate  types.PerSecond `json:"rate,omitempty"`
	Burst int             `json:"burst,omitempty"`
}

// Plan is one version of all that operators decide.
type Plan struct {
	Version  types.Version `json:"version,omitempty"`
	Routes   []Route       `json:"routes,omitempty"`
	Services []Service     `json:"services,omitempty"`
	Accounts []Account     `json:"accounts,omitempty"`
	Limits   Limits        `json:"limits,omitempty"`
}
