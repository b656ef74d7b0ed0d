// Package crash models a file system that loses power. A [Model] follows the
// operations of a [store.Disk] and knows which of them no sync has covered. It
// writes the states that a loss of power may leave behind into directories, from
// which tests start again what has used the disk.
//
// Each write to a file since its last sync is present, missing or torn, whatever
// becomes of the others. Each file and directory that was created, renamed or
// removed since the last sync of the directory above it is kept or lost by itself.
// The sync of a file does not make its name durable. A rename is either kept or
// lost as a whole. These are the guarantees of POSIX, weaker than those of most
// file systems.
package crash
