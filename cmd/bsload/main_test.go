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

func TestTableFiguresAndPlot(t *testing.T) {
	dir := t.TempDir()
	o := options{
		Shapes: []string{"wide"}, Choosers: []string{"expected", "random"}, Loads: []float64{0.2, 0.4}, Seeds: 1, Steady: true,
		JSON: filepath.Join(dir, "rows.json"), Plot: filepath.Join(dir, "plot.svg"),
	}
	var out bytes.Buffer
	if err := run(o, &out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 6 {
		t.Errorf("%d lines:\n%s", lines, out.String())
	}
	b, err := os.ReadFile(o.JSON)
	if err != nil {
		t.Fatal(err)
	}
	var rows []row
	if err := json.Unmarshal(b, &rows); err != nil || len(rows) != 4 {
		t.Errorf("%d rows, %v", len(rows), err)
	}
	if b, err = os.ReadFile(o.Plot); err != nil || !bytes.HasPrefix(b, []byte("<svg")) {
		t.Errorf("plot begins with %.20q, %v", b, err)
	}
}

func TestAllFindingsAreReported(t *testing.T) {
	findings := check(options{Shapes: []string{"round"}, Choosers: []string{"guess"}, Loads: []float64{0, 20}})
	if diff := cmp.Diff(5, len(findings)); diff != "" {
		t.Errorf("findings %q (-want +got):\n%s", findings, diff)
	}
}
