// Package activation decides which hosts of a failure domain may load a version into their engines.
//
// A Permit lists the leases of one upstream in one failure domain. A lease carries no timestamp: each process measures with
// its own clock how long a lease has not been renewed, so the clocks of hosts need not agree. A holder measures from before it
// sent the write and other processes from after they read it, so a holder stops before others consider its lease lapsed.
package activation

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// holderMarginDivisor divides the TTL to give the last part of a lease that its holder does not use. This part covers clocks
// that run at different rates.
const holderMarginDivisor = 10

// Lease permits a host to load a version.
type Lease struct {
	Host        core.HostID      `json:"host"`
	Incarnation core.Incarnation `json:"incarnation"`
	// Nonce identifies the write that created the lease.
	Nonce string `json:"nonce"`
	// Token is the fencing token; a lease that is granted later has a higher one.
	Token  uint64      `json:"token"`
	Digest core.Digest `json:"digest"`
	// Renewals counts the renewals, so that others can tell a renewed lease from an old one.
	Renewals uint64 `json:"renewals"`
}

// Permit is the content of a Permit object.
type Permit struct {
	// Token is the highest fencing token granted so far.
	Token  uint64  `json:"token"`
	Leases []Lease `json:"leases"`
}

// HeldLease is a lease as seen by its holder.
type HeldLease struct {
	Lease Lease
	// Deadline is the time from which the holder must not act on the lease.
	Deadline time.Time
	// OtherHolders lists the hosts that held leases of the permit when this lease was granted.
	OtherHolders []core.HostID
}

// NewHeldLease returns a HeldLease whose deadline is derived from the time at which its write was sent.
func NewHeldLease(lease Lease, sent time.Time, ttl time.Duration) HeldLease {
	return HeldLease{Lease: lease, Deadline: sent.Add(ttl - ttl/holderMarginDivisor)}
}

// Valid reports whether the holder may act on the lease at now.
func (h HeldLease) Valid(now time.Time) bool { return now.Before(h.Deadline) }

// MaxConcurrentLoads returns how many of size hosts may load concurrently while minWarm keep serving. It is at least one,
// because a rollout to a group of at most minWarm hosts would otherwise never finish.
func MaxConcurrentLoads(size, minWarm int) int { return max(size-minWarm, 1) }

// MayLoad reports whether a lease holder may load. If others hold leases too, at least minWarm hosts without a lease must be
// serving. A single holder may always load, because a rollout would otherwise never finish.
func MayLoad(others, serving, minWarm int) bool { return others == 0 || serving >= minWarm }

// Find returns the lease with the given nonce.
func (p Permit) Find(nonce string) (Lease, bool) {
	for _, lease := range p.Leases {
		if lease.Nonce == nonce {
			return lease, true
		}
	}
	return Lease{}, false
}

// Renew returns the permit with one lease renewed. It reports false when the lease is gone.
func (p Permit) Renew(nonce string) (Permit, Lease, bool) {
	next := Permit{Token: p.Token}
	var renewed Lease
	for _, lease := range p.Leases {
		if lease.Nonce == nonce {
			lease.Renewals++
			renewed = lease
		}
		next.Leases = append(next.Leases, lease)
	}
	return next, renewed, renewed.Nonce != ""
}

// Release returns the permit without the lease. It reports false when the lease is gone.
func (p Permit) Release(nonce string) (Permit, bool) {
	next := Permit{Token: p.Token}
	for _, lease := range p.Leases {
		if lease.Nonce != nonce {
			next.Leases = append(next.Leases, lease)
		}
	}
	return next, len(next.Leases) < len(p.Leases)
}
