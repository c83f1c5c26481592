package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// OfferTTL is the time for which an offer holds. It spans two status reads of an entry at the default interval.
	OfferTTL = 2 * time.Second
	// entryWindow is the time since its last question for which an entry counts when slots are split.
	entryWindow = 3 * time.Second
)

// offer is what one entry was last granted.
type offer struct {
	slots   int
	expires time.Time
	// seen is the time of the entry's last question.
	seen time.Time
	// served is the turn in which the entry last received slots; an entry with an earlier turn comes first.
	served uint64
}

// Offers splits free slots over the entries that ask for them.
//
// The unused offers that have not expired never exceed the free slots at the time of a grant.
type Offers struct {
	entries map[core.HostID]*offer
	turn    uint64
}

// NewOffers returns Offers without entries.
func NewOffers() *Offers { return &Offers{entries: make(map[core.HostID]*offer)} }

// Offer replaces the entry's offer by a share of free. An entry without a name gets none.
func (o *Offers) Offer(now time.Time, entry core.HostID, free int) core.Grant {
	if entry == "" {
		return core.Grant{Expires: now.Add(OfferTTL)}
	}
	o.forget(now)
	own := o.entries[entry]
	if own == nil {
		own = &offer{}
		o.entries[entry] = own
	}
	own.seen = now
	own.expires = now.Add(OfferTTL)
	own.slots = o.share(now, own, free)
	if own.slots > 0 {
		o.turn++
		own.served = o.turn
	}
	return core.Grant{Slots: own.slots, Expires: own.expires}
}

// ConsumeSlot counts one slot of the entry's offer as taken.
func (o *Offers) ConsumeSlot(now time.Time, entry core.HostID) {
	own := o.entries[entry]
	if own != nil && own.slots > 0 && now.Before(own.expires) {
		own.slots--
	}
}

// Entries returns the entries that count when slots are split, in name order.
func (o *Offers) Entries(now time.Time) []core.HostID {
	o.forget(now)
	return slices.Sorted(maps.Keys(o.entries))
}

// share returns an equal part of free, at least one slot, that the other offers and older turns leave over.
func (o *Offers) share(now time.Time, own *offer, free int) int {
	left := free
	for _, other := range o.entries {
		if other == own {
			continue
		}
		left -= other.claim(now, own.served)
	}
	part := max(free/len(o.entries), 1)
	return max(min(part, left), 0)
}

// claim returns the slots kept for an entry: its unexpired offer, or one slot if it has waited longer than turn.
func (f *offer) claim(now time.Time, turn uint64) int {
	if f.slots > 0 && now.Before(f.expires) {
		return f.slots
	}
	if f.served < turn {
		return 1
	}
	return 0
}

func (o *Offers) forget(now time.Time) {
	maps.DeleteFunc(o.entries, func(_ core.HostID, f *offer) bool { return now.Sub(f.seen) > entryWindow })
}
