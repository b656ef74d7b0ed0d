// Package types defines the identifiers, units and errors shared by all other
// packages of banyanspur.
//
// All values are plain data. They may be copied freely and are safe for
// concurrent reads.
package types
