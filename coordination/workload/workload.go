// Package workload computes what a request costs and how urgent it is, so that under overload those requests are delayed or refused
// whose delay or refusal costs callers least.
package workload

import (
	"cmp"
	"time"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// Levels is the number of priorities that are distinguished; back ends accept 0 to 9.
	Levels = 10
	// minWork and maxWork bound the influence of the size of a request. Callers' estimates of the output are often far off, and large
	// requests must not starve.
	minWork = 0.5
	maxWork = 2
	// workShift is the part of the objective by which a request of twice the usual work ranks later. Small requests go first among
	// those with about the same time left, since more of them are answered with the same capacity.
	workShift = 0.1
	// returnedAfter is the time for which a caller must have been trying to count as one that was refused before. It is the least delay
	// that a refused caller is told, and longer than the jitter of the network.
	returnedAfter = 50 * time.Millisecond
)

// Level returns the level of a priority, from 0 for the most urgent to Levels-1.
func Level(priority int) int { return min(max(priority, 0), Levels-1) }

// Work returns the time that a request occupies a slot of an engine, as a multiple of that of a usual request. Token counts that are 0
// are unknown and taken to be usual. It is 1 if the engine doesn't publish its figures.
func Work(engine *fleet.EngineSpec, promptTokens, outputTokens int) float64 {
	if engine == nil || engine.Performance == nil {
		return 1
	}
	p := engine.Performance
	if promptTokens <= 0 {
		promptTokens = p.UsualPromptTokens
	}
	if outputTokens <= 0 {
		outputTokens = p.UsualOutputTokens
	}
	usual := slotSeconds(engine, p.UsualPromptTokens, p.UsualOutputTokens)
	if usual <= 0 {
		return 1
	}
	return slotSeconds(engine, promptTokens, outputTokens) / usual
}

// slotSeconds returns the time for which a request occupies a slot of an engine whose other slots are occupied too.
func slotSeconds(engine *fleet.EngineSpec, promptTokens, outputTokens int) float64 {
	p := engine.Performance
	step := p.Step + time.Duration(engine.Slots)*p.PerSequence
	seconds := float64(outputTokens) * step.Seconds()
	if p.ReadTokensPerSecond > 0 {
		seconds += float64(promptTokens) / p.ReadTokensPerSecond
	}
	return seconds
}

// Request holds the properties of a request that determine its rank.
type Request struct {
	Priority int
	// Arrived is the time of the request's arrival, Elapsed the time for which its caller has probably been trying before.
	Arrived time.Time
	Elapsed time.Duration
	// Objective is the latency objective, counted from the caller's first attempt; 0 means none.
	Objective time.Duration
	Deadline  time.Time
	// FirstEvent is the usual time from the start of a request to its response or its first event.
	FirstEvent time.Duration
	// Work is the result of the function Work.
	Work float64
	// Resumed is true for a stream that has begun and goes on at another replica. Its caller has no use for another beginning, so it goes
	// before others of its priority.
	Resumed bool
}

// startBy returns the latest start with which the objective is met.
func (r *Request) startBy() time.Time { return r.Arrived.Add(r.Objective - r.Elapsed - r.FirstEvent) }

// Latest returns the latest start with which the response begins before the deadline.
func (r *Request) Latest() time.Time { return r.Deadline.Add(-r.FirstEvent) }

// Returned reports whether the caller has probably been refused before.
func (r *Request) Returned() bool { return r.Elapsed >= returnedAfter }

// Late reports whether the objective can't be met any more.
func (r *Request) Late(now time.Time) bool {
	return r.Objective > 0 && !r.Resumed && r.startBy().Before(now)
}

// Rank is the place of a request among others. The zero value of its unexported fields is the most urgent.
type Rank struct {
	// Level is the level of the request's priority.
	Level int
	// Lost is true if the objective can't be met any more.
	Lost bool
	// StartBy is the latest start with which the objective is met, or the deadline if the objective is lost.
	StartBy time.Time
	// order is StartBy, moved by the work.
	order time.Time
}

// RankAt returns the rank that a request has at now.
func RankAt(now time.Time, r Request) Rank {
	rank := Rank{Level: Level(r.Priority)}
	startBy, latest := r.startBy(), r.Latest()
	switch {
	case r.Resumed:
		rank.StartBy = latest
		return rank
	case r.Objective <= 0:
		rank.StartBy = latest
	case r.Late(now):
		rank.Lost, rank.StartBy = true, latest
	case latest.Before(startBy):
		rank.StartBy = latest
	default:
		rank.StartBy = startBy
	}
	shift := workShift * (min(max(r.Work, minWork), maxWork) - 1)
	rank.order = rank.StartBy.Add(time.Duration(shift * float64(r.Objective)))
	return rank
}

// Compare returns a negative number if r goes before other: by priority, then by whether the objective can still be met, then by the time
// that is left.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Level, other.Level), compareBool(r.Lost, other.Lost), r.order.Compare(other.order))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
