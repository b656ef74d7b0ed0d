package plan

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// RouteID names a route.
type RouteID string

// Kind determines whether a request that fails midway may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests are executed at most once.
	NonIdempotent
	// Streaming requests have a stream of events as their response. They are
	// executed at most once, unless the route is resumable.
	Streaming
)

// Route defines how requests with a given host name and path prefix are served.
type Route struct {
	Name RouteID `json:"name,omitempty"`
	// Host is the host name that callers use, without a port.
	Host string `json:"host,omitempty"`
	// Prefix is a path prefix. It begins and ends with a slash.
	Prefix string `json:"prefix,omitempty"`
	Kind   Kind   `json:"kind,omitempty"`
	// Backends share the route's requests by weight. At least one weight is
	// positive.
	Backends []Backend `json:"backends,omitempty"`
	// Timeout is the longest time that a request may take. It is positive.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Objective is the latency objective for a response, or for the first event
	// of a stream.
	Objective time.Duration `json:"objective,omitempty"`
	// EventGap is the objective for the longest time between two events of a
	// stream.
	EventGap time.Duration `json:"gap,omitempty"`
	// Attempts is the maximum number of targets that may execute a request. 0
	// means 1.
	Attempts int `json:"attempts,omitempty"`
	// Priority is the priority of the route's requests. 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Anonymous routes require no key.
	Anonymous bool `json:"anonymous,omitempty"`
	// Sticky marks routes whose requests benefit from going to the target that
	// served the same object before.
	Sticky bool `json:"sticky,omitempty"`
	// Resumable marks streams that may continue on another target.
	Resumable bool `json:"resumable,omitempty"`
	// Stateful marks routes with turns: a request contains only new input and
	// names the turn that it continues.
	Stateful bool `json:"stateful,omitempty"`
	// TurnRetention is how long a turn of a stateful route is stored.
	TurnRetention time.Duration `json:"keep,omitempty"`
}

// Repeatable reports whether a request may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service types.ServiceID `json:"service,omitempty"`
	// Weight is the share of requests relative to the route's other backends.
	// It is not negative.
	Weight int `json:"weight,omitempty"`
}

// Service is a group of interchangeable targets.
type Service struct {
	Name       types.ServiceID `json:"name,omitempty"`
	HealthPath string          `json:"healthPath,omitempty"`
	// MaxConnections is the number of connections that one target accepts from
	// all callers together. 0 means no limit.
	MaxConnections int `json:"maxConnections,omitempty"`
	// ColdTime is how long a target is cold after a start, and ColdRate the rate of
	// requests that it is made for in that time. A ColdRate of 0 means no limit.
	ColdTime time.Duration   `json:"coldTime,omitempty"`
	ColdRate types.PerSecond `json:"coldRate,omitempty"`
	// Engine is set if the service's targets are model engines.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int `json:"slots,omitempty"`
	// MemoryTokens is the capacity of an engine's memory, in tokens.
	MemoryTokens types.Tokens `json:"memory,omitempty"`
	// TokensPerEvent is the number of tokens per event of a stream.
	TokensPerEvent types.Tokens `json:"stride,omitempty"`
}

const (
	// MaxHeaderBytes is the size up to which entry hosts accept the header of a request,
	// whatever the plan says. A host holds the header of each connection that sends one.
	MaxHeaderBytes = 256 << 10
	// MaxHeaderTimeout is the time that entry hosts give callers to send a header.
	MaxHeaderTimeout = 30 * time.Second
)

// Limits holds the limits on callers' requests that operators set. IdleTimeout is not
// enforced. If BodyBytes is 0, entry hosts use a default. A plan whose HeaderBytes exceeds
// MaxHeaderBytes, or whose HeaderTimeout exceeds MaxHeaderTimeout, is not valid, since
// requests that it allows would be cut off.
type Limits struct {
	HeaderBytes   int64         `json:"headerBytes,omitempty"`
	BodyBytes     int64         `json:"bodyBytes,omitempty"`
	HeaderTimeout time.Duration `json:"headerTime,omitempty"`
	IdleTimeout   time.Duration `json:"idleTime,omitempty"`
}

// Account is a client account.
type Account struct {
	Name types.AccountID `json:"name,omitempty"`
	// Keys are the hashes of the account's keys.
	Keys []types.KeyHash `json:"keys,omitempty"`
	// Priority is the priority of the account's requests. 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// OverridesPriority is set if Priority overrides the priority of routes.
	OverridesPriority bool `json:"ranked,omitempty"`
	// Rate and Burst limit the account's requests over all hosts. A Rate of 0
	// means no limit.
	Rate  types.PerSecond `json:"rate,omitempty"`
	Burst int             `json:"burst,omitempty"`
}

// Plan is one complete version of the configuration.
type Plan struct {
	Version  types.Version `json:"version,omitempty"`
	Routes   []Route       `json:"routes,omitempty"`
	Services []Service     `json:"services,omitempty"`
	Accounts []Account     `json:"accounts,omitempty"`
	Limits   Limits        `json:"limits,omitempty"`
}

// TurnRetention returns the longest retention and the longest timeout of the stateful
// routes. Turns do not name their routes, so that all are kept for the longest retention.
func (p *Plan) TurnRetention() (keep, timeout time.Duration) {
	for _, r := range p.Routes {
		if r.Stateful {
			keep, timeout = max(keep, r.TurnRetention), max(timeout, r.Timeout)
		}
	}
	return keep, timeout
}
