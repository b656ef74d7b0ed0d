// Package types holds the identifiers, units and errors that every other
// package of banyanspur shares.
//
// All values are plain data: they may be copied freely and are safe for
// concurrent use as long as nobody writes to them.
package types
