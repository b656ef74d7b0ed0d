package panics

import (
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
)

// reportFile is the file, in the data directory of a host, to which the runtime writes why the
// process ends, if it ends by a panic or a fatal error of the runtime.
const reportFile = "panic.txt"

// KeepReport makes the runtime write the reason of such an end of this process to a file in dir,
// beside standard error, and logs the reason that the process before has left there. A directory
// that does not exist yet is not created, since its name would have to be made durable.
func KeepReport(dir string, disk store.Disk, log event.Log) error {
	if _, err := os.Stat(dir); dir == "" || errors.Is(err, os.ErrNotExist) {
		return nil
	}
	path := filepath.Join(dir, reportFile)
	f, err := disk.OpenAppend(path)
	if err != nil {
		return err
	}
	defer f.Close() // The runtime has its own.
	report, at, err := readReport(path)
	if err != nil {
		return err
	}
	if report != "" {
		log.Write(event.ProcessCrashed, event.Fields{"at": at.UTC().Format(time.RFC3339), "report": report})
		if err := disk.Clear(f); err != nil {
			return err
		}
	}
	return errors.Wrap(debug.SetCrashOutput(f, debug.CrashOptions{}), "panics: keep reports of crashes")
}

// readReport returns the beginning of a report and when it was written.
func readReport(path string) (report string, at time.Time, err error) {
	f, err := os.Open(path)
	if err != nil {
		return "", at, errors.Wrap(err, "panics: open report")
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return "", at, errors.Wrap(err, "panics: read report")
	}
	b, err := io.ReadAll(io.LimitReader(f, maxValueBytes+maxStackBytes))
	return string(b), info.ModTime(), errors.Wrap(err, "panics: read report")
}
