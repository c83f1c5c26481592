package headers_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// TestMalformedRequestLimitIsNoLimit guards against a rate that is negative, infinite or no number, and against one that
// a malformed value ends.
func TestMalformedRequestLimitIsNoLimit(t *testing.T) {
	for _, value := range []string{
		"", "-1", "+1", "NaN", "Inf", "1e400", "1e3", "1,7", "1.", ".5", "0x1p3", "1_0", "1 2", strings.Repeat("9", 10_000),
	} {
		got := headers.RequestLimit(http.Header{"Res-Limit": {value}}, "Res-Limit")
		require.Equal(t, fleet.RequestLimit{Malformed: true}, got, value)
	}
	require.True(t, headers.RequestLimit(http.Header{"Res-Limit": {"1.7", "x"}}, "Res-Limit").Malformed)
}

// TestLowestOfSeveralRequestLimitsHolds guards against a higher limit that hides a lower one.
func TestLowestOfSeveralRequestLimitsHolds(t *testing.T) {
	for value, want := range map[string]float64{"1.7": 1.7, "0": 0, " 12 ": 12, "0.25": 0.25} {
		got := headers.RequestLimit(http.Header{"Res-Limit": {"40", value}}, "Res-Limit")
		require.Equal(t, fleet.RequestLimit{Stated: true, PerSecond: want}, got)
	}
	require.Equal(t, fleet.RequestLimit{}, headers.RequestLimit(http.Header{}, "Res-Limit"))
}
