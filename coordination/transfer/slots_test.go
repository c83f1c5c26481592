package transfer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// narrowLink is a link of 1.2 Mbit/s on which fetches share the bandwidth; the time of a chunk is the delay that the queue
// adds to a live request.
func narrowLink(atOnce int) time.Duration {
	const chunkBits, linkBits = 49152 * 8, 1.2e6
	return time.Duration(float64(atOnce) * chunkBits / linkBits * float64(time.Second))
}

// TestNarrowLinkIsNotFilledWithChunks replays a link squeezed to 1.2 Mbit/s during a rollout: three chunks at once delayed
// each request, and each cancellation, by about a second.
func TestNarrowLinkIsNotFilledWithChunks(t *testing.T) {
	slots := NewFetchLimiter(3)
	require.Greater(t, narrowLink(slots.Limit()), 900*time.Millisecond)
	for range 20 {
		slots.RecordDuration(narrowLink(slots.Limit()))
	}
	require.Equal(t, 1, slots.Limit())
	require.Less(t, narrowLink(slots.Limit()), 350*time.Millisecond)
}

// TestSlotsComeBackWithTheBandwidth guards against a rollout that stays slow after a link has recovered.
func TestSlotsComeBackWithTheBandwidth(t *testing.T) {
	slots := NewFetchLimiter(3)
	slots.RecordDuration(time.Second)
	for range 2 {
		slots.RecordDuration(50 * time.Millisecond)
	}
	require.Equal(t, 3, slots.Limit())
}
