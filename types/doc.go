// Package types defines the identifiers, units, clocks, faults and the message
// encoding shared by all other packages of banyanspur.
//
// Identifiers, units and faults are plain data. They may be copied freely and are
// safe for concurrent reads.
package types
