package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// OfferTTL is the time for which an offer is valid. It spans two heartbeats of an entry at the default interval.
	OfferTTL = 2 * time.Second
	// entryWindow is the time after its last request for an offer for which an entry takes part in the division of slots.
	entryWindow = 3 * time.Second
)

// offer is the last grant of one entry.
type offer struct {
	slots   int
	expires time.Time
	// lastRequest is the time at which the entry last asked for an offer.
	lastRequest time.Time
	// lastServedTurn is the turn in which the entry last received slots. An entry with an earlier turn takes precedence.
	lastServedTurn uint64
}

// Offers divides free slots among the entries that ask for them.
//
// At the time of a grant, the unexpired and unused offers together never exceed the free slots.
type Offers struct {
	entries map[core.HostID]*offer
	turn    uint64
}

// NewOffers returns Offers without entries.
func NewOffers() *Offers { return &Offers{entries: make(map[core.HostID]*offer)} }

// Offer replaces the entry's offer by a share of the free slots. An empty entry ID gets no slots.
func (o *Offers) Offer(now time.Time, entry core.HostID, free int) core.Grant {
	if entry == "" {
		return core.Grant{Expires: now.Add(OfferTTL)}
	}
	o.dropInactive(now)
	current := o.entries[entry]
	if current == nil {
		current = &offer{}
		o.entries[entry] = current
	}
	current.lastRequest = now
	current.expires = now.Add(OfferTTL)
	current.slots = o.share(now, current, free)
	if current.slots > 0 {
		o.turn++
		current.lastServedTurn = o.turn
	}
	return core.Grant{Slots: current.slots, Expires: current.expires}
}

// ConsumeSlot subtracts one slot from the entry's unexpired offer.
func (o *Offers) ConsumeSlot(now time.Time, entry core.HostID) {
	current := o.entries[entry]
	if current != nil && current.slots > 0 && now.Before(current.expires) {
		current.slots--
	}
}

// Entries returns the entries that take part in the division of slots, sorted by ID.
func (o *Offers) Entries(now time.Time) []core.HostID {
	o.dropInactive(now)
	return slices.Sorted(maps.Keys(o.entries))
}

// share returns the slots to grant in the offer current: an equal part of free, but at least one slot, bounded by what remains
// after the reservations of the other entries.
func (o *Offers) share(now time.Time, current *offer, free int) int {
	remaining := free
	for _, other := range o.entries {
		if other == current {
			continue
		}
		remaining -= other.reservedSlots(now, current.lastServedTurn)
	}
	equalPart := max(free/len(o.entries), 1)
	return max(min(equalPart, remaining), 0)
}

// reservedSlots returns the slots kept back for an entry: its unexpired offer, or one slot if it was last served before
// turn.
func (f *offer) reservedSlots(now time.Time, turn uint64) int {
	if f.slots > 0 && now.Before(f.expires) {
		return f.slots
	}
	if f.lastServedTurn < turn {
		return 1
	}
	return 0
}

func (o *Offers) dropInactive(now time.Time) {
	maps.DeleteFunc(o.entries, func(_ core.HostID, f *offer) bool { return now.Sub(f.lastRequest) > entryWindow })
}
