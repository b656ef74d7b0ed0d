// Package fakes holds small stand-ins for what banyanspur meets outside: a
// model engine, and a service whose effects are counted. Tests and
// measurements use them, and the program's local command starts them for
// newcomers.
package fakes
