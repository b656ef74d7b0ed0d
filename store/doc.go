// Package store keeps a replica's durable state in one folder: a log of
// checksummed frames in segments, and snapshots.
//
// A frame is the unit of sync: it is either wholly durable or, if the process
// died while writing it, cut from the end at the next start. A frame that is
// damaged anywhere else is corruption; [Open] then returns [ErrCorrupt] and
// changes nothing.
package store
