package fleetsim

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Published holds the figures that engines publish.
var Published = fleet.EnginePerformance{
	Step: 9250 * time.Microsecond, PerSequence: 500 * time.Microsecond, ContextPerK: 250 * time.Microsecond,
	ReadTokensPerSecond: 20_700, PairsPerMillion: 1500 * time.Microsecond, MaxReadTokens: 2048, Stride: 5, CacheTokens: 317_000,
	UsualPromptTokens: 973, UsualOutputTokens: 97, ReportLag: 200 * time.Millisecond,
}

// Kineplan returns a deployment like Kinéplan Armor at a multiple of what its engines can serve, about 5.3 streams a second each.
func Kineplan(load, spread float64) *Streams {
	const scale = 34 * 5.3 / 334
	kind := func(perSecond float64, objective time.Duration, priority int, prompt, output float64) StreamKind {
		return StreamKind{
			PerSecond: perSecond * scale * load, Objective: objective, Deadline: 6 * time.Second, Priority: priority,
			Prompt: prompt, Output: output, Spread: spread,
		}
	}
	return &Streams{
		Regions: 3, Engines: 34, Entries: 20, Performance: Published, Slots: 12, Queue: 24, Delay: time.Millisecond,
		Kinds: []StreamKind{
			kind(143, 400*time.Millisecond, 0, 787, 105), kind(79, 400*time.Millisecond, 1, 607, 70), kind(112, time.Second, 2, 1290, 105),
		},
		Lost: 0.05, Duration: 24 * time.Second,
	}
}

// Established returns a deployment with one priority, 16 slots and 118 streams a second at load 1, which is about what it can serve.
func Established(load float64) *Streams {
	performance := Published
	performance.UsualPromptTokens, performance.UsualOutputTokens = 500, 40
	return &Streams{
		Regions: 3, Engines: 9, Entries: 12, Performance: performance, Slots: 16, Queue: 32, Delay: 10 * time.Millisecond,
		Kinds: []StreamKind{{
			PerSecond: 118 * load, Objective: 500 * time.Millisecond, Deadline: 5 * time.Second, Prompt: 500, Output: 40, Spread: 0.7,
		}},
		Lost: 0.02, Duration: 25 * time.Second,
	}
}
