package workload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/workload"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

var start = time.Unix(1000, 0)

func stream(priority int, elapsed time.Duration) workload.Request {
	return workload.Request{
		Priority: priority, Arrived: start, Elapsed: elapsed, Objective: 400 * time.Millisecond,
		Deadline: start.Add(6*time.Second - elapsed), FirstEvent: 100 * time.Millisecond, Work: 1,
	}
}

// TestRankOrdersByPriorityObjectiveAndTimeLeft guards against a request that goes before one whose delay costs more, and against a
// returned caller that goes after new ones although it can still be served in time.
func TestRankOrdersByPriorityObjectiveAndTimeLeft(t *testing.T) {
	large := stream(1, 0)
	large.Work = 100
	ordered := []workload.Request{
		stream(0, 0), stream(0, time.Second), stream(1, 200*time.Millisecond), stream(1, 0), large,
		stream(1, 5750*time.Millisecond), stream(1, 2*time.Second), stream(1, time.Second), stream(2, 0),
	}
	for i := 1; i < len(ordered); i++ {
		before, after := workload.RankAt(start, ordered[i-1]), workload.RankAt(start, ordered[i])
		require.Negative(t, before.Compare(after), "position %d", i)
		require.Positive(t, after.Compare(before), "position %d", i)
	}
	rank := workload.RankAt(start, large)
	require.Equal(t, start.Add(300*time.Millisecond), rank.StartBy)
	require.True(t, workload.RankAt(start.Add(301*time.Millisecond), large).Lost)
	small := stream(1, 0)
	small.Arrived = start.Add(41 * time.Millisecond)
	require.Negative(t, rank.Compare(workload.RankAt(start, small)), "the influence of the work is bounded")
}

// TestWorkUsesTheFiguresOfTheEngine guards against a cost that ignores the lengths, and against missing lengths that count as none.
func TestWorkUsesTheFiguresOfTheEngine(t *testing.T) {
	engine := &fleet.EngineSpec{Slots: 12, Performance: &fleet.EnginePerformance{
		Step: 9 * time.Millisecond, ReadTokensPerSecond: 20_000, UsualPromptTokens: 900, UsualOutputTokens: 100,
	}}
	require.InDelta(t, 1, workload.Work(engine, 0, 0), 1e-9)
	require.InDelta(t, 1, workload.Work(nil, 5000, 5000), 1e-9)
	require.Greater(t, workload.Work(engine, 3600, 0), 1.1)
	require.InDelta(t, 2, workload.Work(engine, 1800, 200), 1e-9)
}

// TestMinimumShareOfEachPriority guards against a priority that starves while others are served, and against a guarantee that a priority
// gets although it is served like the others.
func TestMinimumShareOfEachPriority(t *testing.T) {
	shares := &workload.Shares{}
	served := 0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		shares.Arrived(now, 0)
		shares.Started(now, 0)
		shares.Arrived(now, 2)
		if shares.BelowMinimum(now, 2) {
			shares.Started(now, 2)
			served++
		}
		require.False(t, shares.BelowMinimum(now, 0))
	}
	require.InDelta(t, workload.MinimumShare, float64(served)/400, 0.05)
}
