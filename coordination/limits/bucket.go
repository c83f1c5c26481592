// Package limits divides the capacity of an entry between teams, with a token bucket per team and a weighted fair queue.
package limits

import "time"

// Bucket is a token bucket. It reads no clock: callers pass in the time.
//
// Bucket is not safe for concurrent use.
type Bucket struct {
	rate       float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// NewBucket returns a full bucket that gains rate tokens a second up to burst.
func NewBucket(now time.Time, rate float64, burst int) *Bucket {
	return &Bucket{rate: rate, burst: float64(burst), tokens: float64(burst), refilledAt: now}
}

// Configure replaces rate and burst and keeps the tokens up to the new burst.
func (b *Bucket) Configure(now time.Time, rate float64, burst int) {
	b.refill(now)
	b.rate, b.burst = rate, float64(burst)
	b.tokens = min(b.tokens, b.burst)
}

// Take removes a token if there is one. Otherwise it returns the time until the next one.
func (b *Bucket) Take(now time.Time) (wait time.Duration, ok bool) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	// After the clock has gone back, tokens are added again only from the time of the last refill on.
	missing := time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	return missing + b.refilledAt.Sub(now), false
}

// refill adds the tokens for the time since the last call. It adds none if the clock has gone back.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.tokens = min(b.tokens+elapsed.Seconds()*b.rate, b.burst)
	b.refilledAt = now
}

// Ready reports whether a token is available.
func (b *Bucket) Ready(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}
