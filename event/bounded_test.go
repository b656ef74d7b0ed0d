package event_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

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
