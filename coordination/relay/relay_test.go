package relay_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/relay"
	"github.com/guavatrestle/guavatrestle/state/core"
)

var start = time.Unix(1000, 0)

func addr(text string) netip.Addr { return netip.MustParseAddr(text) }

// TestEachFailureDomainHasOneDirectRelay guards against agents that elect different relays, and against relays that don't read the
// store or are in another failure domain.
func TestEachFailureDomainHasOneDirectRelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []relay.Candidate
		for number := range rapid.IntRange(0, 40).Draw(t, "hosts") {
			candidates = append(candidates, relay.Candidate{
				Address:       netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}),
				FailureDomain: rapid.SampledFrom([]core.FailureDomain{"a", "b", "c"}).Draw(t, "domain"),
				Direct:        rapid.Bool().Draw(t, "direct"),
			})
		}
		relays := relay.Elect(candidates)
		shuffled := rapid.Permutation(candidates).Draw(t, "order")
		require.Equal(t, relays, relay.Elect(shuffled))
		for _, candidate := range candidates {
			elected, ok := relays[candidate.FailureDomain]
			if candidate.Direct {
				require.True(t, ok)
				require.False(t, candidate.Address.Less(elected))
			}
			if elected == candidate.Address {
				require.True(t, candidate.Direct)
			}
		}
	})
}

// TestFailedOrForgottenRelayIsNotUsed guards against a host that keeps asking a relay that has failed or that nobody names any more.
func TestFailedOrForgottenRelayIsNotUsed(t *testing.T) {
	directory := relay.NewDirectory(addr("10.0.0.3"))
	_, ok := directory.Choose(start)
	require.False(t, ok)
	require.False(t, directory.Known(start))

	directory.Mention(start, addr("10.0.0.2"))
	directory.Mention(start, addr("10.0.0.1"))
	chosen, ok := directory.Choose(start)
	require.True(t, ok)
	require.Equal(t, addr("10.0.0.1"), chosen)

	directory.Fail(start, addr("10.0.0.1"))
	chosen, _ = directory.Choose(start)
	require.Equal(t, addr("10.0.0.2"), chosen)
	chosen, _ = directory.Choose(start.Add(2 * time.Second))
	require.Equal(t, addr("10.0.0.1"), chosen, "a relay that failed is tried again")

	_, ok = directory.Choose(start.Add(4 * time.Second))
	require.False(t, ok)
}

// TestRelayReadsTheStoreItself guards against a relay that asks itself or another host.
func TestRelayReadsTheStoreItself(t *testing.T) {
	directory := relay.NewDirectory(addr("10.0.0.1"))
	directory.Mention(start, addr("10.0.0.2"))
	directory.Mention(start, addr("10.0.0.1"))
	_, ok := directory.Choose(start)
	require.False(t, ok)
	require.True(t, directory.Elected(start))
}
