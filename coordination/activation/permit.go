// Package activation decides which hosts of a failure domain may load a version into their engines.
//
// A Permit lists the leases of one upstream in one failure domain. A lease carries no time: each
// process judges by its own clock when a lease has gone without renewal for too long, so clocks of
// hosts need not agree. A holder counts its time from before it sent the write, and others from
// after they saw it, so a holder stops before others take its lease as lapsed.
package activation

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// holderMargin is the divisor of the part of a lease that its holder does not use. It covers clocks
// that run at different rates.
const holderMargin = 10

// Lease allows a host to load a version.
type Lease struct {
	Host        core.HostID      `json:"host"`
	Incarnation core.Incarnation `json:"incarnation"`
	// Nonce identifies the write that made the lease.
	Nonce string `json:"nonce"`
	// Token is the fencing token; a later lease has a higher one.
	Token  uint64      `json:"token"`
	Digest core.Digest `json:"digest"`
	// Renewals counts the renewals, so that others can tell a renewed lease from an old one.
	Renewals uint64 `json:"renewals"`
}

// Permit is the content of a Permit object.
type Permit struct {
	// Token is the highest fencing token given out.
	Token  uint64  `json:"token"`
	Leases []Lease `json:"leases"`
}

// HeldLease is a lease with the time until which its holder may act on it.
type HeldLease struct {
	Lease    Lease
	Deadline time.Time
	// OtherHolders lists the hosts that held leases of the permit when this lease was granted.
	OtherHolders []core.HostID
}

// NewHeldLease returns the holding of a lease whose write was sent at the given time.
func NewHeldLease(lease Lease, sent time.Time, ttl time.Duration) HeldLease {
	return HeldLease{Lease: lease, Deadline: sent.Add(ttl - ttl/holderMargin)}
}

// Valid reports whether the holder may act at now.
func (h HeldLease) Valid(now time.Time) bool { return now.Before(h.Deadline) }

// MaxConcurrentLoads returns how many of size hosts may load at once while minWarm keep serving. It is at least
// one, because a rollout to a group that is too small would otherwise never end.
func MaxConcurrentLoads(size, minWarm int) int { return max(size-minWarm, 1) }

// MayLoad reports whether a holder may load while others hold leases too: enough hosts that hold
// none must serve. A single holder always may, because a rollout would otherwise never end.
func MayLoad(others, serving, minWarm int) bool { return others == 0 || serving >= minWarm }

// Find returns the lease with a nonce.
func (p Permit) Find(nonce string) (Lease, bool) {
	for _, lease := range p.Leases {
		if lease.Nonce == nonce {
			return lease, true
		}
	}
	return Lease{}, false
}

// Renew returns the permit with one lease renewed; it reports false when the lease is gone.
func (p Permit) Renew(nonce string) (Permit, Lease, bool) {
	out := Permit{Token: p.Token}
	var renewed Lease
	for _, lease := range p.Leases {
		if lease.Nonce == nonce {
			lease.Renewals++
			renewed = lease
		}
		out.Leases = append(out.Leases, lease)
	}
	return out, renewed, renewed.Nonce != ""
}

// Release returns the permit without a lease; it reports false when the lease is gone.
func (p Permit) Release(nonce string) (Permit, bool) {
	out := Permit{Token: p.Token}
	for _, lease := range p.Leases {
		if lease.Nonce != nonce {
			out.Leases = append(out.Leases, lease)
		}
	}
	return out, len(out.Leases) < len(p.Leases)
}
