package activation

import "time"

// observation records when a lease was first seen with its number of renewals.
type observation struct {
	renewals  uint64
	firstSeen time.Time
}

// Observer decides by the local clock which leases have lapsed. It is not safe for concurrent use.
type Observer struct {
	ttl          time.Duration
	observations map[string]observation
}

// NewObserver returns an Observer of leases that lapse after ttl without renewal.
func NewObserver(ttl time.Duration) *Observer {
	return &Observer{ttl: ttl, observations: make(map[string]observation)}
}

// Observe records the leases of a permit that was read at now and discards observations of leases that are gone.
func (o *Observer) Observe(now time.Time, permit Permit) {
	next := make(map[string]observation, len(permit.Leases))
	for _, lease := range permit.Leases {
		observed, ok := o.observations[lease.Nonce]
		if !ok || observed.renewals != lease.Renewals {
			observed = observation{renewals: lease.Renewals, firstSeen: now}
		}
		next[lease.Nonce] = observed
	}
	o.observations = next
}

// Acquire returns the permit with newLease added under the next token. It removes lapsed leases and any lease that an earlier
// write of the same process left. It returns permit unchanged and false when limit leases
// remain.
func (o *Observer) Acquire(now time.Time, permit Permit, newLease Lease, limit int) (Permit, Lease, bool) {
	o.Observe(now, permit)
	next := Permit{Token: permit.Token + 1}
	for _, lease := range permit.Leases {
		ownLease := lease.Host == newLease.Host && lease.Incarnation == newLease.Incarnation
		if !ownLease && !o.lapsed(now, lease) {
			next.Leases = append(next.Leases, lease)
		}
	}
	if len(next.Leases) >= limit {
		return permit, Lease{}, false
	}
	newLease.Token, newLease.Renewals = next.Token, 0
	next.Leases = append(next.Leases, newLease)
	return next, newLease, true
}

func (o *Observer) lapsed(now time.Time, lease Lease) bool {
	observed, ok := o.observations[lease.Nonce]
	return ok && observed.renewals == lease.Renewals && now.Sub(observed.firstSeen) >= o.ttl
}
