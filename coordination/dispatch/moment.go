package dispatch

import "time"

const (
	// momentPeriod is the time after which the speed of a host has changed; measured where replicas state it.
	momentPeriod = 600 * time.Millisecond
	// momentLifetime is the age beyond which a stated pace is ignored: by then it has most likely changed.
	momentLifetime = 400 * time.Millisecond
	// minMomentPace bounds what a single stated pace can gain a replica.
	minMomentPace = 0.25
)

// recordMomentPace stores the pace that a response states, if any.
func (r *replica) recordMomentPace(now time.Time, pace float64) {
	if pace > 0 {
		r.momentPace, r.momentPaceAt = max(pace, minMomentPace), now
	}
}

// expectedMomentPace returns the expected service time as a multiple of the usual one: the last stated pace, weighted with the
// probability that it still holds, or 1 if none was stated within momentLifetime.
func (r *replica) expectedMomentPace(now time.Time) float64 {
	age := now.Sub(r.momentPaceAt)
	if r.momentPace == 0 || age > momentLifetime {
		return 1
	}
	return 1 + (r.momentPace-1)*(1-float64(max(age, 0))/float64(momentPeriod))
}
