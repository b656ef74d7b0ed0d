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
		Request string   `positional-arg-name:"request" description:"Id of the request, as its caller sent it"`
		Logs    []string `positional-arg-name:"log" description:"Logs of the hosts that it may have reached; standard input if there is none"`
	} `positional-args:"true" required:"true"`
}

// Execute prints what all logs say of a request, with the line that decided how
// it ended marked.
func (c *traceCommand) Execute([]string) error {
	lines, err := c.find()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return errors.Newf("banyanspur: no log has request %s: it did not reach these hosts, or lines were dropped (banyanspur_event_dropped_lines_total)", c.Args.Request)
	}
	event.Sort(lines)
	decisive := event.Decisive(lines)
	for i, l := range lines {
		mark := " "
		if i == decisive {
			mark = ">"
		}
		fmt.Println(mark, l)
	}
	if decisive < 0 {
		fmt.Println("  The request was served, or is under way.")
	}
	return nil
}

func (c *traceCommand) find() ([]event.Line, error) {
	if len(c.Args.Logs) == 0 {
		return event.Find(os.Stdin, "stdin", c.Args.Request)
	}
	var all []event.Line
	for _, name := range c.Args.Logs {
		lines, err := c.findIn(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func (c *traceCommand) findIn(name string) ([]event.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "banyanspur: open log")
	}
	defer closeQuietly(file)
	source := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	return event.Find(file, source, c.Args.Request)
}

// closeQuietly closes what has only been read.
func closeQuietly(c io.Closer) { _ = c.Close() }
