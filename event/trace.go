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

// Line is a parsed line of a host's log.
type Line struct {
	// Source is the host or file from which the line was read.
	Source string
	Time   time.Time
	Number Number
	Text   string
	// Fields holds the remaining fields, including "request".
	Fields map[string]any
}

// Request returns the ID of the request that the line is about, or "".
func (l Line) Request() string {
	id, _ := l.Fields["request"].(string)
	return id
}

// FindRequest is [FindRequests] for a single request.
func FindRequest(r io.Reader, source, request string) ([]Line, error) {
	return FindRequests(r, source, func(id string) bool { return id == request })
}

// FindRequests reads a log from r and returns the events of the requests that wanted reports, in log
// order. Text before the JSON object of a line, such as the name of a host,
// becomes the line's Source; without such text, source is used. Lines that are
// not events are skipped.
func FindRequests(r io.Reader, source string, wanted func(request string) bool) ([]Line, error) {
	return find(r, source, func(line []byte) bool {
		_, rest, found := bytes.Cut(line, []byte(requestField))
		id, _, _ := bytes.Cut(rest, []byte(`"`))
		return found && (wanted(string(id)) || bytes.IndexByte(id, '\\') >= 0)
	}, func(l Line) bool { return wanted(l.Request()) })
}

// requestField precedes the ID of a request in a line of a log.
const requestField = `"request":"`

// FindProgram reads a log as [FindRequests] does and returns the events that name a program.
func FindProgram(r io.Reader, source, program string) ([]Line, error) {
	return find(r, source, func(line []byte) bool { return bytes.Contains(line, []byte(`"program":`)) },
		func(l Line) bool { return l.Fields["program"] == program })
}

// find returns the events for which wanted returns true. It parses the lines that may be among them.
func find(r io.Reader, source string, mayBeWanted func(line []byte) bool, wanted func(Line) bool) ([]Line, error) {
	var found []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !mayBeWanted(scanner.Bytes()) {
			continue
		}
		if l, ok := parseLine(scanner.Bytes(), source); ok && wanted(l) {
			found = append(found, l)
		}
	}
	return found, errors.Wrap(scanner.Err(), "event: read log")
}

// maxLineBytes is the maximum length of a log line that is read.
const maxLineBytes = 1 << 20

// parseLine parses a log line and reports whether it is an event.
func parseLine(line []byte, source string) (Line, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Source: source}
	if prefix := strings.TrimSpace(string(line[:start])); prefix != "" {
		l.Source = prefix
	}
	if err := json.Unmarshal(line[start:], &l.Fields); err != nil {
		return Line{}, false
	}
	number, _ := l.Fields["event"].(float64)
	l.Number = Number(number)
	l.Text, _ = l.Fields["msg"].(string)
	if timestamp, ok := l.Fields["time"].(string); ok {
		l.Time, _ = time.Parse(time.RFC3339Nano, timestamp) // Invalid times stay zero; Sort keeps the order of such lines.
	}
	for _, name := range []string{"event", "msg", "time", "level"} {
		delete(l.Fields, name)
	}
	return l, number > 0
}

// Sort sorts lines by time. Lines with equal times keep their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// DecisiveLine returns the index of the line that explains why a request failed,
// or -1 if no line does, as for a request that succeeded. The lines must be
// sorted.
func DecisiveLine(lines []Line) int {
	last := func(match func(Line) bool) int {
		for i, l := range slices.Backward(lines) {
			if match(l) {
				return i
			}
		}
		return -1
	}
	hasNumber := func(n Number) func(Line) bool { return func(l Line) bool { return l.Number == n } }
	refused := last(hasNumber(RequestRefused.Number))
	if refused >= 0 && lines[refused].Fields["sent"] != true {
		return refused
	}
	ended := last(hasNumber(RequestEnded.Number))
	if refused < 0 && (ended < 0 || lines[ended].Fields["broken"] != true) {
		return -1
	}
	notDurable := last(func(l Line) bool { return l.Number == TurnDurable.Number && l.Fields["error"] != nil })
	for _, i := range []int{notDurable, last(hasNumber(TargetFailed.Number)), refused} {
		if i >= 0 {
			return i
		}
	}
	return ended
}

// String formats the line for people: time of day, source, number, text and all
// fields but "request", sorted by name.
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
