// Package limit decides whether a request is within its client account's rate
// and burst.
package limit
