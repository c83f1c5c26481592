package lateness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/lateness"
)

var start = time.Unix(1000, 0)

// TestReturningCallerIsToldFromANewOne guards against taking a caller that comes back for a new one, and a new one for one that comes
// back because callers of another route wait longer.
func TestReturningCallerIsToldFromANewOne(t *testing.T) {
	e := lateness.NewEstimator()
	require.Zero(t, e.Elapsed(start, "r", 6*time.Second))
	require.Equal(t, 800*time.Millisecond, e.Elapsed(start, "r", 5200*time.Millisecond))
	require.Zero(t, e.Elapsed(start, "other", time.Second))
}

// TestShorterDeadlinesBecomeUsual guards against callers that count as late for ever after one of them has sent a longer deadline.
func TestShorterDeadlinesBecomeUsual(t *testing.T) {
	e := lateness.NewEstimator()
	e.Elapsed(start, "r", time.Minute)
	for second := range 61 {
		e.Elapsed(start.Add(time.Duration(second)*time.Second), "r", time.Second)
	}
	require.Zero(t, e.Elapsed(start.Add(62*time.Second), "r", time.Second))
}
