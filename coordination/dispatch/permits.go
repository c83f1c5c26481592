package dispatch

import "time"

// maxPermitWindow bounds the time for which a permit to send to a cold replica can be used.
const maxPermitWindow = 300 * time.Millisecond

// coldPermits spaces the requests of this host to a cold replica. There is one permit in each period, at a random phase, and one that
// is not used soon is lost: permits that are kept would let all hosts send at the same moment.
type coldPermits struct {
	period time.Duration
	// origin is the start of a period.
	origin time.Time
	// lastUsed is the number of the period since origin whose permit was used last; -1 means none.
	lastUsed int64
}

// newColdPermits returns the permits for a rate in requests per second. random is the phase, in [0, 1).
func newColdPermits(now time.Time, rate, random float64) *coldPermits {
	p := &coldPermits{period: permitPeriod(rate), lastUsed: -1}
	p.origin = now.Add(-time.Duration(random * float64(p.period)))
	return p
}

func permitPeriod(rate float64) time.Duration {
	return max(time.Duration(float64(time.Second)/rate), 1)
}

// setRate changes the rate and keeps the phase, and whether the permit of the present period was used.
func (p *coldPermits) setRate(now time.Time, rate float64) {
	period := permitPeriod(rate)
	if period == p.period {
		return
	}
	number, within := p.position(now)
	used := number == p.lastUsed
	phase := float64(within) / float64(p.period)
	p.period, p.lastUsed = period, -1
	p.origin = now.Add(-time.Duration(phase * float64(period)))
	if used {
		p.lastUsed = 0
	}
}

// ready reports whether there is a permit.
func (p *coldPermits) ready(now time.Time) bool {
	number, within := p.position(now)
	return number != p.lastUsed && within < min(p.period, maxPermitWindow)
}

// take uses the permit.
func (p *coldPermits) take(now time.Time) { p.lastUsed, _ = p.position(now) }

// position returns the number of the present period and the time since its start.
func (p *coldPermits) position(now time.Time) (number int64, within time.Duration) {
	elapsed := now.Sub(p.origin)
	return int64(elapsed / p.period), elapsed % p.period
}
