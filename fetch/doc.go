// Package fetch sends HTTP/1.1 requests to targets that cannot be trusted to
// behave, and never sends one twice by itself.
//
// Targets close idle connections at any moment, answer before they have read a
// request, answer twice or late, break off, or fall silent. A [Pool] therefore
// looks at a kept connection before it uses it, drops answers that belong to
// another request, and keeps a connection only if nothing about it was odd.
// [Error] tells whether the target may have run the request.
package fetch
