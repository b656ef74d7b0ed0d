// Package host runs the processes of banyanspur by their settings: a control
// host with its replicas, an entry host, or both in one process.
package host
