package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// TestSilentEngineGetsNoRequests guards against an engine that looks idle because its host is suspended: without reports only this
// host's own requests counted, so that every host preferred it.
func TestSilentEngineGetsNoRequests(t *testing.T) {
	b := newBalancer(member("r1", "a"), member("r2", "a"), member("r3", "a"))
	for _, id := range []fleet.ReplicaID{"r1", "r2", "r3"} {
		b.RecordReport(start, id, dispatch.Report{Running: 3})
	}
	now := start.Add(2 * time.Second)
	b.RecordReport(now, "r2", dispatch.Report{Running: 3})
	b.RecordReport(now, "r3", dispatch.Report{Running: 5})
	for range 2 {
		choice, verdict := b.Pick(now, request())
		require.Equal(t, dispatch.VerdictChosen, verdict)
		require.EqualValues(t, "r2", choice.ID)
	}
	_, verdict := b.Pick(now, request())
	require.Equal(t, dispatch.VerdictFull, verdict)
	require.True(t, b.Silent(now, "r1"))
}

// TestRequestsGoOnWhenNoReportsArrive guards against refusing every request because this host gets no reports.
func TestRequestsGoOnWhenNoReportsArrive(t *testing.T) {
	b := newBalancer(member("r1", "a"), member("r2", "a"))
	b.RecordReport(start, "r1", dispatch.Report{})
	b.RecordReport(start, "r2", dispatch.Report{})
	_, verdict := b.Pick(start.Add(time.Minute), request())
	require.Equal(t, dispatch.VerdictChosen, verdict)
}

// TestMovedRequestMayExceedTheCapacity guards against losing the work on a request because no replica has room for it at the moment
// at which its own goes silent.
func TestMovedRequestMayExceedTheCapacity(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	b.RecordReport(start, "r1", dispatch.Report{Running: 4, Waiting: 1})
	_, verdict := b.Pick(start, request())
	require.Equal(t, dispatch.VerdictFull, verdict)
	moved := request()
	moved.Moved = true
	_, verdict = b.Pick(start, moved)
	require.Equal(t, dispatch.VerdictChosen, verdict)
}
