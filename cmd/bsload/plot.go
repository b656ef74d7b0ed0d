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

var colours = []string{"#1b6ca8", "#e07a1f", "#3a9b4b", "#b0356b", "#777777", "#8a6d1d"}

// plot draws, for each shape, the share of programs that end in their time over
// the load, with a line for each way to choose.
func plot(rows []row) []byte {
	var shapes []string
	most := 0.0
	for _, r := range rows {
		if !slices.Contains(shapes, r.Shape) {
			shapes = append(shapes, r.Shape)
		}
		most = max(most, r.Load)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n",
		len(shapes)*(panelWidth+margin)+margin, panelHeight+3*margin)
	for i, s := range shapes {
		panel(&b, rows, s, margin+i*(panelWidth+margin), most)
	}
	for i, name := range names(rows) {
		x := margin + i*110
		fmt.Fprintf(&b, "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n", x, panelHeight+2*margin+20, colours[i%len(colours)], name)
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}

// panel draws one shape with its left edge at x.
func panel(b *bytes.Buffer, rows []row, shape string, x int, most float64) {
	fmt.Fprintf(b, "<text x=\"%d\" y=\"%d\">%s: programs in their time over load</text>\n", x, margin-12, shape)
	fmt.Fprintf(b, "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"none\" stroke=\"#ccc\"/>\n", x, margin, panelWidth, panelHeight)
	for _, share := range []float64{0, 0.5, 1} {
		fmt.Fprintf(b, "<text x=\"%d\" y=\"%.0f\" text-anchor=\"end\">%.0f%%</text>\n", x-4, height(share)+4, 100*share)
	}
	for i, name := range names(rows) {
		fmt.Fprintf(b, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"", colours[i%len(colours)])
		for _, r := range rows {
			if r.Shape == shape && r.Choose == name {
				fmt.Fprintf(b, "%.0f,%.0f ", float64(x)+r.Load/most*panelWidth, height(r.Result.InAim))
			}
		}
		b.WriteString("\"/>\n")
	}
	for _, r := range rows {
		if r.Shape == shape && r.Choose == rows[0].Choose {
			fmt.Fprintf(b, "<text x=\"%.0f\" y=\"%d\" text-anchor=\"middle\">%.0f%%</text>\n", float64(x)+r.Load/most*panelWidth, margin+panelHeight+14, 100*r.Load)
		}
	}
}

// height is where a share lies on a panel.
func height(share float64) float64 { return margin + (1-share)*panelHeight }
