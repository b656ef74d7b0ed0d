// Command bsload compares target-selection policies in virtual time.
//
// It simulates the scenarios of package trial at several loads and prints a
// Markdown table of the results. Optionally it writes them as JSON, and a plot as
// SVG.
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
	Scenarios []string  `long:"shape" description:"scenario to simulate: small, wide, grown, uneven or calls; may be repeated" default:"small" default:"wide"`
	Policies  []string  `long:"choose" description:"target-selection policy; may be repeated" default:"expected" default:"expectedOfAll" default:"leastLoaded" default:"sticky" default:"random"`
	Hints     []string  `long:"hints" description:"what hosts learn about engines, instead of what the scenario has; may be repeated"`
	Loads     []float64 `long:"load" description:"program rate, as a factor on the scenario's rate; may be repeated" default:"0.3" default:"0.8" default:"1.2" default:"1.5"`
	Seeds     int       `long:"seeds" description:"simulations per row of the table, each with its own seed; the row is their mean" default:"3"`
	Steady    bool      `long:"steady" description:"simulate without the burst"`
	JSON      string    `long:"json" description:"output file for the results in JSON"`
	Plot      string    `long:"plot" description:"output file for an SVG plot of the share of programs that meet their deadline"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // The parser has already printed the error.
	}
	if err := run(o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bsload:", err)
		os.Exit(1)
	}
}

// row is one row of the table: the result of a scenario, load and policy.
type row struct {
	Scenario string       `json:"shape"`
	Load     float64      `json:"load"`
	Policy   string       `json:"choose"`
	Hints    string       `json:"hints,omitempty"`
	Result   trial.Result `json:"result"`
	// OnTime is the fraction of programs that met their deadline with each seed.
	OnTime []float64 `json:"inAimBySeed"`
}

func run(o options, w io.Writer) error {
	if findings := validate(o); len(findings) > 0 {
		return errors.New(strings.Join(findings, "; "))
	}
	rows := simulate(o)
	fmt.Fprintln(w, "| shape | load | choice "+trial.Columns)
	fmt.Fprintln(w, "|"+strings.Repeat("---|", 3+strings.Count(trial.Columns, "|")-1))
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %.0f%% | %s %s\n", r.Scenario, 100*r.Load, strings.TrimSpace(r.Policy+" "+r.Hints), r.Result)
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

// validate returns a message for each invalid option.
func validate(o options) (findings []string) {
	add := func(format string, args ...any) { findings = append(findings, fmt.Sprintf(format, args...)) }
	for _, s := range o.Scenarios {
		if _, ok := trial.Scenarios[s]; !ok {
			add("--shape %s: unknown scenario", s)
		}
	}
	for _, p := range o.Policies {
		if trial.Policies[p] == nil {
			add("--choose %s: unknown policy", p)
		}
	}
	for _, h := range o.Hints {
		if _, ok := trial.HintSets[h]; !ok {
			add("--hints %s: unknown set of hints", h)
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

// maxConcurrent is the maximum number of rows that are simulated concurrently.
const maxConcurrent = 4

// simulate returns one row for each combination of scenario, load and policy.
func simulate(o options) []row {
	var rows []row
	for _, s := range o.Scenarios {
		for _, l := range o.Loads {
			for _, p := range o.Policies {
				if len(o.Hints) == 0 {
					rows = append(rows, row{Scenario: s, Load: l, Policy: p})
				}
				for _, h := range o.Hints {
					rows = append(rows, row{Scenario: s, Load: l, Policy: p, Hints: h})
				}
			}
		}
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrent)
	for i := range rows {
		g.Go(func() error {
			rows[i].Result, rows[i].OnTime = meanResult(rows[i], o)
			return nil
		})
	}
	_ = g.Wait() // Simulations return no errors.
	return rows
}

// meanResult simulates a row once with each of the seeds 1 to o.Seeds and returns
// the mean of the results, and the fraction of programs on time with each seed.
func meanResult(r row, o options) (mean trial.Result, onTime []float64) {
	var results []trial.Result
	for seed := range o.Seeds {
		t := trial.Scenarios[r.Scenario]
		t.Policy, t.Seed = trial.Policies[r.Policy], uint64(seed+1)
		t.Workload.ProgramRate *= r.Load
		if r.Hints != "" {
			t.Hints = trial.HintSets[r.Hints]
		}
		if o.Steady {
			t.Workload.BurstFactor = 1
		}
		result := t.Run()
		results, onTime = append(results, result), append(onTime, result.OnTime)
	}
	return trial.Mean(results), onTime
}

// policyNames returns the distinct policies of rows in order of first appearance.
func policyNames(rows []row) []string {
	var names []string
	for _, r := range rows {
		if !slices.Contains(names, r.Policy) {
			names = append(names, r.Policy)
		}
	}
	return names
}
