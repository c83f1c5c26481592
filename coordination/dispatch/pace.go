package dispatch

import "time"

const (
	// pacePeriod is the time after which the speed of a host has changed; measured where replicas state it.
	pacePeriod = 600 * time.Millisecond
	// paceLifetime is the age beyond which a stated pace is ignored: by then it has most likely changed.
	paceLifetime = 400 * time.Millisecond
	// minCurrentPace bounds what a single stated pace can gain a replica.
	minCurrentPace = 0.25
)

// recordCurrentPace stores the pace that a response states, if any.
func (r *replica) recordCurrentPace(now time.Time, pace float64) {
	if pace > 0 {
		r.currentPace, r.currentPaceAt = max(pace, minCurrentPace), now
	}
}

// expectedCurrentPace returns the expected service time as a multiple of the usual one: the last stated pace, weighted with the
// probability that it still holds, or 1 if none was stated within paceLifetime.
func (r *replica) expectedCurrentPace(now time.Time) float64 {
	age := now.Sub(r.currentPaceAt)
	if r.currentPace == 0 || age > paceLifetime {
		return 1
	}
	return 1 + (r.currentPace-1)*(1-float64(max(age, 0))/float64(pacePeriod))
}
