package trial

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/banyanspur/banyanspur/route"
)

// Uneven describes how engines and zones differ. The zero value means that all are equal.
type Uneven struct {
	// Speeds are the steady speeds of engines relative to the usual, in turn.
	Speeds []float64
	// NoisyShare is the share of engines that are slower by NoiseFactor at any time, each
	// for NoiseTime.
	NoisyShare, NoiseFactor float64
	NoiseTime               time.Duration
	// ZoneAmplitude is the share by which the rate of each zone rises and falls in turn,
	// with the period ZonePeriod.
	ZoneAmplitude float64
	ZonePeriod    time.Duration
	// ReportsSpeed is set if the slowness that engines report includes their steady speed.
	ReportsSpeed bool
}

// Hints are what hosts learn about engines besides the numbers of requests in flight.
type Hints struct {
	// Reports is set if the load reports of engines count.
	Reports bool
	// Slowness is set if the slowness in the reports to this host counts, and
	// SharedSlowness if that in the reports to others does.
	Slowness, SharedSlowness bool
	// MeanSlowness is set if the mean of the reported slowness counts.
	MeanSlowness bool
	// Pace is set if engines that are 1.6 times slower than the median by their tokens
	// count as slow, and FinePace if all differences count.
	Pace, FinePace bool
}

// HintSets maps names to hints. "none" is what hosts had when they ignored reports with a
// fourth figure.
var HintSets = map[string]Hints{
	"reports":           {Reports: true},
	"none":              {Pace: true},
	"ownReports":        {Pace: true, Reports: true},
	"slowness":          {Pace: true, Slowness: true},
	"shared":            {Pace: true, Slowness: true, SharedSlowness: true},
	"mean":              {Pace: true, MeanSlowness: true},
	"finePace":          {FinePace: true},
	"own+slowness":      {Pace: true, Reports: true, Slowness: true},
	"own+shared":        {Pace: true, Reports: true, Slowness: true, SharedSlowness: true},
	"own+slowness+fine": {FinePace: true, Reports: true, Slowness: true},
	"own+fine":          {FinePace: true, Reports: true},
	"slowness+fine":     {FinePace: true, Slowness: true},
	"slowness+mean":     {Pace: true, Slowness: true, MeanSlowness: true},
	"shared+mean":       {Pace: true, Slowness: true, SharedSlowness: true, MeanSlowness: true},
	"own+slowness+mean": {Pace: true, Reports: true, Slowness: true, MeanSlowness: true},
	"own+shared+mean":   {Pace: true, Reports: true, Slowness: true, SharedSlowness: true, MeanSlowness: true},
}

// speedView is what a host knows about the speed of an engine.
type speedView struct {
	slowness       route.Slowness // last reported
	slownessAt     time.Duration
	mean           float64 // moving average of the reported slowness of this host; 0 if unknown
	othersMean     float64 // of all hosts, at the last exchange
	stepTime       float64 // seconds per token of the last turns of this host; 0 if unknown
	stepTimeAt     time.Duration
	othersStepTime float64 // of all hosts, at the last exchange
}

const (
	stepTimeTTL     = 6 * time.Second
	turnWeight      = 0.95 // of one turn's events together in the moving average
	slownessWeight  = 0.1  // of one report in the mean
	minMeanSlowness = 0.8
	maxMeanSlowness = 3
)

func (u Uneven) speed(i int) float64 {
	if len(u.Speeds) == 0 {
		return 1
	}
	return u.Speeds[i%len(u.Speeds)]
}

// startNoise slows engines down at random, each with its own phase.
func (s *simulation) startNoise() {
	u := s.Uneven
	if u.NoisyShare == 0 {
		return
	}
	for i, e := range s.engines {
		noise := rand.New(rand.NewPCG(s.Seed, uint64(1_000_000+i)))
		var change func()
		change = func() {
			e.noise = 1
			if noise.Float64() < u.NoisyShare {
				e.noise = u.NoiseFactor
			}
			if s.now < s.ArrivalPeriod {
				s.schedule(s.now+u.NoiseTime, change)
			}
		}
		s.schedule(time.Duration(float64(i)/float64(len(s.engines))*float64(u.NoiseTime)), change)
	}
}

// drawHost draws the host of a new program by the current rates of the zones.
func (s *simulation) drawHost() *host {
	for {
		h := s.hosts[s.arrivals.IntN(len(s.hosts))]
		if s.Uneven.ZoneAmplitude == 0 {
			return h
		}
		phase := 2 * math.Pi * (s.now.Seconds()/s.Uneven.ZonePeriod.Seconds() + float64(h.zone)/float64(s.Zones))
		if s.arrivals.Float64()*(1+s.Uneven.ZoneAmplitude) < 1+s.Uneven.ZoneAmplitude*math.Sin(phase) {
			return h
		}
	}
}

// reportHeads passes the engine's load report to the hosts of turns with a first token.
func (s *simulation) reportHeads(e *engine, finished []*turn) {
	if !s.ReportsAtHead {
		return
	}
	for _, turns := range [][]*turn{e.running, finished} {
		for _, t := range turns {
			if t.generated > 0 && !t.reported {
				t.reported = true
				t.host.report(e)
			}
		}
	}
}

// report updates the host's view with a load report.
func (h *host) report(e *engine) {
	for i := range h.engines {
		if h.engines[i] != e {
			continue
		}
		v := &h.views[i]
		v.reportedLoad, v.inFlightAtReport, v.reportedAt = e.load(), v.inFlight, h.now
		slowness := e.noise
		if h.Uneven.ReportsSpeed {
			slowness *= e.slowdown
		}
		v.speed.slowness, v.speed.slownessAt = route.Slowness(slowness), h.now
		if v.speed.mean == 0 {
			v.speed.mean = slowness
		}
		v.speed.mean += slownessWeight * (slowness - v.speed.mean)
		h.lastSlowness[i] = v.speed
	}
}

// exchangeSpeed updates the view of engine i with what all hosts know of its speed.
func (h *host) exchangeSpeed(i int) {
	v := &h.views[i].speed
	steps, stepHosts, means, meanHosts := 0.0, 0.0, 0.0, 0.0
	for _, other := range h.hosts {
		o := &other.views[i].speed
		if o.stepTime > 0 && h.now-o.stepTimeAt < stepTimeTTL {
			steps, stepHosts = steps+o.stepTime, stepHosts+1
		}
		if o.mean > 0 {
			means, meanHosts = means+o.mean, meanHosts+1
		}
	}
	v.othersStepTime, v.othersMean = steps/max(1, stepHosts), means/max(1, meanHosts)
	// Others have sent their reports half an interval ago on average.
	last := h.lastSlowness[i]
	if at := last.slownessAt; h.Hints.SharedSlowness && last.slowness > 0 && at > v.slownessAt && h.now-at > h.ExchangeInterval/2 {
		v.slowness, v.slownessAt = last.slowness, at
	}
}

// recordStepTime records the time per token of a turn that has ended.
func (h *host) recordStepTime(v *engineView, t *turn) {
	took := (h.now - t.firstTokenAt).Seconds() / float64(t.answerTokens)
	if v.speed.stepTime == 0 || h.now-v.speed.stepTimeAt > stepTimeTTL {
		v.speed.stepTime = took
	}
	v.speed.stepTime += turnWeight * (took - v.speed.stepTime)
	v.speed.stepTimeAt = h.now
}

// addSpeeds sets what the host knows of the speeds of engines.
func (h *host) addSpeeds(options []route.Option) {
	steps, means := make([]float64, len(options)), make([]float64, len(options))
	for i := range options {
		v := h.views[i].speed
		steps[i], means[i] = v.othersStepTime, v.othersMean
		if v.stepTime > 0 && h.now-v.stepTimeAt < stepTimeTTL {
			steps[i] = v.stepTime
			if v.othersStepTime > 0 {
				steps[i] = (v.stepTime + v.othersStepTime) / 2
			}
		}
		if h.Hints.Slowness && v.slowness > 0 {
			options[i].Slowness, options[i].SlownessAge = v.slowness, h.now-v.slownessAt
		}
	}
	if h.Hints.Pace {
		route.SetPaces(options, steps)
	}
	if h.Hints.FinePace {
		route.SetFinePaces(options, steps)
	}
	if h.Hints.MeanSlowness {
		route.SetFinePaces(options, means)
	}
}
