package event_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/event"
)

// TestBoundedWriterNeverBlocks queues more lines than fit while Run is not running.
// Write must not block, and the lines that are kept must be the first ones.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	var out bytes.Buffer
	b := event.NewBoundedWriter(&out)
	const lines = 10000
	for i := range lines {
		if _, err := fmt.Fprintf(b, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := b.Run(ctx); err != nil {
		t.Fatal(err)
	}
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(got) < 1000 || len(got) >= lines {
		t.Fatalf("%d of %d lines were kept, want at least 1000 and not all", len(got), lines)
	}
	if diff := cmp.Diff(fmt.Sprint("line ", len(got)-1), got[len(got)-1]); diff != "" {
		t.Errorf("last line (-want +got):\n%s", diff)
	}
}

// TestUnreadLogHoldsUpNobody guards against callers and stops that wait for a reader of the log
// that reads no more, as of a pipe that is full.
func TestUnreadLogHoldsUpNobody(t *testing.T) {
	reader, writer := io.Pipe() // Nobody reads.
	log, stop := event.NewAsync(writer)
	start := time.Now()
	for range 10000 {
		log.Write(event.HostStarted, event.Fields{"host": "h"})
	}
	stop()
	if took := time.Since(start); took > 5*time.Second { // The documented second, and time for a busy machine.
		t.Errorf("10000 lines and the stop took %v", took)
	}
	_ = reader.Close()
}

// TestStopWritesQueuedLines guards against the loss of the last lines before a stop, which tell
// why it stopped.
func TestStopWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	log, stop := event.NewAsync(&out)
	for range 100 {
		log.Write(event.HostStopped, event.Fields{"host": "h"})
	}
	stop()
	if got := strings.Count(out.String(), "\n"); got != 100 {
		t.Errorf("%d of 100 lines were written", got)
	}
}
