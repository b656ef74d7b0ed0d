// Package gate is the HTTP handler of an entry host. For each request it looks
// up the route and the account in the plan, enforces rate limits and budgets,
// builds the prompt from the chain of turns, selects a target, and forwards the
// target's response to the caller.
//
// A request passes through a chain of filters. A filter that cannot serve a
// request refuses it instead of queueing it indefinitely; refusals that may be
// retried carry a Retry-After header. All deployment-specific header names come
// from [HeaderNames].
package gate
