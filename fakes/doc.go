// Package fakes provides fakes of the systems around banyanspur: a model
// engine, a service that counts its side effects, and a TCP relay that simulates
// network partitions. They are used by tests, benchmarks and the "local" command
// of banyanspur.
package fakes
