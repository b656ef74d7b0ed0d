// Package host runs the processes of banyanspur. A [Process] reads the list of
// control hosts from its settings and runs a control host, an entry host, or
// both in one process. A [Node] finds the control hosts through seed addresses
// and runs an entry host, a control host or a store.
package host
