//go:build disklog

package main

import (
	"github.com/banyanspur/banyanspur/crash"
	"github.com/banyanspur/banyanspur/store"
)

// newDisk returns the disk of a host. This build, for tests only, reports what the disk does.
func newDisk() (store.Disk, error) { return crash.RecordingDisk() }
