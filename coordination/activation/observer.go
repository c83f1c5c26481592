package activation

import "time"

// sighting is the first time at which a lease was seen with its number of renewals.
type sighting struct {
	renewals uint64
	at       time.Time
}

// Observer judges by its own clock which leases have lapsed. It is not safe for concurrent use.
type Observer struct {
	ttl  time.Duration
	seen map[string]sighting
}

// NewObserver returns an Observer of leases that lapse after ttl without renewal.
func NewObserver(ttl time.Duration) *Observer {
	return &Observer{ttl: ttl, seen: make(map[string]sighting)}
}

// Observe takes a permit that was read at now.
func (o *Observer) Observe(now time.Time, permit Permit) {
	next := make(map[string]sighting, len(permit.Leases))
	for _, lease := range permit.Leases {
		known, ok := o.seen[lease.Nonce]
		if !ok || known.renewals != lease.Renewals {
			known = sighting{renewals: lease.Renewals, at: now}
		}
		next[lease.Nonce] = known
	}
	o.seen = next
}

// Acquire returns the permit with want added under the next token. It drops lapsed leases and a
// lease that an earlier write of the same process left. It reports false when limit leases remain.
func (o *Observer) Acquire(now time.Time, permit Permit, want Lease, limit int) (Permit, Lease, bool) {
	o.Observe(now, permit)
	next := Permit{Token: permit.Token + 1}
	for _, lease := range permit.Leases {
		own := lease.Host == want.Host && lease.Incarnation == want.Incarnation
		if !own && !o.lapsed(now, lease) {
			next.Leases = append(next.Leases, lease)
		}
	}
	if len(next.Leases) >= limit {
		return permit, Lease{}, false
	}
	want.Token, want.Renewals = next.Token, 0
	next.Leases = append(next.Leases, want)
	return next, want, true
}

func (o *Observer) lapsed(now time.Time, lease Lease) bool {
	known, ok := o.seen[lease.Nonce]
	return ok && known.renewals == lease.Renewals && now.Sub(known.at) >= o.ttl
}
