// Package relay decides which entry host of a failure domain reads the platform's store for the others. It takes no locks and reads
// no clock: callers serialize access and pass in the time.
package relay

import (
	"net/netip"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// mentionLifetime is the time for which a host counts as relay after an agent has named it. Several agents name it every second.
	mentionLifetime = 3 * time.Second
	// failureBackoff is the time for which a relay is not used after it failed.
	failureBackoff = 1500 * time.Millisecond
)

// Candidate is an entry host as an agent knows it.
type Candidate struct {
	Address       netip.Addr
	FailureDomain core.FailureDomain
	// Direct is true if the host reads the store itself and the store answers it.
	Direct bool
}

// Elect returns the relay of each failure domain: the direct candidate with the lowest address. All agents that know the same
// candidates elect the same relays.
func Elect(candidates []Candidate) map[core.FailureDomain]netip.Addr {
	relays := make(map[core.FailureDomain]netip.Addr)
	for _, candidate := range candidates {
		if !candidate.Direct || candidate.FailureDomain == "" {
			continue
		}
		current, ok := relays[candidate.FailureDomain]
		if !ok || candidate.Address.Less(current) {
			relays[candidate.FailureDomain] = candidate.Address
		}
	}
	return relays
}

// Directory holds the relays that agents have named for the failure domain of a host, and chooses one of them.
type Directory struct {
	self      netip.Addr
	mentioned map[netip.Addr]time.Time
	// avoidUntil holds the ends of the backoffs of relays that failed.
	avoidUntil map[netip.Addr]time.Time
}

// NewDirectory returns the directory of a host with the address self.
func NewDirectory(self netip.Addr) *Directory {
	return &Directory{self: self, mentioned: make(map[netip.Addr]time.Time), avoidUntil: make(map[netip.Addr]time.Time)}
}

// Mention records that an agent has named a relay.
func (d *Directory) Mention(now time.Time, address netip.Addr) {
	d.prune(now)
	d.mentioned[address] = now
}

// Fail records that a relay did not answer, or that what it answered can't be used.
func (d *Directory) Fail(now time.Time, address netip.Addr) {
	d.avoidUntil[address] = now.Add(failureBackoff)
}

// Choose returns the relay to use: the lowest address named recently. It returns false if the host must read the store itself:
// because it is the relay, because no relay is known or because all known relays have failed.
func (d *Directory) Choose(now time.Time) (netip.Addr, bool) {
	d.prune(now)
	var chosen netip.Addr
	for address := range d.mentioned {
		if now.Before(d.avoidUntil[address]) {
			continue
		}
		if !chosen.IsValid() || address.Less(chosen) {
			chosen = address
		}
	}
	return chosen, chosen.IsValid() && chosen != d.self
}

// Elected reports whether this host is the relay of its failure domain.
func (d *Directory) Elected(now time.Time) bool {
	chosen, _ := d.Choose(now)
	return chosen.IsValid() && chosen == d.self
}

// Known reports whether any relay, possibly this host itself, has been named recently.
func (d *Directory) Known(now time.Time) bool {
	d.prune(now)
	return len(d.mentioned) > 0
}

func (d *Directory) prune(now time.Time) {
	for address, at := range d.mentioned {
		if now.Sub(at) > mentionLifetime {
			delete(d.mentioned, address)
		}
	}
	for address, until := range d.avoidUntil {
		if !now.Before(until) {
			delete(d.avoidUntil, address)
		}
	}
}
