package ingress

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
)

// TestLoadHeaderWithFurtherFiguresStillHasALoad guards against a replica whose load is unknown because its header has a fourth figure,
// or a malformed one.
func TestLoadHeaderWithFurtherFiguresStillHasALoad(t *testing.T) {
	for value, pace := range map[string]float64{
		"1, 2,6": 0, "1,2,6,100": 1, "1,2,6, 250 ": 2.5, "1,2,6,x": 0, "1,2,6,": 0, "1,2,6,-5": 0, "1,2,6,NaN": 0, "1,2,6,1e30": 0,
		"1,2,6,130,what,ever": 1.3,
	} {
		report, ok := parseLoad(value)
		require.True(t, ok, value)
		require.Equal(t, dispatch.Report{Running: 1, Waiting: 2, Slots: 6, CurrentPace: pace}, report, value)
	}
	for _, value := range []string{"", "1,2", "1,x,6,100", "-1,2,6,100"} {
		_, ok := parseLoad(value)
		require.False(t, ok, value)
	}
}
