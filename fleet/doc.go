// Package fleet lets hosts find each other and agree on what they serve.
//
// Hosts are told up to three seeds and nothing else. The control hosts found
// one group among themselves, whose replicated state is a [Machine]: the plan
// that operators decide, the stores and the map of shards. A [Control] runs a
// replica; on the leader it also keeps the list of targets, divides client
// accounts' limits and moves shards. A [Client] is how every host follows all
// of that: it keeps one request open at the leader, which answers as soon as
// there is news.
package fleet
