package quorum_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
)

// lockedBuffer is a buffer for the log of a replica that runs.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// line returns the first line that contains text, or "".
func (l *lockedBuffer) line(text string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.b.String()) {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

// TestElectionOutcome guards against events that tell an operator that an election was undecided
// though another replica was elected, or that a newer term was heard of though the replica itself
// has begun it.
func TestElectionOutcome(t *testing.T) {
	tests := []struct {
		outcome string
		// end returns the message that ends the candidacy in term 1.
		end quorum.Message
	}{
		{"lost", quorum.Message{Kind: quorum.MsgAppend, Term: 1, SentAt: 1}},
		{"undecided", quorum.Message{Kind: quorum.MsgPreVoteReply, Term: 2}},
		{"superseded", quorum.Message{Kind: quorum.MsgAppend, Term: 2, SentAt: 1}},
	}
	for _, test := range tests {
		t.Run(test.outcome, func(t *testing.T) {
			dir := t.TempDir()
			self, _ := bootstrapOneOfThree(t, dir)
			var log lockedBuffer
			sent := make(chan quorum.Message, 1000)
			r := &quorum.Replica[[]byte, int]{
				Dir: dir, Host: "h0", Machine: &counter{}, Clock: types.NewClock(), Log: event.New(&log),
				Send: func(m quorum.Message) { sent <- m },
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var g errgroup.Group
			g.Go(func() error { return r.Run(ctx) })
			deliver := func(m quorum.Message) {
				m.From, m.To = "h1/x", self
				r.Deliver(m)
			}
			for asked := quorum.Term(0); log.line("election has ended") == "" && ctx.Err() == nil; {
				select {
				case m := <-sent:
					switch {
					case m.Kind == quorum.MsgPreVote && !m.Cold && m.Term == 1:
						deliver(quorum.Message{Kind: quorum.MsgPreVoteReply, Term: 1})
					case m.Kind == quorum.MsgVote && m.Term == 1 || m.Kind == quorum.MsgPreVote && !m.Cold && m.Term > asked:
						asked = m.Term
						deliver(test.end)
					}
				case <-time.After(10 * time.Millisecond):
				}
			}
			if line := log.line("election has ended"); !strings.Contains(line, `"outcome":"`+test.outcome+`"`) {
				t.Errorf("want the outcome %s: %q", test.outcome, line)
			}
			cancel()
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}
