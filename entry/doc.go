// Package entry serves callers: it finds the client account of each request,
// has the ledger begin the call, sends it to a target, stores the outcome and
// streams the answer back.
//
// A request passes one filter a file: view (is the configuration in force?),
// auth, request, journal (begin), pick, dispatch, journal (close), respond.
// An entry host keeps nothing that matters: whatever must survive it is in the
// ledger before a target is asked or a caller is answered.
package entry
