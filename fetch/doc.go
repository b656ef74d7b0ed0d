// Package fetch sends HTTP/1.1 requests to unreliable targets and never retries a
// request by itself.
//
// Targets may close idle connections at any moment, respond before they have read
// a request, respond twice or late, break off a response, or stop responding. A
// [Pool] therefore checks an idle connection before it reuses it, skips responses
// to other requests, and returns a connection to the pool only if the exchange
// completed normally. [Error] states whether the target may have run the request.
package fetch
