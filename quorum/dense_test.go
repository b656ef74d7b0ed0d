package quorum_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
)

// item is a part of a command that takes far more memory than its shortest encoding.
type item struct {
	Numbers [64]uint64 `json:"numbers"`
}

// items is a state machine whose commands are lists.
type items struct{ applied chan int }

func (m *items) Apply(_ types.LogTime, command []item) int {
	m.applied <- len(command)
	return 0
}

func (m *items) Snapshot() []byte { return types.Encode([]item{}) }

func (m *items) Restore(b []byte) error {
	list, err := types.DecodeStored[[]item](b)
	m.applied <- len(list)
	return err
}

func (m *items) CheckMemory(b []byte) error { return types.CheckMemory[[]item](b) }

// TestDenseMessagesAreNotStored guards against commands and snapshots of other processes that are
// decoded only once they are stored, when they have to be applied whatever memory they take.
func TestDenseMessagesAreNotStored(t *testing.T) {
	const n = 1 << 20
	dense := append(binary.BigEndian.AppendUint32([]byte{0x9a}, n), bytes.Repeat([]byte{0xf6}, n)...)
	dir := t.TempDir()
	self, members := bootstrapOneOfThree(t, dir)
	m := &items{applied: make(chan int, 10)}
	r := &quorum.Replica[[]item, int]{Dir: dir, Host: "h0", Machine: m, Clock: types.NewClock(), Send: func(quorum.Message) {}}
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return r.Run(ctx) })
	defer func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	}()
	appendEntry := func(data []byte) {
		r.Deliver(quorum.Message{
			Kind: quorum.MsgAppend, From: "h1/x", To: self, Term: 1, Commit: 1, SentAt: 1,
			Entries: []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.KindCommand, Data: data}},
		})
	}
	appendEntry(dense)
	r.Deliver(quorum.Message{
		Kind: quorum.MsgSnapshot, From: "h1/x", To: self, Term: 1, Commit: 5, SentAt: 2,
		Snapshot: &quorum.Snapshot{Index: 5, Term: 1, Members: members, Data: dense},
	})
	appendEntry(types.Encode([]item{{}, {}}))
	select {
	case got := <-m.applied:
		if got != 2 {
			t.Errorf("a list of %d was applied, want the one of 2", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("the command that follows is not applied")
	}
}
