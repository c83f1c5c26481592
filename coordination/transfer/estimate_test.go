package transfer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
)

// TestEstimateRestartsWithEachTarget guards against an estimate that is based on the progress of an earlier target.
func TestEstimateRestartsWithEachTarget(t *testing.T) {
	start := time.Unix(0, 0)
	var estimate transfer.Estimate
	_, ok := estimate.Remaining(start, "v1", 0.25)
	require.False(t, ok, "a single sample gives no rate")
	remaining, ok := estimate.Remaining(start.Add(10*time.Second), "v1", 0.5)
	require.True(t, ok)
	require.Equal(t, 20*time.Second, remaining)
	_, ok = estimate.Remaining(start.Add(20*time.Second), "v2", 0.5)
	require.False(t, ok)
	remaining, ok = estimate.Remaining(start.Add(30*time.Second), "v2", 1)
	require.True(t, ok)
	require.Zero(t, remaining)
}
