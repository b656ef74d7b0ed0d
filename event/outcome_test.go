package event_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/event"
)

// Logs of the tries of one turn of program p1, which have IDs of their own: refused for want of stores, refused for the
// budget, and answered. Another program's request is beside them.
const programLog = `{"event":405,"request":"r1","status":503,"sent":false,"tookMs":900,"reason":"cannot reserve","shard":14,"current":["store-1","store-2","store-3"],"lacking":[{"store":"s2","host":"store-2","reason":"noReply","waitedMs":900},{"store":"s1","host":"store-1","reason":"noConnection"}],"time":"2026-01-02T10:00:00.900Z"}
{"event":407,"request":"r1","program":"p1","previous":"t0","runs":0,"status":503,"tookMs":900,"cause":"cannot reserve","shard":14,"stores":["store-1","store-2","store-3"],"time":"2026-01-02T10:00:00.901Z"}
{"event":409,"request":"r2","program":"p1","reason":"40 used, not settled: 1 [r1]","time":"2026-01-02T10:00:01.300Z"}
{"event":405,"request":"r2","status":402,"sent":false,"tookMs":20,"reason":"the budget does not cover it","time":"2026-01-02T10:00:01.301Z"}
{"event":407,"request":"r2","program":"p1","previous":"t0","runs":0,"status":402,"tookMs":20,"cause":"the budget does not cover it","shard":14,"stores":["store-1"],"time":"2026-01-02T10:00:01.302Z"}
{"event":406,"request":"r3","target":"t7","answered":true,"time":"2026-01-02T10:00:02.000Z"}
{"event":407,"request":"r3","program":"p1","runs":1,"status":200,"tookMs":300,"time":"2026-01-02T10:00:02.300Z"}
{"event":407,"request":"r4","program":"p2","runs":1,"status":200,"tookMs":300,"time":"2026-01-02T10:00:02.300Z"}
`

// TestOutcomesOfProgram guards against tries of a turn that reached no target whose answers, reasons and stores
// cannot be read side by side, since each has an ID of its own.
func TestOutcomesOfProgram(t *testing.T) {
	named, err := event.FindProgram(strings.NewReader(programLog), "entry-1", "p1")
	if err != nil {
		t.Fatal(err)
	}
	ids := map[string]bool{}
	for _, l := range named {
		ids[l.Request()] = true
	}
	if diff := cmp.Diff(map[string]bool{"r1": true, "r2": true, "r3": true}, ids); diff != "" {
		t.Errorf("requests of the program (-want +got):\n%s", diff)
	}
	lines, err := event.FindRequests(strings.NewReader(programLog), "entry-1", func(id string) bool { return ids[id] })
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, o := range event.Outcomes(lines) {
		got = append(got, o.String())
	}
	want := []string{
		"10:00:00.900 entry-1 r1 (continues t0): 503 after 900ms, reached no target; cannot reserve; shard 14, current store-1 store-2 store-3; without a reply: store-1: noConnection; store-2: noReply",
		"10:00:01.300 entry-1 r2 (continues t0): 402 after 20ms, reached no target; 40 used, not settled: 1 [r1]; shard 14, stores store-1",
		"10:00:02.000 entry-1 r3: 200 after 300ms, reached t7",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}
