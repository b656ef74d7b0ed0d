// Package fakes provides fakes of the systems around banyanspur: a model
// engine, a service that counts its side effects, TCP relays that simulate network
// partitions and other faults, and the platform's templates of settings. They are used by
// tests, benchmarks and the "local" command of banyanspur.
package fakes
