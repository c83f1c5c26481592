package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// newRankedBalancer returns a Balancer with one replica of 12 slots, whose upstream has routes of two priorities.
func newRankedBalancer(priorities ...int) (*dispatch.Balancer, []fleet.LoadedModel) {
	replica := member("r1", "a")
	replica.Slots = 12
	v := view(replica)
	for _, priority := range priorities {
		v.Configuration.Routes = append(v.Configuration.Routes, fleet.Route{
			Priority: priority, Targets: []fleet.Target{{Upstream: "llm"}},
		})
	}
	b := newBalancer()
	b.SetView(v)
	return b, replica.Models
}

// sentWith returns how many requests of a priority a replica gets that runs some already and whose report has a demand by priority.
func sentWith(b *dispatch.Balancer, report dispatch.Report, priority int, age time.Duration) int {
	b.RecordReport(start, "r1", report)
	req := request()
	req.Priority = priority
	sent := 0
	for range 20 {
		if _, verdict := b.Pick(start.Add(age), req); verdict == dispatch.VerdictChosen {
			sent++
		}
	}
	return sent
}

// TestLessUrgentRequestsLeaveSlotsWhileUrgentOnesAreExpected guards against less urgent requests that take the last slots, which the
// urgent demand of all hosts needs, and against more reserved slots than PriorityReserve allows.
func TestLessUrgentRequestsLeaveSlotsWhileUrgentOnesAreExpected(t *testing.T) {
	limit := 12 + config().RankedOvercommit
	for _, c := range []struct {
		demand   []float64
		reserved int
	}{{[]float64{4, 0, 50}, 1}, {[]float64{4, 4, 50}, 2}, {[]float64{4000, 0, 50}, 3}, {[]float64{0, 0, 50}, 0}, {[]float64{0.2, 0, 50}, 0}} {
		b, models := newRankedBalancer(0, 2)
		require.Equal(t, limit-c.reserved, sentWith(b, dispatch.Report{Models: models, Demand: c.demand}, 2, 0), "demand %v", c.demand)
		b, models = newRankedBalancer(0, 2)
		require.Equal(t, limit, sentWith(b, dispatch.Report{Models: models, Demand: c.demand}, 0, 0))
	}
}

// TestNothingIsReservedWithoutAFreshReport guards against slots that stay empty because a report was lost or an old one is believed, and
// against a reservation from a report without totals.
func TestNothingIsReservedWithoutAFreshReport(t *testing.T) {
	b, models := newRankedBalancer(0, 2)
	demand := []float64{40, 0, 5}
	require.Equal(t, 13, sentWith(b, dispatch.Report{Models: models, Demand: demand}, 2, config().MaxReportAge+time.Millisecond))
	b, models = newRankedBalancer(0, 2)
	require.Equal(t, 13, sentWith(b, dispatch.Report{Models: models}, 2, 0))
}

// TestUpstreamWithOnePriorityIsServedAsBefore guards against a reservation in deployments whose routes have one priority for each upstream.
func TestUpstreamWithOnePriorityIsServedAsBefore(t *testing.T) {
	b, models := newRankedBalancer(1, 1)
	require.Equal(t, 13, sentWith(b, dispatch.Report{Models: models, Demand: []float64{40, 0, 5}}, 2, 0))
	require.Empty(t, (&fleet.Configuration{Routes: []fleet.Route{
		{Priority: 1, Targets: []fleet.Target{{Upstream: "llm"}}}, {Priority: 2, Targets: []fleet.Target{{Upstream: core.Upstream("orders")}}},
	}}).RankedUpstreams())
}

// TestMinimumShareIsNotReserved guards against a priority that starves because all free slots are reserved for others.
func TestMinimumShareIsNotReserved(t *testing.T) {
	b, models := newRankedBalancer(0, 2)
	b.RecordReport(start, "r1", dispatch.Report{Models: models, Running: 14, Demand: []float64{40, 0, 5}})
	req := request()
	req.Priority = 2
	_, verdict := b.Pick(start, req)
	require.Equal(t, dispatch.VerdictFull, verdict)
	req.Guaranteed = true
	_, verdict = b.Pick(start, req)
	require.Equal(t, dispatch.VerdictChosen, verdict)
}

// TestHostsShareTheLastSlotsOfARankedReplica guards against hosts that each round their part of the free slots up and together send many
// more requests than there are, which then wait at the replica and not in the order of their rank.
func TestHostsShareTheLastSlotsOfARankedReplica(t *testing.T) {
	const hosts, reports = 20, 50
	b, models := newRankedBalancer(0, 2)
	sent, free := 0, 12+config().RankedOvercommit-11
	for i := range hosts * reports {
		now := start.Add(time.Duration(i) * time.Second)
		b.RecordReport(now, "r1", dispatch.Report{Running: 11, Senders: hosts, Models: models, Demand: []float64{40, 0, 5}})
		for {
			choice, verdict := b.Pick(now, request())
			if verdict != dispatch.VerdictChosen {
				break
			}
			sent++
			b.Done(now, choice, dispatch.OutcomeServed, time.Millisecond)
		}
	}
	require.LessOrEqual(t, sent, 2*free*reports)
	require.GreaterOrEqual(t, sent, free*reports)
}
