package gate

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// pieceBytes is the size in which responses are read, held and written.
	pieceBytes = 16 << 10
	// maxStall is how long a target's response may stay unread because the call has no room
	// for it. Targets cut off a response that is not read for some seconds.
	maxStall = 2 * time.Second
	// minReadRate is the rate in bytes per second at which a response must be read from its
	// target. A slower one adds to the time that it has stayed unread, since the target's
	// connection accepts nothing new until much of what it holds has been read.
	minReadRate = 128 << 10
	// stallPollInterval is how often a stalled call checks whether other calls have
	// released room. Its own releases wake it at once.
	stallPollInterval = 20 * time.Millisecond
	// maxWriteTime is how long a caller may take to accept one piece of a response. It is
	// longer than callers are usually suspended.
	maxWriteTime = 10 * time.Second
)

var (
	unreadStallsTotal = metrics.NewCounter("banyanspur_gate_unread_stalls_total")
	unreadCutsTotal   = metrics.NewCounter("banyanspur_gate_unread_cuts_total")

	// errUnread is returned for a response that the caller does not read in time.
	errUnread = errors.New("gate: the caller does not read the response in time")
	// errCallerLost is returned for a response that cannot be written to the caller.
	errCallerLost = errors.New("gate: the response cannot be written to the caller")
)

// callerAtFault reports whether a response ended early because of its caller.
func callerAtFault(err error) bool { return errors.Is(err, errUnread) || errors.Is(err, errCallerLost) }

// unreadResponse is what a host holds of a response until the caller has read it. While the
// handler reads the response from the target and adds it, a goroutine writes it to the
// caller. The bytes count in the host's backlog.
type unreadResponse struct {
	backlog *Backlog
	account types.AccountID
	w       http.ResponseWriter
	rc      *http.ResponseController
	// flush is set if each piece is to reach the caller as soon as possible.
	flush bool

	writer  errgroup.Group // runs run once the first piece was added
	started bool           // used by the handler only
	// stalled is how long the response has waited for room, less the time that reading it at
	// minReadRate takes. 0 <= stalled. Used by the handler only.
	stalled time.Duration

	mu      sync.Mutex
	pieces  []piece
	held    int64 // bytes taken from the backlog: those of pieces and of the one that is written
	ended   bool  // no piece follows
	aborted bool  // nothing more is to be written
	err     error // why writing has failed; nil while it has not
	// added is signaled when pieces or ended change, released when held or err do. Both have
	// room for one signal.
	added, released chan struct{}
}

// piece is a part of a response that was received at the given time.
type piece struct {
	b          []byte
	receivedAt time.Time
}

// pieceOverhead is the memory of a piece besides its bytes.
const pieceOverhead = 64

// size returns the memory that a piece needs.
func (p piece) size() int64 { return int64(cap(p.b)) + pieceOverhead }

func (c *call) newUnread(flush bool) *unreadResponse {
	c.unread = &unreadResponse{
		backlog: c.gate.Backlog, account: c.accountID(), w: c.w, rc: http.NewResponseController(c.w), flush: flush,
		added: make(chan struct{}, 1), released: make(chan struct{}, 1),
	}
	return c.unread
}

// hold takes room for a piece that will be written or dropped. always is set if it is to be
// held even if there is no room.
func (u *unreadResponse) hold(p piece, always bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if always {
		u.backlog.TakeAlways(u.account, p.size())
	} else if !u.backlog.Take(u.account, u.held, p.size()) {
		return false
	}
	u.held += p.size()
	return true
}

// drop releases bytes that were held and will not be written.
func (u *unreadResponse) drop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.backlog.Release(u.account, u.held)
	u.held, u.pieces = 0, nil
}

// add adds a piece of the response, of which the caller of add keeps no reference. It waits
// for room until the response has stalled for maxStall, or until ctx ends, and fails if there
// is none or if the response can no longer be written.
func (u *unreadResponse) add(ctx context.Context, p piece) error {
	for len(p.b) > pieceBytes {
		if err := u.add(ctx, piece{b: p.b[:pieceBytes:pieceBytes], receivedAt: p.receivedAt}); err != nil {
			return err
		}
		p.b = p.b[pieceBytes:]
	}
	u.stalled = max(0, u.stalled-time.Duration(len(p.b))*time.Second/minReadRate)
	if !u.hold(p, false) {
		unreadStallsTotal.Inc()
		if err := u.awaitRoom(ctx, p); err != nil {
			return err
		}
	}
	return u.enqueue(p)
}

// awaitRoom waits until a piece is held.
func (u *unreadResponse) awaitRoom(ctx context.Context, p piece) error {
	stalled, start := u.stalled, time.Now()
	for !u.hold(p, false) {
		if u.stalled = stalled + time.Since(start); u.stalled >= maxStall {
			return errUnread
		}
		select {
		case <-u.released:
		case <-time.After(stallPollInterval):
		case <-ctx.Done():
			return errors.Mark(context.Cause(ctx), errCallerLost)
		}
		if err := u.writeError(); err != nil {
			return err
		}
	}
	u.stalled = stalled + time.Since(start)
	return nil
}

// enqueue hands pieces over to the writer, which are held already.
func (u *unreadResponse) enqueue(pieces ...piece) error {
	u.mu.Lock()
	u.pieces = append(u.pieces, pieces...)
	err := u.err
	u.mu.Unlock()
	if !u.started {
		u.started = true
		u.writer.Go(u.run)
	}
	signal(u.added)
	return err
}

// finish waits until the caller has been sent all that was added, and returns why that has
// failed, if it has. With abort, it does not wait for a caller that does not read. It must
// be called before the handler returns.
func (u *unreadResponse) finish(abort bool) error {
	u.mu.Lock()
	u.ended = true
	if abort {
		u.aborted = true
		_ = u.rc.SetWriteDeadline(time.Now())
	}
	u.mu.Unlock()
	signal(u.added)
	err := u.writer.Wait()
	u.drop()
	return err
}

func (u *unreadResponse) heldBytes() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.held
}

func (u *unreadResponse) writeError() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}

// run writes pieces until the response has ended or a write fails.
func (u *unreadResponse) run() error {
	for {
		u.mu.Lock()
		pieces, ended := u.pieces, u.ended
		u.pieces = nil
		u.mu.Unlock()
		if len(pieces) == 0 && ended {
			return nil
		}
		if len(pieces) == 0 {
			<-u.added
			continue
		}
		if err := u.write(pieces); err != nil {
			u.mu.Lock()
			u.err = err
			u.mu.Unlock()
			signal(u.released)
			return err
		}
	}
}

// write writes pieces to the caller and releases them one by one. It fails if the caller
// takes longer than maxWriteTime for one of them.
func (u *unreadResponse) write(pieces []piece) error {
	for i, p := range pieces {
		if !u.extendDeadline() {
			return errUnread
		}
		if _, err := u.w.Write(p.b); err != nil {
			return markWriteError(err)
		}
		u.mu.Lock()
		u.held -= p.size()
		u.backlog.Release(u.account, p.size())
		u.mu.Unlock()
		pieces[i].b = nil // It is no longer held.
		signal(u.released)
	}
	if !u.flush {
		return nil
	}
	if err := u.rc.Flush(); err != nil {
		return markWriteError(err)
	}
	for _, p := range pieces {
		eventForwardSeconds.UpdateDuration(p.receivedAt)
	}
	return nil
}

// extendDeadline allows the caller maxWriteTime from now, unless the response was aborted.
func (u *unreadResponse) extendDeadline() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.aborted {
		setWriteDeadline(u.rc)
	}
	return !u.aborted
}

// setWriteDeadline allows the caller maxWriteTime from now to accept what is written.
func setWriteDeadline(rc *http.ResponseController) {
	_ = rc.SetWriteDeadline(time.Now().Add(maxWriteTime)) // Without effect if there is no connection.
}

// markWriteError tells a caller that does not read from one that is gone.
func markWriteError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Mark(err, errUnread)
	}
	return errors.Mark(err, errCallerLost)
}

// signal signals a channel with room for one signal.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// finishResponse waits until the caller has been sent a response, of which err is why it has
// ended early, if it has. If the caller does not read it in time, the response is truncated.
func (c *call) finishResponse(u *unreadResponse, err error) {
	held := u.heldBytes()
	if writeErr := u.finish(errors.Is(err, errUnread)); writeErr != nil {
		c.truncated = true
		err = errors.CombineErrors(err, writeErr)
	}
	if err != nil {
		c.cause = err.Error()
	}
	if !errors.Is(err, errUnread) {
		return
	}
	unreadCutsTotal.Inc()
	c.gate.Log.Write(event.ResponseUnread, event.Fields{
		"request": c.id, "account": c.accountID(), "target": c.target, "heldBytes": held, "usedBytes": c.gate.Backlog.Used(), "tookMs": time.Since(c.start).Milliseconds(),
		"error": err.Error(),
	})
}
