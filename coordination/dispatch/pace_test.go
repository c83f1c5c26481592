package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
)

// pacedPair returns a balancer with a slow replica r1 and a usual one r2, which have just stated their pace.
func pacedPair(seed uint64) *dispatch.Balancer {
	b := dispatch.NewBalancer(config(), rand.New(rand.NewPCG(seed, 1)))
	b.SetView(view(member("r1", "a"), member("r2", "a")))
	b.RecordReport(start, "r1", dispatch.Report{Slots: 4, CurrentPace: 2.5})
	b.RecordReport(start, "r2", dispatch.Report{Slots: 4, CurrentPace: 1})
	return b
}

// shareOfFirst returns how often r1 gets a single request at an age of the stated paces.
func shareOfFirst(age time.Duration) float64 {
	first := 0
	for seed := range uint64(200) {
		if choice, _ := pacedPair(seed).Pick(start.Add(age), request()); choice.ID == "r1" {
			first++
		}
	}
	return float64(first) / 200
}

// TestStatedPaceCountsForAMomentOnly guards against a replica that is avoided because of a pace that has long changed, or that counts as
// failing because of it.
func TestStatedPaceCountsForAMomentOnly(t *testing.T) {
	require.Zero(t, shareOfFirst(50*time.Millisecond))
	require.InDelta(t, 0.5, shareOfFirst(450*time.Millisecond), 0.15)
	b := pacedPair(1)
	for _, state := range b.States(start) {
		require.Zero(t, state.Failing)
		require.True(t, state.OutUntil.IsZero())
	}
	// A full replica is not better than a slow one.
	b.RecordReport(start.Add(time.Second), "r1", dispatch.Report{Slots: 4, CurrentPace: 2.5})
	b.RecordReport(start.Add(time.Second), "r2", dispatch.Report{Slots: 4, Running: 4, Waiting: 1, CurrentPace: 1})
	choice, _ := b.Pick(start.Add(time.Second), request())
	require.EqualValues(t, "r1", choice.ID)
}
