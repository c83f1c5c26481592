package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// TestOffersNeverExceedFreeSlots guards against granting more slots than are free over all entries.
func TestOffersNeverExceedFreeSlots(t *testing.T) {
	type heldGrant struct {
		slots   int
		expires time.Time
	}
	entries := rapid.SampledFrom([]core.HostID{"a", "b", "c", "d"})
	rapid.Check(t, func(t *rapid.T) {
		offers := admission.NewOffers()
		now := time.Unix(0, 0)
		grants := make(map[core.HostID]heldGrant)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				entry := entries.Draw(t, "entry")
				free := rapid.IntRange(-2, 12).Draw(t, "free")
				grant := offers.Offer(now, entry, free)
				grants[entry] = heldGrant{slots: grant.Slots, expires: grant.Expires}
				sum := 0
				for _, h := range grants {
					if now.Before(h.expires) {
						sum += h.slots
					}
				}
				if grant.Slots > 0 {
					require.LessOrEqual(t, sum, free, "offers outstanding")
				}
			},
			"use": func(t *rapid.T) {
				entry := entries.Draw(t, "entry")
				offers.ConsumeSlot(now, entry)
				if h := grants[entry]; h.slots > 0 && now.Before(h.expires) {
					h.slots--
					grants[entry] = h
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
			},
		})
	})
}

// TestOneFreeSlotIsGrantedToAllEntriesInTurn guards against starvation: an entry that asks again before its offer expires
// must not keep the only free slot.
func TestOneFreeSlotIsGrantedToAllEntriesInTurn(t *testing.T) {
	offers := admission.NewOffers()
	now := time.Unix(0, 0)
	got := make(map[core.HostID]int)
	for range 12 {
		for _, entry := range []core.HostID{"a", "b", "c"} {
			got[entry] += offers.Offer(now, entry, 1).Slots
		}
		now = now.Add(time.Second)
	}
	for _, entry := range []core.HostID{"a", "b", "c"} {
		require.Positive(t, got[entry], "entry %s never received the slot: %v", entry, got)
	}
}
