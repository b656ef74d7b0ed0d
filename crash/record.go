package crash

import (
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/banyanspur/banyanspur/store"
)

// LogEnv is the environment variable that names the file to which [RecordingDisk] writes.
const LogEnv = "BANYANSPUR_DISK_LOG"

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
	var mu sync.Mutex
	e := cbor.NewEncoder(f)
	return store.Disk{Observe: func(op store.Op) {
		mu.Lock()
		defer mu.Unlock()
		if err := e.Encode(op); err != nil {
			panic(errors.Wrap(err, "crash: write the log of operations")) // What follows would prove nothing.
		}
	}}, nil
}
