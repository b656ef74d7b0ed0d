package event_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/event"
)

// Logs of two entry hosts. The caller's first attempt at request r1 was refused
// by entry-2; its second attempt went to entry-1 and failed at the target.
const (
	entry1Log = `{"event":101,"host":"entry-1","msg":"host started","time":"2026-01-02T10:00:00.000Z"}
{"event":406,"msg":"request sent to a target","request":"r1","target":"t7","time":"2026-01-02T10:00:01.500Z"}
{"event":501,"error":"reset","msg":"target failed during a call","request":"r1","time":"2026-01-02T10:00:01.700Z"}
{"event":405,"msg":"request refused","request":"r1","sent":true,"status":502,"time":"2026-01-02T10:00:01.701Z"}
{"event":407,"msg":"request ended","request":"r1","status":502,"time":"2026-01-02T10:00:01.702Z"}
not an event with r1 in it
`
	entry2Log = `entry-2 {"event":405,"msg":"request refused","reason":"the account is above its rate","request":"r1","sent":false,"status":429,"time":"2026-01-02T10:00:01.200Z"}
entry-2 {"event":406,"msg":"request sent to a target","request":"r12","time":"2026-01-02T10:00:01.100Z"}
`
)

// findAndSort returns the lines of request r1 in all logs, sorted by time.
func findAndSort(t *testing.T, logs map[string]string) []event.Line {
	t.Helper()
	var found []event.Line
	for name, text := range logs {
		lines, err := event.FindRequest(strings.NewReader(text), name, "r1")
		if err != nil {
			t.Fatal(err)
		}
		found = append(found, lines...)
	}
	event.Sort(found)
	return found
}

// TestTraceAcrossHosts checks that the lines of a request on two hosts are merged
// by time, and that the decisive line is the failure of the target.
func TestTraceAcrossHosts(t *testing.T) {
	lines := findAndSort(t, map[string]string{"one.log": entry1Log, "two.log": entry2Log})
	var got []string
	for _, l := range lines {
		got = append(got, l.String())
	}
	want := []string{
		"10:00:01.200 entry-2 405 request refused: reason=the account is above its rate sent=false status=429",
		"10:00:01.500 one.log 406 request sent to a target: target=t7",
		"10:00:01.700 one.log 501 target failed during a call: error=reset",
		"10:00:01.701 one.log 405 request refused: sent=true status=502",
		"10:00:01.702 one.log 407 request ended: status=502",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(2, event.DecisiveLine(lines)); diff != "" {
		t.Errorf("decisive line (-want +got):\n%s", diff)
	}
}

// TestDecisiveLines checks which line is decisive for each way a request can end.
func TestDecisiveLines(t *testing.T) {
	for name, c := range map[string]struct {
		log  string
		want int
	}{
		"refused": {entry2Log, 0},
		"served":  {`{"event":406,"request":"r1"}` + "\n" + `{"event":407,"request":"r1","status":200}`, -1},
		"turn not durable": {`{"event":406,"request":"r1"}` + "\n" + `{"event":408,"request":"r1","error":"no majority"}` + "\n" +
			`{"event":501,"request":"r1","error":"no majority"}` + "\n" + `{"event":407,"request":"r1","status":200,"broken":true}`, 1},
		"caller disconnected": {`{"event":406,"request":"r1"}` + "\n" + `{"event":407,"request":"r1","status":200,"broken":true}`, 1},
	} {
		if got := event.DecisiveLine(findAndSort(t, map[string]string{"a.log": c.log})); got != c.want {
			t.Errorf("%s: decisive line is %d, want %d", name, got, c.want)
		}
	}
}
