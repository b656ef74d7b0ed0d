package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRunWritesTableJSONAndPlot(t *testing.T) {
	dir := t.TempDir()
	o := options{
		Scenarios: []string{"wide"}, Policies: []string{"expected", "random"}, Loads: []float64{0.2, 0.4}, Seeds: 1, Steady: true,
		JSON: filepath.Join(dir, "rows.json"), Plot: filepath.Join(dir, "plot.svg"),
	}
	var out bytes.Buffer
	if err := run(o, &out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 6 {
		t.Errorf("the table has %d lines:\n%s", lines, out.String())
	}
	b, err := os.ReadFile(o.JSON)
	if err != nil {
		t.Fatal(err)
	}
	var rows []row
	if err := json.Unmarshal(b, &rows); err != nil || len(rows) != 4 {
		t.Errorf("the JSON file has %d rows; error: %v", len(rows), err)
	}
	if b, err = os.ReadFile(o.Plot); err != nil || !bytes.HasPrefix(b, []byte("<svg")) {
		t.Errorf("the plot starts with %.20q; error: %v", b, err)
	}
}

func TestValidateReportsAllFindings(t *testing.T) {
	findings := validate(options{Scenarios: []string{"round"}, Policies: []string{"guess"}, Loads: []float64{0, 20}})
	if diff := cmp.Diff(5, len(findings)); diff != "" {
		t.Errorf("wrong number of findings %q (-want +got):\n%s", findings, diff)
	}
}
