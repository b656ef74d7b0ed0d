package trial

import "time"

// Shapes are deployments to try decisions on, by name: the users' two of today
// and a grown one. Their engines are those of the users' sheets, with slopes
// measured on turns of played days.
var Shapes = map[string]Trial{"small": small(), "wide": wide(), "grown": grown()}

// small has few engines of few slots.
func small() Trial {
	return Trial{
		Engine:  Engine{Slots: 12, Memory: 380_000, Step: 1280 * time.Microsecond, Beside: 110 * time.Microsecond, ReadRate: 163, Chunk: 512},
		Engines: 18, Hosts: 7, Zones: 3, Exchange: 300 * time.Millisecond, Span: 20 * time.Second,
		Load: Load{
			Programs: 38, Burst: 2.3, BurstFrom: 8 * time.Second, BurstTo: 14 * time.Second, Parts: 16, Shared: 12_600,
			Turns: 4.5, New: 1300, Answer: 180, Pause: 150 * time.Millisecond, Aim: 1.5, Slack: 200 * time.Millisecond,
		},
	}
}

// wide has few engines of many slots, and longer programs.
func wide() Trial {
	t := small()
	t.Engine = Engine{Slots: 48, Memory: 1_333_000, Step: 1270 * time.Microsecond, Beside: 75 * time.Microsecond, ReadRate: 205, Chunk: 512}
	t.Engines, t.Hosts = 9, 8
	t.Load.Programs, t.Load.Turns, t.Load.Answer = 26, 6, 256
	t.Load.Aim, t.Load.Slack = 2, 250*time.Millisecond
	return t
}

// grown is small with several times the engines, hosts and shared parts.
func grown() Trial {
	t := small()
	t.Engine.Memory = 378_000
	t.Engines, t.Hosts = 56, 79
	t.Load.Programs, t.Load.Parts = 110, 176
	return t
}
