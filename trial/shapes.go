package trial

import "time"

// Shapes are deployments to try decisions on, by name. Their engines are those of
// the users' sheets, with slopes measured on turns of played days.
var Shapes = map[string]Trial{
	"small": {
		Engine:  Engine{Slots: 12, Memory: 380_000, Step: 1280 * time.Microsecond, Beside: 110 * time.Microsecond, ReadRate: 163, Chunk: 512},
		Engines: 18, Hosts: 7, Zones: 3, Exchange: 300 * time.Millisecond, Span: 20 * time.Second,
		Load: Load{
			Programs: 38, Burst: 2.3, BurstFrom: 8 * time.Second, BurstTo: 14 * time.Second, Parts: 16, Shared: 12_600,
			Turns: 4.5, New: 1300, Answer: 180, Pause: 150 * time.Millisecond, Aim: 1.5, Slack: 200 * time.Millisecond,
		},
	},
	"wide": {
		Engine:  Engine{Slots: 48, Memory: 1_333_000, Step: 1270 * time.Microsecond, Beside: 75 * time.Microsecond, ReadRate: 205, Chunk: 512},
		Engines: 9, Hosts: 8, Zones: 3, Exchange: 300 * time.Millisecond, Span: 20 * time.Second,
		Load: Load{
			Programs: 26, Burst: 2.3, BurstFrom: 8 * time.Second, BurstTo: 14 * time.Second, Parts: 16, Shared: 12_600,
			Turns: 6, New: 1300, Answer: 256, Pause: 150 * time.Millisecond, Aim: 2, Slack: 250 * time.Millisecond,
		},
	},
	"grown": {
		Engine:  Engine{Slots: 12, Memory: 378_000, Step: 1280 * time.Microsecond, Beside: 110 * time.Microsecond, ReadRate: 163, Chunk: 512},
		Engines: 56, Hosts: 79, Zones: 3, Exchange: 300 * time.Millisecond, Span: 20 * time.Second,
		Load: Load{
			Programs: 110, Burst: 2.3, BurstFrom: 8 * time.Second, BurstTo: 14 * time.Second, Parts: 176, Shared: 12_600,
			Turns: 4.5, New: 1300, Answer: 180, Pause: 150 * time.Millisecond, Aim: 1.5, Slack: 200 * time.Millisecond,
		},
	},
}
