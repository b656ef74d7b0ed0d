package trial

import "time"

// Scenarios maps names to deployments with their workloads: the users' two
// current deployments ("small" and "wide"), a larger one ("grown") two whose
// targets and zones differ: turns on engines ("uneven") and calls to plain targets ("calls"). Engine
// parameters are taken from the users' data sheets; the increase of the step
// time per request was measured on turns of simulated days of these deployments,
// played on the users' test bench.
var Scenarios = map[string]Trial{"small": small(), "wide": wide(), "grown": grown(), "uneven": uneven(), "calls": calls()}

// small has few engines with few slots each.
func small() Trial {
	return Trial{
		Hints:   HintSets["reports"],
		Engine:  Engine{Slots: 12, CacheTokens: 380_000, StepTime: 1280 * time.Microsecond, StepTimePerRequest: 110 * time.Microsecond, PrefillRate: 163, PrefillChunk: 512},
		Engines: 18, Hosts: 7, Zones: 3, ExchangeInterval: 300 * time.Millisecond, ArrivalPeriod: 20 * time.Second,
		Workload: Workload{
			ProgramRate: 38, BurstFactor: 2.3, BurstFrom: 8 * time.Second, BurstTo: 14 * time.Second, Prefixes: 16, PrefixTokens: 12_600,
			MeanTurns: 4.5, NewTokens: 1300, AnswerTokens: 180, Pause: 150 * time.Millisecond, DeadlineFactor: 1.5, DeadlineSlack: 200 * time.Millisecond,
		},
	}
}

// wide has half as many engines as small, with more slots each, and programs
// with more turns and longer answers.
func wide() Trial {
	t := small()
	t.Engine = Engine{Slots: 48, CacheTokens: 1_333_000, StepTime: 1270 * time.Microsecond, StepTimePerRequest: 75 * time.Microsecond, PrefillRate: 205, PrefillChunk: 512}
	t.Engines, t.Hosts = 9, 8
	t.Workload.ProgramRate, t.Workload.MeanTurns, t.Workload.AnswerTokens = 26, 6, 256
	t.Workload.DeadlineFactor, t.Workload.DeadlineSlack = 2, 250*time.Millisecond
	return t
}

// grown is small with several times as many engines, hosts and shared prefixes.
func grown() Trial {
	t := small()
	t.Engine.CacheTokens = 378_000
	t.Engines, t.Hosts = 56, 79
	t.Workload.ProgramRate, t.Workload.Prefixes = 110, 176
	return t
}

// uneven has engines of two speeds that are slowed down for short times, and zones whose
// rates rise and fall in turn.
func uneven() Trial {
	t := small()
	t.Engine.Slots, t.Engine.CacheTokens, t.Engine.PrefillRate = 16, 470_956, 170
	t.Engines, t.Hosts, t.Zones = 48, 57, 4
	t.Workload.ProgramRate, t.Workload.MeanTurns, t.Workload.NewTokens = 96, 5.7, 1260
	t.Workload.BurstFactor, t.Workload.Prefixes = 1, 6
	t.Workload.DeadlineFactor, t.Workload.DeadlineSlack = 1.55, 250*time.Millisecond
	t.ArrivalPeriod = 30 * time.Second
	t.Hints, t.ReportsAtHead = HintSets["none"], true
	t.Uneven = Uneven{
		Speeds: []float64{0.55, 1.2, 1.2, 1.2}, NoisyShare: 0.15, NoiseFactor: 2.5, NoiseTime: 600 * time.Millisecond,
		ZoneAmplitude: 0.55, ZonePeriod: 15 * time.Second, ReportsSpeed: true,
	}
	return t
}

// calls has plain targets that are as uneven as the engines of uneven. Programs consist of
// calls without a prompt.
func calls() Trial {
	t := uneven()
	t.Engine = Engine{Slots: 6, CacheTokens: 1, StepTime: 3 * time.Millisecond, PrefillRate: 1, PrefillChunk: 1}
	t.Engines, t.ReportsAtHead = 36, false
	t.Workload.ProgramRate, t.Workload.MeanTurns, t.Workload.AnswerTokens = 740, 5, 10
	t.Workload.PrefixTokens, t.Workload.NewTokens, t.Workload.Pause = 0, 0, 50*time.Millisecond
	t.Workload.DeadlineFactor, t.Workload.DeadlineSlack = 1.4, 0
	t.ArrivalPeriod = 15 * time.Second
	return t
}
