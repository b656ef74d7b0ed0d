package crash

import (
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/banyanspur/banyanspur/store"
)

// The environment variables of [RecordingDisk].
const (
	// LogEnv names the file to which the disk writes its operations.
	LogEnv = "BANYANSPUR_DISK_LOG"
	// HangEnv names a file. The disk does not begin to sync while it exists.
	HangEnv = "BANYANSPUR_DISK_HANG"
	// SyncTimeEnv is the duration that a sync takes at least, as on a slower disk.
	SyncTimeEnv = "BANYANSPUR_DISK_SYNC_TIME"
)

// report is an operation that a process reports.
type report struct {
	store.Op
	// Waited is how long the report before has taken.
	Waited time.Duration `json:"waited,omitempty"`
}

// hangInterval is how often a sync that hangs looks whether it may begin.
const hangInterval = time.Millisecond

// RecordingDisk returns a disk that writes its operations to the file that [LogEnv] names,
// each before its caller continues. It returns a disk that records nothing if the variable is
// not set.
func RecordingDisk() (store.Disk, error) {
	path := os.Getenv(LogEnv)
	if path == "" {
		return store.Disk{}, nil
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return store.Disk{}, errors.Wrap(err, "crash: open the log of operations")
	}
	var syncTime time.Duration
	if text := os.Getenv(SyncTimeEnv); text != "" {
		if syncTime, err = time.ParseDuration(text); err != nil {
			return store.Disk{}, errors.Wrap(err, "crash: "+SyncTimeEnv)
		}
	}
	var mu sync.Mutex // guards the encoder and waited
	var waited time.Duration
	e := cbor.NewEncoder(f)
	hang := os.Getenv(HangEnv)
	syncFile := func(f *os.File) error {
		startedAt := time.Now()
		for ; ; time.Sleep(hangInterval) {
			if _, err := os.Stat(hang); err != nil {
				break
			}
		}
		err := f.Sync()
		time.Sleep(syncTime - time.Since(startedAt))
		return err
	}
	return store.Disk{Sync: syncFile, Observe: func(op store.Op) {
		mu.Lock()
		defer mu.Unlock()
		begun := time.Now()
		if err := e.Encode(report{op, waited}); err != nil {
			panic(errors.Wrap(err, "crash: write the log of operations")) // What follows would prove nothing.
		}
		waited = time.Since(begun)
	}}, nil
}
