// Package entry implements the HTTP server for callers. It authenticates each
// request, records the start of the call in the ledger, sends the call to a
// target, records the outcome and returns the response.
//
// The stages of a request are in separate files, in this order: config_lease
// (a valid configuration is required), auth, request, journal (begin), pick,
// dispatch, outcome and journal (close), respond. An entry host keeps no
// durable state: everything that must survive its failure is in the ledger
// before a request is sent to a target or a response to the caller.
package entry
