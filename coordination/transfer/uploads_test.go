package transfer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
)

// TestOtherRegionsGetSlotsThatNearHostsCannotFill replays a rollout to 58 hosts: 19 near hosts filled the slots of the only
// holder of a chunk, and its first copy reached another region 1.4 s later.
func TestOtherRegionsGetSlotsThatNearHostsCannotFill(t *testing.T) {
	uploads := transfer.NewUploadSlots(2, 1)
	require.True(t, uploads.TryAcquire(false))
	require.True(t, uploads.TryAcquire(false))
	require.False(t, uploads.TryAcquire(false))
	require.True(t, uploads.TryAcquire(true))
	require.False(t, uploads.TryAcquire(true))
	uploads.Release()
	require.False(t, uploads.TryAcquire(false), "the slots for near hosts are still in use")
	uploads.Release()
	require.True(t, uploads.TryAcquire(false))
}
