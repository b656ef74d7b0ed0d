package main

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
)

type traceCommand struct {
	Args struct {
		ID   string   `positional-arg-name:"id" description:"ID of a request or of a program, as sent by the caller"`
		Logs []string `positional-arg-name:"log" description:"Log files of the hosts that the requests may have reached; default: standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the log lines about a request in order of time. If the request
// was not served in full, it marks with ">" the line that determined the outcome.
// If the ID is that of a program, it prints the outcome of each of its requests, followed by
// the lines of those that were not served in full.
func (c *traceCommand) Execute([]string) error {
	logs, err := c.open()
	if err != nil {
		return err
	}
	lines, err := logs.find(func(r io.Reader, source string) ([]event.Line, error) { return event.FindRequest(r, source, c.Args.ID) })
	if err != nil {
		return err
	}
	if len(lines) > 0 {
		event.Sort(lines)
		printLines(os.Stdout, lines)
		return nil
	}
	if lines, err = logs.findProgram(c.Args.ID); err != nil {
		return err
	}
	if len(lines) == 0 {
		return errors.Newf("banyanspur: no log line about a request or a program %s: it did not reach these hosts, or log lines were dropped (banyanspur_event_dropped_lines_total)", c.Args.ID)
	}
	printProgram(os.Stdout, lines)
	return nil
}

// printLines prints the lines of one request.
func printLines(w io.Writer, lines []event.Line) {
	decisive := event.DecisiveLine(lines)
	for i, l := range lines {
		mark := " "
		if i == decisive {
			mark = ">"
		}
		fmt.Fprintln(w, mark, l)
	}
	if decisive < 0 {
		fmt.Fprintln(w, "  The request was served or is still in progress.")
	}
}

// printProgram prints the outcomes of the requests of a program.
func printProgram(w io.Writer, lines []event.Line) {
	for _, o := range event.Outcomes(lines) {
		fmt.Fprintln(w, o)
		if event.DecisiveLine(o.Lines()) >= 0 {
			printLines(w, o.Lines())
		}
	}
}

// logFiles are logs by the name of their source. They are read several times.
type logFiles map[string]func() (io.ReadCloser, error)

// open returns the logs that the command names.
func (c *traceCommand) open() (logFiles, error) {
	logs := logFiles{}
	if len(c.Args.Logs) == 0 {
		text, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, errors.Wrap(err, "banyanspur: read log")
		}
		logs["stdin"] = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(text)), nil }
	}
	for _, name := range c.Args.Logs {
		source := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
		if _, ok := logs[source]; ok {
			source = name // Files of the same name in several directories.
		}
		logs[source] = func() (io.ReadCloser, error) { return os.Open(name) }
	}
	return logs, nil
}

// find returns the lines that read returns of all logs, unsorted.
func (l logFiles) find(read func(r io.Reader, source string) ([]event.Line, error)) ([]event.Line, error) {
	var all []event.Line
	for _, source := range slices.Sorted(maps.Keys(l)) {
		file, err := l[source]()
		if err != nil {
			return nil, errors.Wrap(err, "banyanspur: open log")
		}
		lines, err := read(file, source)
		closeIgnoringError(file)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// findProgram returns all lines of the requests of a program. Only some of their lines name it.
func (l logFiles) findProgram(program string) ([]event.Line, error) {
	named, err := l.find(func(r io.Reader, source string) ([]event.Line, error) { return event.FindProgram(r, source, program) })
	if err != nil {
		return nil, err
	}
	requests := map[string]bool{}
	for _, line := range named {
		if id := line.Request(); id != "" {
			requests[id] = true
		}
	}
	return l.find(func(r io.Reader, source string) ([]event.Line, error) {
		return event.FindRequests(r, source, func(id string) bool { return requests[id] })
	})
}

// closeIgnoringError closes c, which was only read, so that an error has no
// consequence.
func closeIgnoringError(c io.Closer) { _ = c.Close() }
