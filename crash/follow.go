package crash

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// Follower follows the directory that one process after another uses, each with a
// [RecordingDisk]. Set Dir, and SyncTime before a start. What tests change in the directory between two processes counts as
// not durable, and a directory that they have removed as new. The methods must not be called
// concurrently, except Hang.
type Follower struct {
	Dir string
	// SyncTime is how long a sync of the next process takes at least.
	SyncTime time.Duration

	model   *Model // nil before the first start
	reading errgroup.Group
	// unreported is [Loss.Unreported] until now.
	unreported int
	// endedAt is when the last process had ended, valid once reading has.
	endedAt time.Time
	// longestWait is [Follower.LongestWait] in nanoseconds.
	longestWait atomic.Int64
}

const (
	// pipeBytes is the size of the pipe in which a process reports its operations, the largest one that needs no privileges.
	pipeBytes = 1 << 20
	// timeMargin is by how much the times of files may be behind the clock, with a margin.
	timeMargin = 50 * time.Millisecond
)

// LongestWait returns how long a process has waited at most to report an operation, before it went on. It may be called at
// any time.
func (f *Follower) LongestWait() time.Duration { return time.Duration(f.longestWait.Load()) }

// Loss counts what a loss of power has met: writes and names that were not durable, and those
// of them that were lost or torn.
type Loss struct {
	Writes, LostWrites, TornWrites int
	Names, LostNames               int
	// Unreported is the most operations of one process since the loss before that were found
	// in the directory only: when it is killed, it may have performed one in each goroutine
	// and not reported it. Those of tests count, too.
	Unreported int
	// Details are the writes and names in words, with what has become of them.
	Details string
}

// String returns the counts and the details, for messages of tests.
func (l Loss) String() string {
	return fmt.Sprintf("%d of %d writes lost, %d torn, %d of %d names lost, %d operations not reported: %s",
		l.LostWrites, l.Writes, l.TornWrites, l.LostNames, l.Names, l.Unreported, l.Details)
}

// Start starts a process and follows its operations. The process before must have exited.
//
// The log is a pipe: it keeps what a killed process has written, and a limit on the size of
// the files of the process does not affect it.
func (f *Follower) Start(cmd *exec.Cmd) error {
	if err := f.settle(); err != nil {
		return err
	}
	r, w, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "crash: create a pipe")
	}
	defer w.Close() // The process has its own.
	if err := setPipeSize(w, pipeBytes); err != nil {
		_ = r.Close() // Nothing has been written.
		return err
	}
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=/dev/fd/%d", LogEnv, 3+len(cmd.ExtraFiles)), HangEnv+"="+f.hangFile(), SyncTimeEnv+"="+f.SyncTime.String())
	cmd.ExtraFiles = append(cmd.ExtraFiles, w)
	if err := cmd.Start(); err != nil {
		_ = r.Close() // Nothing has been written.
		return errors.Wrap(err, "crash: start process")
	}
	m, reports := f.model, newBacklog()
	f.reading.Go(func() error {
		defer r.Close()
		err := reports.fill(r)
		f.endedAt = time.Now()
		return err
	})
	f.reading.Go(func() error { return m.follow(reports, f.addWait) })
	return nil
}

// setPipeSize sets the size of a pipe.
func setPipeSize(w *os.File, bytes int) error {
	c, err := w.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "crash: set the size of a pipe")
	}
	var sizeErr error
	err = c.Control(func(fd uintptr) { _, sizeErr = unix.FcntlInt(fd, unix.F_SETPIPE_SZ, bytes) })
	return errors.Wrap(errors.CombineErrors(err, sizeErr), "crash: set the size of a pipe")
}

// addWait records for how long a process has waited to report an operation.
func (f *Follower) addWait(d time.Duration) {
	f.longestWait.Store(max(f.longestWait.Load(), int64(d)))
}

// follow observes the operations of a log until its end. The last one may be incomplete. It calls waited with the time that
// each report has taken the process.
func (m *Model) follow(r io.Reader, waited func(time.Duration)) error {
	for d := cbor.NewDecoder(r); ; {
		var op report
		err := d.Decode(&op)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "crash: read the log of operations")
		}
		m.Observe(op.Op)
		waited(op.Waited)
	}
}

// Hang lets the syncs of processes hang, or continue. What they have written meanwhile is not
// durable, and must not be acknowledged.
func (f *Follower) Hang(hang bool) error {
	err := os.RemoveAll(f.hangFile())
	if hang {
		err = os.WriteFile(f.hangFile(), nil, 0o600)
	}
	return errors.Wrap(err, "crash: let syncs hang or continue")
}

func (f *Follower) hangFile() string { return f.Dir + ".hang" }

// settle waits until all operations of the last process are known, and adds those that it
// could not report before it was killed.
func (f *Follower) settle() error {
	if err := f.reading.Wait(); err != nil {
		return err
	}
	f.reading = errgroup.Group{}
	if _, err := os.Stat(f.Dir); f.model == nil || errors.Is(err, os.ErrNotExist) {
		f.model = &Model{Root: f.Dir}
		return f.model.Load()
	}
	if err := f.model.Err(); err != nil {
		return err
	}
	f.model.observedUntil = f.endedAt.Add(-timeMargin)
	n, err := f.model.Reconcile()
	f.unreported = max(f.unreported, n)
	return err
}

// LosePower replaces the directory by a state after a loss of power. fate decides about each
// pending write and name. The process must have exited.
func (f *Follower) LosePower(fate func(isName bool) Fate) (Loss, error) {
	if err := f.settle(); err != nil {
		return Loss{}, err
	}
	l := Loss{Unreported: f.unreported}
	f.unreported = 0
	var err error
	l.Details, err = f.model.LosePowerInPlace(func(isName bool) Fate {
		x := fate(isName)
		switch {
		case isName:
			l.Names++
			l.LostNames += btoi(x == Lost)
		default:
			l.Writes++
			l.LostWrites += btoi(x == Lost)
			l.TornWrites += btoi(x == Torn)
		}
		return x
	})
	return l, err
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
