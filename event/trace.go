package event

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Line is one line of a host's log.
type Line struct {
	// Source names the host or file that the line comes from.
	Source string
	Time   time.Time
	Number Number
	Text   string
	// Fields holds the rest of the line.
	Fields map[string]any
}

// Find reads a log and returns the lines about a request, in their order. What
// stands before the JSON object of a line is taken for its source, and source
// otherwise. Lines that are no events are skipped.
func Find(r io.Reader, source, request string) ([]Line, error) {
	var found []Line
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxTraceLine)
	for in.Scan() {
		line := in.Bytes()
		if !bytes.Contains(line, []byte(request)) {
			continue
		}
		if l, ok := parseLine(line, source); ok && l.Fields["request"] == request {
			found = append(found, l)
		}
	}
	return found, errors.Wrap(in.Err(), "event: read log")
}

// maxTraceLine bounds a line of a log that is read back.
const maxTraceLine = 1 << 20

func parseLine(line []byte, source string) (Line, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Source: source}
	if before := strings.TrimSpace(string(line[:start])); before != "" {
		l.Source = before
	}
	if err := json.Unmarshal(line[start:], &l.Fields); err != nil {
		return Line{}, false
	}
	number, _ := l.Fields["event"].(float64)
	l.Number = Number(number)
	l.Text, _ = l.Fields["msg"].(string)
	if at, ok := l.Fields["time"].(string); ok {
		l.Time, _ = time.Parse(time.RFC3339Nano, at) // Without it, lines keep their order.
	}
	for _, name := range []string{"event", "msg", "time", "level"} {
		delete(l.Fields, name)
	}
	return l, number > 0
}

// Sort orders the lines of several hosts by their time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Decisive returns the index of the line that decided how a request ended, and
// -1 if none stands out: it was served. The lines must be sorted.
func Decisive(lines []Line) int {
	last := func(match func(Line) bool) int {
		for i, l := range slices.Backward(lines) {
			if match(l) {
				return i
			}
		}
		return -1
	}
	number := func(n Number) func(Line) bool { return func(l Line) bool { return l.Number == n } }
	refused := last(number(RequestRefused.Number))
	if refused >= 0 && lines[refused].Fields["sent"] != true {
		return refused
	}
	ended := last(number(RequestEnded.Number))
	if refused < 0 && (ended < 0 || lines[ended].Fields["broken"] != true) {
		return -1
	}
	lost := last(func(l Line) bool { return l.Number == TurnKept.Number && l.Fields["error"] != nil })
	for _, i := range []int{lost, last(number(TargetFailed.Number)), refused} {
		if i >= 0 {
			return i
		}
	}
	return ended
}

// String gives the line for reading: time, source, number, text and fields.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %d %s:", l.Time.Format("15:04:05.000"), l.Source, l.Number, l.Text)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "request" {
			fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
		}
	}
	return b.String()
}
