package route

import (
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Slowness is the time that work takes on a target at one moment relative to the usual: 1
// as usual, 2 for twice the time. 0 means unknown.
type Slowness float64

// LoadReport is what a target reports about its load in a response.
type LoadReport struct {
	// HasLoad is set if Running and Waiting, the numbers of requests that run and wait, are
	// known. They are not negative.
	HasLoad          bool
	Running, Waiting int
	// HasSlots is set if Slots is known, the number of requests that the target runs
	// concurrently. It is not negative; 0 leaves it to the list of targets.
	HasSlots bool
	Slots    int
	// Slowness is the fourth figure, 0 if it is missing or ignored.
	Slowness Slowness
}

const (
	// maxReportedCount is the largest number of requests or slots that is believed in a
	// report with a fourth figure. A larger number of slots would attract all requests.
	maxReportedCount = 1 << 16
	// maxReportedPercent is the largest fourth figure that is believed, in percent of the
	// usual time. A target that is slower than that responds to no health check.
	maxReportedPercent = 10_000
)

// ParseLoadReport parses "running,waiting,slots" or "running,waiting,slots,percent", where
// the fourth figure is the time that work takes in percent of the usual. The error names
// the figures that are ignored; the other figures count. Of three figures, all count or
// none. Running and waiting requests count only together, since one alone would make the
// target look idle. An empty text is an empty report.
func ParseLoadReport(text string) (LoadReport, error) {
	if strings.TrimSpace(text) == "" {
		return LoadReport{}, nil
	}
	figures := strings.SplitN(text, ",", 6)
	switch {
	case len(figures) < 3:
		return LoadReport{}, errors.New("route: the load report has fewer than three figures")
	case len(figures) == 3:
		return parseThreeFigures(figures)
	}
	var ignored []string
	count := func(i int, name string) (n int, ok bool) {
		n, err := strconv.Atoi(strings.TrimSpace(figures[i]))
		if ok = err == nil && n >= 0 && n <= maxReportedCount; !ok {
			ignored = append(ignored, name)
		}
		return n, ok
	}
	var r LoadReport
	running, hasRunning := count(0, "running")
	waiting, hasWaiting := count(1, "waiting")
	if hasRunning && hasWaiting {
		r.HasLoad, r.Running, r.Waiting = true, running, waiting
	}
	if slots, ok := count(2, "slots"); ok {
		r.HasSlots, r.Slots = true, slots
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(figures[3]), 64)
	if err == nil && !math.IsNaN(percent) && percent >= 1 && percent <= maxReportedPercent {
		r.Slowness = Slowness(percent / 100)
	} else {
		ignored = append(ignored, "percent")
	}
	if len(figures) > 4 {
		ignored = append(ignored, "figures after the fourth")
	}
	if len(ignored) > 0 {
		return r, errors.Newf("route: ignored in the load report: %s", strings.Join(ignored, ", "))
	}
	return r, nil
}

// parseThreeFigures parses a report without a fourth figure.
func parseThreeFigures(figures []string) (LoadReport, error) {
	var n [3]int
	for i, figure := range figures {
		v, err := strconv.Atoi(strings.TrimSpace(figure))
		if err != nil || v < 0 {
			return LoadReport{}, errors.New("route: the load report is not three numbers of 0 or more")
		}
		n[i] = v
	}
	return LoadReport{HasLoad: true, Running: n[0], Waiting: n[1], HasSlots: true, Slots: n[2]}, nil
}
