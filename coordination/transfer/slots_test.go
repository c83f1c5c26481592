package transfer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// narrowLink returns the duration of each of several concurrent fetches that share a link of 1.2 Mbit/s. It is also the delay
// that their queue adds to a live request.
func narrowLink(concurrent int) time.Duration {
	const chunkBits, linkBits = 49152 * 8, 1.2e6
	return time.Duration(float64(concurrent) * chunkBits / linkBits * float64(time.Second))
}

// aloneAtUsualBandwidth is the duration of a fetch of a chunk of 48 KiB that has a link of 9.4 Mbit/s for itself.
const aloneAtUsualBandwidth = 42 * time.Millisecond

// TestNarrowLinkIsNotFilledWithChunks reproduces a link limited to 1.2 Mbit/s during a rollout: three concurrent chunks
// delayed each request, and each cancellation, by about a second.
func TestNarrowLinkIsNotFilledWithChunks(t *testing.T) {
	limiter := NewFetchLimiter(3)
	require.Greater(t, narrowLink(limiter.Limit()), 900*time.Millisecond)
	for range 20 {
		limiter.RecordDuration(narrowLink(limiter.Limit()), aloneAtUsualBandwidth)
	}
	require.Equal(t, 1, limiter.Limit())
	require.Less(t, narrowLink(limiter.Limit()), 350*time.Millisecond)
}

// TestFetchLimitRecoversWithBandwidth guards against a rollout that stays slow after the link has regained its bandwidth.
func TestFetchLimitRecoversWithBandwidth(t *testing.T) {
	limiter := NewFetchLimiter(3)
	limiter.RecordDuration(time.Second, aloneAtUsualBandwidth)
	for range 2 {
		limiter.RecordDuration(50*time.Millisecond, aloneAtUsualBandwidth)
	}
	require.Equal(t, 3, limiter.Limit())
}

// TestFetchLimitRisesWhilePeersShareTheirLinks guards against a limit that stays at one after a slow fetch, because fetches from peers
// that serve several hosts are slower than one that has both links for itself.
func TestFetchLimitRisesWhilePeersShareTheirLinks(t *testing.T) {
	limiter := NewFetchLimiter(4)
	limiter.RecordDuration(time.Second, aloneAtUsualBandwidth)
	require.Equal(t, 1, limiter.Limit())
	for range 3 {
		limiter.RecordDuration(4*aloneAtUsualBandwidth+20*time.Millisecond, aloneAtUsualBandwidth)
	}
	require.Equal(t, 4, limiter.Limit())
}
