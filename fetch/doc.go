// Package fetch sends HTTP/1.1 requests to unreliable targets and never retries a
// request by itself.
//
// Targets may close idle connections at any moment, respond before they have read
// a request, respond twice or late, break off a response, or stop responding. A
// [Pool] therefore learns how long each target keeps idle connections, checks an idle
// connection right before it writes to it, skips responses to other requests, and
// returns a connection to the pool only if the exchange completed normally. [Error]
// states whether the target may have run the request.
//
// A request goes on to another connection only if no byte of it was accepted by the
// kernel. A close or reset that arrives later does not prove that it has not run.
package fetch
