package route_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/route"
)

// TestLoadReportFigures guards against a report that is discarded whole since one of its
// figures cannot be believed, and against such a figure that counts: a target that reports
// a million slots or no time for its work would get all requests. Three figures count all or
// not at all.
func TestLoadReportFigures(t *testing.T) {
	report := func(running, waiting, slots int, s route.Slowness) route.LoadReport {
		return route.LoadReport{HasLoad: true, Running: running, Waiting: waiting, HasSlots: true, Slots: slots, Slowness: s}
	}
	onlySlots := route.LoadReport{HasSlots: true, Slots: 16, Slowness: 1}
	noSlots := report(3, 4, 0, 1)
	noSlots.HasSlots = false
	for text, want := range map[string]struct {
		route.LoadReport
		ignored bool
	}{
		"":                       {},
		"3,4,16":                 {LoadReport: report(3, 4, 16, 0)},
		" 3, 4 ,16":              {LoadReport: report(3, 4, 16, 0)},
		"3,4,2000000":            {LoadReport: report(3, 4, 2000000, 0)},
		"3,4,16,100":             {LoadReport: report(3, 4, 16, 1)},
		"3,4,16,250":             {LoadReport: report(3, 4, 16, 2.5)},
		"3,4,16,62.5":            {LoadReport: report(3, 4, 16, 0.625)},
		"3,-4,16":                {ignored: true},
		"3,x,16":                 {ignored: true},
		"3,4":                    {ignored: true},
		"idle":                   {ignored: true},
		"3,4,16,":                {LoadReport: report(3, 4, 16, 0), ignored: true},
		"3,4,16,0":               {LoadReport: report(3, 4, 16, 0), ignored: true},
		"3,4,16,-5":              {LoadReport: report(3, 4, 16, 0), ignored: true},
		"3,4,16,NaN":             {LoadReport: report(3, 4, 16, 0), ignored: true},
		"3,4,16,1e300":           {LoadReport: report(3, 4, 16, 0), ignored: true},
		"3,4,16,250,7":           {LoadReport: report(3, 4, 16, 2.5), ignored: true},
		"3,4,16,250,,,,,":        {LoadReport: report(3, 4, 16, 2.5), ignored: true},
		"-3,4,16,100":            {LoadReport: onlySlots, ignored: true},
		"3,99999999999,16,100":   {LoadReport: onlySlots, ignored: true},
		"3,4,99999999999999,100": {LoadReport: noSlots, ignored: true},
	} {
		got, err := route.ParseLoadReport(text)
		if diff := cmp.Diff(want.LoadReport, got); diff != "" {
			t.Errorf("report %q (-want +got):\n%s", text, diff)
		}
		if diff := cmp.Diff(want.ignored, err != nil); diff != "" {
			t.Errorf("report %q, whether figures are ignored, %v (-want +got):\n%s", text, err, diff)
		}
	}
}
