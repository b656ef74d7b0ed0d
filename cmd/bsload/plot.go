package main

import (
	"bytes"
	"fmt"
	"slices"
)

const (
	panelWidth, panelHeight = 320, 220
	margin                  = 40
)

var colors = []string{"#1b6ca8", "#e07a1f", "#3a9b4b", "#b0356b", "#777777", "#8a6d1d"}

// plot returns an SVG with one panel per scenario. Each panel shows the share of
// programs that met their deadline as a function of the load, with one line per
// policy.
func plot(rows []row) []byte {
	var scenarios []string
	maxLoad := 0.0
	for _, r := range rows {
		if !slices.Contains(scenarios, r.Scenario) {
			scenarios = append(scenarios, r.Scenario)
		}
		maxLoad = max(maxLoad, r.Load)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n",
		len(scenarios)*(panelWidth+margin)+margin, panelHeight+3*margin)
	for i, s := range scenarios {
		drawPanel(&b, rows, s, margin+i*(panelWidth+margin), maxLoad)
	}
	for i, name := range policyNames(rows) {
		x := margin + i*110
		fmt.Fprintf(&b, "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n", x, panelHeight+2*margin+20, colors[i%len(colors)], name)
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}

// drawPanel draws the panel of one scenario with its left edge at x.
func drawPanel(b *bytes.Buffer, rows []row, scenario string, x int, maxLoad float64) {
	fmt.Fprintf(b, "<text x=\"%d\" y=\"%d\">%s: share of programs on time, by load</text>\n", x, margin-12, scenario)
	fmt.Fprintf(b, "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"none\" stroke=\"#ccc\"/>\n", x, margin, panelWidth, panelHeight)
	for _, share := range []float64{0, 0.5, 1} {
		fmt.Fprintf(b, "<text x=\"%d\" y=\"%.0f\" text-anchor=\"end\">%.0f%%</text>\n", x-4, plotY(share)+4, 100*share)
	}
	for i, name := range policyNames(rows) {
		fmt.Fprintf(b, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"", colors[i%len(colors)])
		for _, r := range rows {
			if r.Scenario == scenario && r.Policy == name {
				fmt.Fprintf(b, "%.0f,%.0f ", float64(x)+r.Load/maxLoad*panelWidth, plotY(r.Result.OnTime))
			}
		}
		b.WriteString("\"/>\n")
	}
	for _, r := range rows {
		if r.Scenario == scenario && r.Policy == rows[0].Policy {
			fmt.Fprintf(b, "<text x=\"%.0f\" y=\"%d\" text-anchor=\"middle\">%.0f%%</text>\n", float64(x)+r.Load/maxLoad*panelWidth, margin+panelHeight+14, 100*r.Load)
		}
	}
}

// plotY returns the y coordinate of a share (0 to 1) in a panel.
func plotY(share float64) float64 { return margin + (1-share)*panelHeight }
