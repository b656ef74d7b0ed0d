// Package turns keeps what programs leave behind: their turns, each with the
// input that came and the output that went, and what they have spent of their
// budgets.
//
// A turn never changes once it is written and what a program spends is a set
// of claims that only grows, so neither needs an order among writers. A
// [Client] therefore writes to all stores of a shard and counts on a majority;
// there is no leader to lose, and nothing waits for an election. A [Store] is
// one copy: a journal on disk and an index in memory. The [Map] tells which
// stores carry which shard; it belongs to the configuration group, and its
// epochs keep a writer with an old map from being counted.
package turns
