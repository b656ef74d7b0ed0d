package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
)

type traceCommand struct {
	Args struct {
		Request string   `positional-arg-name:"request" description:"Request ID, as sent by the caller"`
		Logs    []string `positional-arg-name:"log" description:"Log files of the hosts that the request may have reached; default: standard input"`
	} `positional-args:"true" required:"true"`
}

// Execute prints the log lines about a request in order of time. If the request
// was not served in full, it marks with ">" the line that determined the outcome.
func (c *traceCommand) Execute([]string) error {
	lines, err := c.find()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return errors.Newf("banyanspur: no log line about request %s: it did not reach these hosts, or log lines were dropped (banyanspur_event_dropped_lines_total)", c.Args.Request)
	}
	event.Sort(lines)
	decisive := event.DecisiveLine(lines)
	for i, l := range lines {
		mark := " "
		if i == decisive {
			mark = ">"
		}
		fmt.Println(mark, l)
	}
	if decisive < 0 {
		fmt.Println("  The request was served or is still in progress.")
	}
	return nil
}

// find returns the lines about the request from all logs, unsorted.
func (c *traceCommand) find() ([]event.Line, error) {
	if len(c.Args.Logs) == 0 {
		return event.FindRequest(os.Stdin, "stdin", c.Args.Request)
	}
	var all []event.Line
	for _, name := range c.Args.Logs {
		lines, err := c.findInFile(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func (c *traceCommand) findInFile(name string) ([]event.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "banyanspur: open log")
	}
	defer closeIgnoringError(file)
	source := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	return event.FindRequest(file, source, c.Args.Request)
}

// closeIgnoringError closes c, which was only read, so that an error has no
// consequence.
func closeIgnoringError(c io.Closer) { _ = c.Close() }
