// Package gate serves callers by the plan: it finds route and account of each
// request, sees to limits, budgets and turns, picks a target, and passes the
// answer on.
//
// A request passes through a line of filters, each in a file of its own. None
// of them holds a request that it cannot serve: a refusal is given at once and
// says when to come back. What callers and targets call the parts of a message
// is told by [Names], so that the package knows no wire names of its own.
package gate
