package dispatch

import "time"

const (
	// coldPermitWindow and limitPermitWindow bound the time for which a permit to send to a cold replica, or to one with a request
	// limit, can be used. Longer ones use more of the rate, and let more hosts send at the same moment after a time without callers.
	coldPermitWindow  = 300 * time.Millisecond
	limitPermitWindow = 1500 * time.Millisecond
	// maxPermitPeriod bounds the time from one permit to the next.
	maxPermitPeriod = time.Hour
	// A replica may get limitFactor times what its request limit allows in limitPeriod, and limitSlack requests more. The slack is less
	// than the platform's, so that some hosts may join.
	limitPeriod = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 3
	// maxSendDelay is the time within which a request with a permit must be sent.
	maxSendDelay = 500 * time.Millisecond
	// minRequestLimit is the least rate over all hosts in requests per second. It lets them find out that a limit has ended.
	minRequestLimit = 0.25
)

// allowance is the rate at which this host may send to a replica that takes only a limited rate from all hosts together.
type allowance struct {
	perSecond float64
	// window bounds the time for which a permit can be used.
	window time.Duration
}

// permits spaces the requests of this host to a replica. There is one permit in each period, at a random phase, and one that is not
// used soon is lost: permits that are kept would let all hosts send at the same moment.
type permits struct {
	period time.Duration
	window time.Duration
	// origin is the start of a period.
	origin time.Time
	// lastUsed is the number of the period since origin whose permit was used last; -1 means none.
	lastUsed int64
}

// newPermits returns the permits for an allowance. random is the phase, in [0, 1).
func newPermits(now time.Time, a allowance, random float64) *permits {
	p := &permits{period: permitPeriod(a.perSecond), window: a.window, lastUsed: -1}
	p.origin = now.Add(-time.Duration(random * float64(p.period)))
	return p
}

// permitPeriod returns the time from one permit to the next. The conversion of a number that is no Duration depends on the processor.
func permitPeriod(perSecond float64) time.Duration {
	period := float64(time.Second) / perSecond
	if !(period < float64(maxPermitPeriod)) {
		return maxPermitPeriod
	}
	return max(time.Duration(period), 1)
}

// set changes the allowance and keeps the phase, and whether the permit of the present period was used.
func (p *permits) set(now time.Time, a allowance) {
	p.window = a.window
	period := permitPeriod(a.perSecond)
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
func (p *permits) ready(now time.Time) bool {
	number, within := p.position(now)
	return number != p.lastUsed && within < min(p.period, p.window)
}

// next returns the time of the first permit after the present one.
func (p *permits) next(now time.Time) time.Time {
	number, _ := p.position(now)
	return p.origin.Add(time.Duration(number+1) * p.period)
}

// take uses the permit.
func (p *permits) take(now time.Time) { p.lastUsed, _ = p.position(now) }

// position returns the number of the present period and the time since its start.
func (p *permits) position(now time.Time) (number int64, within time.Duration) {
	elapsed := now.Sub(p.origin)
	return int64(elapsed / p.period), elapsed % p.period
}

// allowance returns this host's part of what a replica takes from all hosts together. It returns false if the replica is neither cold
// nor has a request limit.
func (b *Balancer) allowance(now time.Time, r *replica) (allowance, bool) {
	coldRate := r.coldRate
	cold := coldRate > 0 && now.Before(r.member.ColdUntil)
	limit := b.statedLimit(r.member.ID, r.member.Born)
	switch {
	case limit != nil && cold:
		return lower(b.limitAllowance(now, r, limit.perSecond), b.coldAllowance(now, r, coldRate)), true
	case limit != nil:
		return b.limitAllowance(now, r, limit.perSecond), true
	case cold:
		return b.coldAllowance(now, r, coldRate), true
	}
	return allowance{}, false
}

// lower returns an allowance that keeps to two others.
func lower(a, b allowance) allowance {
	return allowance{perSecond: min(a.perSecond, b.perSecond), window: min(a.window, b.window)}
}

func (b *Balancer) coldAllowance(now time.Time, r *replica, rate float64) allowance {
	return allowance{perSecond: rate * b.cfg.ColdShare * b.hostShare(now, r), window: coldPermitWindow}
}

func (b *Balancer) limitAllowance(now time.Time, r *replica, limit float64) allowance {
	limit = max(limit, minRequestLimit)
	a := allowance{perSecond: limit * b.cfg.LimitShare * b.hostShare(now, r), window: limitPermitWindow}
	if float64(b.hosts(now, r)) <= limitSlack+limitFactor*limitPeriod.Seconds()*limit {
		// The bound allows one request of each host, and no host can use two permits within limitPeriod.
		a.window = max(a.window, permitPeriod(a.perSecond)-limitPeriod)
	}
	return a
}

// hasPermit reports whether this host may send a request to the replica now, as far as the replica takes only a limited rate. It
// creates, changes or removes the replica's permits as its state requires.
func (b *Balancer) hasPermit(now time.Time, r *replica) bool {
	a, limited := b.allowance(now, r)
	switch {
	case !limited:
		r.permits = nil
		return true
	case r.permits == nil:
		r.permits = newPermits(now, a, b.random.Float64())
	default:
		r.permits.set(now, a)
	}
	return r.permits.ready(now)
}

// hostShare returns this host's share of the rate that a replica takes from all hosts together.
func (b *Balancer) hostShare(now time.Time, r *replica) float64 {
	if r.hasFreshReport(&b.cfg, now) && r.report.Senders > 0 {
		return r.report.share()
	}
	return 1 / float64(b.hosts(now, r))
}

// hosts returns the number of hosts that send to a replica. Without a report of the replica itself it takes the number from the last
// report of any replica.
func (b *Balancer) hosts(now time.Time, r *replica) int {
	switch {
	case r.hasFreshReport(&b.cfg, now) && r.report.Senders > 0:
		return r.report.Senders
	case b.senders > 0:
		return b.senders
	default:
		return b.cfg.DefaultSenders
	}
}
