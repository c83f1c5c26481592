package transfer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
)

// TestSlotsAreReservedForHostsOfOtherRegions reproduces a rollout to 58 hosts: 19 hosts of the same region occupied all
// slots of the only holder of a chunk, which delayed the first copy to another region by 1.4 s.
func TestSlotsAreReservedForHostsOfOtherRegions(t *testing.T) {
	uploads := transfer.NewUploadSlots(2, 1)
	require.True(t, uploads.TryAcquire(false))
	require.True(t, uploads.TryAcquire(false))
	require.False(t, uploads.TryAcquire(false))
	require.True(t, uploads.TryAcquire(true))
	require.False(t, uploads.TryAcquire(true))
	uploads.Release()
	require.False(t, uploads.TryAcquire(false), "the slots for hosts of the same region are still in use")
	uploads.Release()
	require.True(t, uploads.TryAcquire(false))
}
