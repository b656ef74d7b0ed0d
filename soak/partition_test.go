package soak_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// partition cuts the connections of an entry host to all targets, as a network partition
// does. The mode is read from a file, so that the test changes it from outside.
type partition struct {
	file string
}

// The modes of a partition.
const (
	cutNone   = ""
	cutHang   = "hang"   // connections are silent, and new ones cannot be made
	cutReset  = "reset"  // connections are reset, and new ones refused
	cutRefuse = "refuse" // connections live on, and new ones are refused
)

const (
	// partitionPoll is how often a connection checks the mode.
	partitionPoll = 20 * time.Millisecond
	// hangTimeout is the time after which a connection that hangs breaks.
	hangTimeout = 2500 * time.Millisecond
)

func (h *testHost) partition() partition { return partition{file: filepath.Join(h.dir, "partition")} }

func (p partition) set(mode string) error { return os.WriteFile(p.file, []byte(mode), 0o600) }

func (p partition) mode() string {
	b, err := os.ReadFile(p.file)
	if err != nil {
		return cutNone // There was no cut yet.
	}
	return string(b)
}

// dial opens a connection that is subject to the partition.
func (p partition) dial(ctx context.Context, address string) (net.Conn, error) {
	switch p.mode() {
	case cutHang:
		<-ctx.Done()
		return nil, errors.Wrap(os.ErrDeadlineExceeded, "partition")
	case cutReset, cutRefuse:
		return nil, errors.Wrap(syscall.ECONNREFUSED, "partition")
	}
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	cut := &cutConn{TCPConn: c.(*net.TCPConn), partition: p, closed: make(chan struct{})}
	go cut.watch()
	return cut, nil
}

// cutConn is a connection that is subject to a partition.
type cutConn struct {
	*net.TCPConn
	partition partition
	hanging   atomic.Bool
	isClosed  atomic.Bool
	closed    chan struct{}
}

// watch breaks the connection if the partition resets it, or once it has been hanging for
// hangTimeout.
func (c *cutConn) watch() {
	var hangingSince time.Time
	for {
		select {
		case <-c.closed:
			return
		case <-time.After(partitionPoll):
		}
		switch mode := c.partition.mode(); {
		case mode == cutReset:
			_ = c.Close()
		case mode == cutHang && hangingSince.IsZero():
			hangingSince = time.Now()
			c.hanging.Store(true)
		case !hangingSince.IsZero() && (mode != cutHang || time.Since(hangingSince) > hangTimeout):
			_ = c.Close()
		}
	}
}

// Read reads from the connection, and waits while it hangs.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if !c.hanging.Load() {
		return n, err
	}
	<-c.closed
	return 0, syscall.ETIMEDOUT
}

// Write writes to the connection, and discards what is written while it hangs.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.hanging.Load() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection.
func (c *cutConn) Close() error {
	if c.isClosed.CompareAndSwap(false, true) {
		close(c.closed)
	}
	return c.TCPConn.Close()
}

const (
	// minServedRatio is the least ratio of the parts of first attempts that are served by
	// hosts that are cut off from all targets and by the others.
	minServedRatio = 2.0 / 3
	// cutTime is how long hosts are cut off. From contactTime on, callers must be served.
	cutTime = contactTime + 4*time.Second
)

// TestHostsWithoutPathToTargetsServe guards against callers of entry hosts that cannot
// reach any target being refused although other entry hosts can: two of three hosts are
// cut off from all targets, in each of the ways in which a connection can fail. Limits of
// accounts and targets, budgets and the order of turns hold whichever way a request takes,
// nothing runs twice, and no request is blamed for targets that seem to have ended.
func TestHostsWithoutPathToTargetsServe(t *testing.T) {
	for i, mode := range []string{cutHang, cutReset, cutRefuse} {
		t.Run(mode, func(t *testing.T) {
			const targetLimit = 4
			limited := []string{"t1"}
			c, tg := startServing(t, 20+uint64(i), 4, 3)
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			for i := range uint64(2 * concurrentPrograms) {
				g.Go(func() error { c.runPrograms(ctx, 700+i); return nil })
			}
			g.Go(func() error { c.exceedRateLimit(ctx, 7); return nil })
			namedAt := tg.setLimits(limited, targetLimit)
			time.Sleep(2 * time.Second)
			cutAt := time.Now()
			c.fleet.cutOff(c.fleet.hosts[6:8], mode)
			time.Sleep(cutTime)
			healedAt := time.Now()
			c.fleet.cutOff(c.fleet.hosts[6:8], cutNone)
			time.Sleep(2 * time.Second)
			cancel()
			_ = g.Wait() // The goroutines always return nil.
			checkServedAlike(t, c, c.fleet.hosts[6:8], cutAt.Add(contactTime), healedAt)
			checkTargetLimits(t, tg, limited, targetLimit, namedAt)
			checkRateLimit(t, tg)
			checkRuns(t, c, tg)
			checkPrompts(t, c, tg)
			checkBudgets(t, c)
			checkNotBlamed(t, c)
		})
	}
}

// cutOff sets the mode of the partition between some hosts and all targets.
func (f *fleet) cutOff(hosts []*testHost, mode string) {
	for _, h := range hosts {
		if err := h.partition().set(mode); err != nil {
			f.t.Error(err)
		}
	}
}

// checkServedAlike checks that requests which were sent between two times to the given
// hosts were served at least minServedRatio times as often as those sent to the others.
func checkServedAlike(t *testing.T, c *callers, cut []*testHost, from, until time.Time) {
	t.Helper()
	isCut := map[string]bool{}
	for _, h := range cut {
		isCut[h.name] = true
	}
	var served, sent [2]int
	for _, a := range c.attempts {
		if a.account != unlimitedAccount || a.sentAt.Before(from) || a.sentAt.After(until) || a.status == 402 {
			continue
		}
		side := 0
		if isCut[a.entry] {
			side = 1
		}
		sent[side]++
		if a.status == 200 && a.complete {
			served[side]++
		}
	}
	t.Logf("hosts cut off from all targets served %d of %d requests, the others %d of %d", served[1], sent[1], served[0], sent[0])
	if sent[0] == 0 || sent[1] == 0 || served[0] == 0 {
		t.Fatal("nothing was tested")
	}
	ratio := float64(served[1]) / float64(sent[1]) / (float64(served[0]) / float64(sent[0]))
	if ratio < minServedRatio {
		t.Errorf("hosts cut off from all targets served %.2f times as many of their requests as the others, want at least %.2f", ratio, minServedRatio)
	}
}
