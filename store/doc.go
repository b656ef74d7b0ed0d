// Package store keeps a replica's durable state in a directory: a log of
// checksummed frames in segment files, and snapshots. A [Log] is read as a whole
// when it is opened. The records of a [Journal] are read one by one.
//
// A frame is the unit of sync. It is either durable as a whole or, if the
// process died while writing it, dropped from the end at the next start. A
// damaged frame anywhere else is corruption: [Open] then returns [ErrCorrupt]
// and changes nothing.
package store
