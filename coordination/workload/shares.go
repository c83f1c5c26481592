package workload

import (
	"math"
	"time"
)

const (
	// MinimumShare is the least share of the requests of a priority that are started, as a part of the share of all others. The
	// guarantee is a quarter; the rest covers that hosts count for themselves and that a started request may still fail.
	MinimumShare = 0.35
	// sharesWindow is the time constant with which earlier requests are forgotten. It is long enough for some requests of each
	// priority at a host with few callers, and short against a burst.
	sharesWindow = 8 * time.Second
	// minShareRequests is the number of requests of a priority below which its share says nothing.
	minShareRequests = 2
)

// Shares counts the requests of each priority that arrive at a host and that are started, with exponential decay. It is not safe for
// concurrent use.
type Shares struct {
	arrived, started [Levels]float64
	decayedAt        time.Time
}

// Arrived counts a request that arrives.
func (s *Shares) Arrived(now time.Time, priority int) {
	s.decay(now)
	s.arrived[Level(priority)]++
}

// Started counts a request for which a replica was chosen.
func (s *Shares) Started(now time.Time, priority int) {
	s.decay(now)
	s.started[Level(priority)]++
}

// BelowMinimum reports whether fewer requests of a priority are started than MinimumShare guarantees.
func (s *Shares) BelowMinimum(now time.Time, priority int) bool {
	s.decay(now)
	own := Level(priority)
	arrived, started := 0.0, 0.0
	for level := range Levels {
		if level != own {
			arrived += s.arrived[level]
			started += s.started[level]
		}
	}
	if s.arrived[own] < minShareRequests || arrived == 0 {
		return false
	}
	return s.started[own]/s.arrived[own] < MinimumShare*started/arrived
}

func (s *Shares) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / sharesWindow.Seconds())
	for level := range Levels {
		s.arrived[level] *= factor
		s.started[level] *= factor
	}
	s.decayedAt = now
}
