// Package turns stores the turns of programs, each with its input and output,
// and the claims on the programs' budgets.
//
// A turn never changes after it is written, and a program's spending is a set
// of claims that only grows, so writers need no agreed order. A [Client]
// therefore writes to the stores of a shard directly and waits for a majority.
// There is no leader, so no write waits for an election. A [Store] is one
// replica: a journal on disk and an index in memory. The [Map] assigns shards
// to stores. It is maintained by the configuration group, and its epochs let
// stores reject writers with an outdated map.
package turns
