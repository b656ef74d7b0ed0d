package store

import (
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// FreeBytes returns the space that this process may still use in the file
// system of directory dir.
func FreeBytes(dir string) (int64, error) {
	var stat unix.Statfs_t
	if err := unix.Statfs(dir, &stat); err != nil {
		return 0, errors.Wrap(err, "store: read the free space")
	}
	return int64(stat.Bavail) * int64(stat.Bsize), nil
}
