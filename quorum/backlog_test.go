package quorum_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// TestCompactionKeepsLongBacklog guards against the loss of acknowledged entries by a crash
// while the log is compacted: a follower has acknowledged more entries that are not known to
// be committed than one frame takes, and its disk fails after the first frame of the new
// segment. After a restart it must still have all entries that it has acknowledged.
func TestCompactionKeepsLongBacklog(t *testing.T) {
	const entries, entryBytes, firstCommit = 24, 1 << 20, 20
	dir := t.TempDir()
	self, _ := bootstrapOneOfThree(t, dir)
	disk := &secondFrameFails{}
	f := startFollower(t, dir, store.Disk{Write: disk.write})
	appendEntry := func(i quorum.Index) quorum.Message {
		m := quorum.Message{Kind: quorum.MsgAppend, From: "h1/x", To: self, Term: 1, Index: i - 1, SentAt: types.Mono(i)}
		if i > 1 {
			m.LogTerm = 1
		}
		if i >= firstCommit { // From then on there is something to compact.
			m.Commit = 1
		}
		m.Entries = []quorum.Entry{{Index: i, Term: 1, Kind: quorum.KindCommand, Data: make([]byte, entryBytes)}}
		return m
	}
	acknowledged := quorum.Index(0)
	for i := quorum.Index(1); i <= entries; i++ {
		f.replica.Deliver(appendEntry(i))
		index, ok := f.waitForAck(i)
		if !ok {
			break
		}
		acknowledged = index
	}
	f.stop()
	t.Logf("%d entries were acknowledged; the disk failed: %v", acknowledged, disk.hasFailed())

	f = startFollower(t, dir, store.Disk{})
	defer f.stop()
	f.replica.Deliver(quorum.Message{Kind: quorum.MsgAppend, From: "h1/x", To: self, Term: 1, Index: acknowledged, LogTerm: 1, Commit: 1, SentAt: 100})
	if index, ok := f.waitForAck(acknowledged); !ok {
		t.Errorf("entry %d was acknowledged, but the log ends with entry %d after a restart", acknowledged, index)
	}
}

// follower is a replica whose leader is the test.
type follower struct {
	replica *quorum.Replica[[]byte, int]
	replies chan quorum.Message
	cancel  context.CancelFunc
	ended   chan struct{}
	group   errgroup.Group
}

func startFollower(t *testing.T, dir string, disk store.Disk) *follower {
	t.Helper()
	f := &follower{replies: make(chan quorum.Message, 1000), ended: make(chan struct{})}
	f.replica = &quorum.Replica[[]byte, int]{
		Dir: dir, Disk: disk, Host: "h0", Machine: &counter{}, Clock: types.NewClock(),
		Send: func(m quorum.Message) {
			if m.Kind == quorum.MsgAppendReply {
				f.replies <- m
			}
		},
	}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(context.Background())
	f.group.Go(func() error {
		defer close(f.ended)
		return f.replica.Run(ctx)
	})
	return f
}

// waitForAck waits until the follower acknowledges entry i. It returns false, and the index
// of the last reply, if the follower refuses it or ends.
func (f *follower) waitForAck(i quorum.Index) (quorum.Index, bool) {
	timeout := time.After(5 * time.Second)
	for {
		select {
		case m := <-f.replies:
			if !m.Refused && m.Index >= i {
				return m.Index, true
			}
			if m.Refused && m.RefusedIndex == i {
				return m.Index, false
			}
		case <-f.ended:
			return 0, false
		case <-timeout:
			return 0, false
		}
	}
}

func (f *follower) stop() {
	f.cancel()
	_ = f.group.Wait() // The disk may have failed.
}

// secondFrameFails is a disk that fails after the first large frame of a segment that follows
// the first segment.
type secondFrameFails struct {
	mu     sync.Mutex
	first  string // name of the first segment
	armed  bool
	failed bool
}

func (d *secondFrameFails) write(f *os.File, b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := filepath.Base(f.Name())
	if d.first == "" {
		d.first = name
	}
	if d.armed {
		d.failed = true
		return 0, errors.New("disk failed")
	}
	d.armed = name != d.first && len(b) > 8<<20
	return f.Write(b)
}

func (d *secondFrameFails) hasFailed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed
}

// bootstrapOneOfThree creates a replica of host h0 in dir, in a group with two others that do not run.
// It returns its ID and the members of the group.
func bootstrapOneOfThree(t *testing.T, dir string) (quorum.ReplicaID, quorum.Members) {
	t.Helper()
	self, err := quorum.LoadOrCreateID(dir, "h0")
	if err != nil {
		t.Fatal(err)
	}
	members := quorum.Members{Voters: []quorum.Member{{ID: self, Host: "h0"}, {ID: "h1/x", Host: "h1"}, {ID: "h2/x", Host: "h2"}}}
	if err := quorum.Bootstrap(dir, members); err != nil {
		t.Fatal(err)
	}
	return self, members
}
