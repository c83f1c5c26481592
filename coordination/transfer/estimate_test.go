package transfer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
)

// TestEstimateStartsAgainWithEachTarget guards against a time left that is worked out from another version's progress.
func TestEstimateStartsAgainWithEachTarget(t *testing.T) {
	start := time.Unix(0, 0)
	var e transfer.Estimate
	_, known := e.Remaining(start, "v1", 0.25)
	require.False(t, known, "one look shows no rate")
	left, known := e.Remaining(start.Add(10*time.Second), "v1", 0.5)
	require.True(t, known)
	require.Equal(t, 20*time.Second, left)
	_, known = e.Remaining(start.Add(20*time.Second), "v2", 0.5)
	require.False(t, known)
	left, known = e.Remaining(start.Add(30*time.Second), "v2", 1)
	require.True(t, known)
	require.Zero(t, left)
}
