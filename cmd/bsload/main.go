// Command bsload compares ways of choosing targets on virtual time.
//
// It plays the shapes of package trial at several loads and prints a table; on
// request it writes the figures as JSON and a plot as SVG.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/trial"
)

type options struct {
	Shapes   []string  `long:"shape" description:"deployment to play: small, wide or grown; may be repeated" default:"small" default:"wide"`
	Choosers []string  `long:"choose" description:"way to choose targets; may be repeated" default:"expected" default:"expectedOfAll" default:"leastLoaded" default:"sticky" default:"random"`
	Loads    []float64 `long:"load" description:"programs a second as a share of the shape's; may be repeated" default:"0.3" default:"0.8" default:"1.2" default:"1.5"`
	Seeds    int       `long:"seeds" description:"plays of each, which are averaged" default:"3"`
	Steady   bool      `long:"steady" description:"leave out the burst"`
	JSON     string    `long:"json" description:"file for the figures"`
	Plot     string    `long:"plot" description:"file for a plot of the programs that end in their time"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // The parser has said why.
	}
	if err := run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bsload:", err)
		os.Exit(1)
	}
}

// row is one line of the table: a shape, a load and a chooser.
type row struct {
	Shape  string       `json:"shape"`
	Load   float64      `json:"load"`
	Choose string       `json:"choose"`
	Result trial.Result `json:"result"`
}

func run(o options, w io.Writer) error {
	if findings := check(o); len(findings) > 0 {
		return errors.New(strings.Join(findings, "; "))
	}
	rows := play(o)
	fmt.Fprintln(w, "| shape | load | choice "+trial.Columns)
	fmt.Fprintln(w, "|"+strings.Repeat("---|", 3+strings.Count(trial.Columns, "|")-1))
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %.0f%% | %s %s\n", r.Shape, 100*r.Load, r.Choose, r.Result)
	}
	if o.JSON != "" {
		b, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.JSON, append(b, '\n'), 0o644); err != nil {
			return err
		}
	}
	if o.Plot != "" {
		return os.WriteFile(o.Plot, plot(rows), 0o644)
	}
	return nil
}

// check returns all settings that cannot be played.
func check(o options) (findings []string) {
	add := func(format string, args ...any) { findings = append(findings, fmt.Sprintf(format, args...)) }
	for _, s := range o.Shapes {
		if _, ok := trial.Shapes[s]; !ok {
			add("--shape %s: there is no such shape", s)
		}
	}
	for _, c := range o.Choosers {
		if trial.Choosers[c] == nil {
			add("--choose %s: there is no such choice", c)
		}
	}
	for _, l := range o.Loads {
		if l <= 0 || l > 10 {
			add("--load %v: must be above 0 and at most 10", l)
		}
	}
	if o.Seeds < 1 {
		add("--seeds %d: must be 1 or more", o.Seeds)
	}
	return findings
}

// maxPlays bounds how many plays run side by side.
const maxPlays = 4

func play(o options) []row {
	var rows []row
	for _, s := range o.Shapes {
		for _, l := range o.Loads {
			for _, c := range o.Choosers {
				rows = append(rows, row{Shape: s, Load: l, Choose: c})
			}
		}
	}
	var g errgroup.Group
	g.SetLimit(maxPlays)
	for i := range rows {
		g.Go(func() error {
			rows[i].Result = average(rows[i], o)
			return nil
		})
	}
	_ = g.Wait() // Plays do not fail.
	return rows
}

// average plays a row with several seeds.
func average(r row, o options) trial.Result {
	var results []trial.Result
	for seed := range o.Seeds {
		t := trial.Shapes[r.Shape]
		t.Choose, t.Seed = trial.Choosers[r.Choose], uint64(seed+1)
		t.Load.Programs *= r.Load
		if o.Steady {
			t.Load.Burst = 1
		}
		results = append(results, t.Run())
	}
	return trial.Mean(results)
}

// names returns the choosers of rows in the order in which they come.
func names(rows []row) []string {
	var list []string
	for _, r := range rows {
		if !slices.Contains(list, r.Choose) {
			list = append(list, r.Choose)
		}
	}
	return list
}
