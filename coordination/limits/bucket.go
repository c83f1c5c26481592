// Package limits shares an entry's capacity between teams: a token bucket per team and a weighted fair queue.
package limits

import "time"

// Bucket is a token bucket in virtual time.
//
// Bucket is not safe for concurrent use.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     time.Time
}

// NewBucket returns a full bucket that gains rate tokens a second up to burst.
func NewBucket(now time.Time, rate float64, burst int) *Bucket {
	return &Bucket{rate: rate, burst: float64(burst), tokens: float64(burst), at: now}
}

// Configure replaces rate and burst and keeps the tokens that fit.
func (b *Bucket) Configure(now time.Time, rate float64, burst int) {
	b.fill(now)
	b.rate, b.burst = rate, float64(burst)
	b.tokens = min(b.tokens, b.burst)
}

// Take takes a token, or reports the time until the next one.
func (b *Bucket) Take(now time.Time) (wait time.Duration, ok bool) {
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	// A clock that went back has to reach the time of the last fill before tokens are gained again.
	missing := time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	return missing + b.at.Sub(now), false
}

// fill adds the tokens gained since the last call; a clock that went back adds none.
func (b *Bucket) fill(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.tokens = min(b.tokens+elapsed.Seconds()*b.rate, b.burst)
	b.at = now
}

// Ready reports whether Take would take a token now.
func (b *Bucket) Ready(now time.Time) bool {
	b.fill(now)
	return b.tokens >= 1
}
