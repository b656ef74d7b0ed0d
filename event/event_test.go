package event_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/event"
)

// TestCatalog checks that the catalog is ordered by number and that
// docs/EVENTS.md lists the same events with the same levels and texts.
func TestCatalog(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want, got []string
	previous := event.Number(0)
	for _, k := range event.Catalog() {
		if k.Number <= previous {
			t.Errorf("event %d follows event %d", k.Number, previous)
		}
		previous = k.Number
		want = append(want, fmt.Sprintf("| %d | %s | %s |", k.Number, k.Level, k.Text))
	}
	for _, line := range strings.Split(string(page), "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 4 && strings.TrimSpace(cells[1]) != "number" && !strings.HasPrefix(cells[1], "-") {
			got = append(got, strings.Join(cells[:4], "|")+"|")
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-code +docs/EVENTS.md):\n%s", diff)
	}
}

// Example writes an event to a buffer.
func Example() {
	var b bytes.Buffer
	log := event.New(&b)
	log.Write(event.HostStarted, event.Fields{"host": "entry-a"})
	fmt.Println(strings.Contains(b.String(), `"event":101`))
	// Output: true
}
