package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// TestStatedLimitsOfAReplicaOverlap guards against responses that arrive in another order than they were made in: an older one ends a
// limit or raises it, or one of an earlier process is taken for the present one's.
func TestStatedLimitsOfAReplicaOverlap(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	choice, _ := b.Pick(start, request())
	limit := func(perSecond float64) fleet.RequestLimit {
		return fleet.RequestLimit{Stated: true, PerSecond: perSecond}
	}
	state := func() fleet.RequestLimit { return b.States(start)[0].RequestLimit }
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	require.NotNil(t, b.RecordLimit(at(100), choice, at(50), limit(2)))
	require.Nil(t, b.RecordLimit(at(150), choice, at(90), fleet.RequestLimit{}), "sent before the limit was known")
	require.Nil(t, b.RecordLimit(at(160), choice, at(155), fleet.RequestLimit{Malformed: true}))
	b.RecordLimit(at(170), choice, at(60), limit(9))
	require.Equal(t, limit(2), state(), "not known to be newer")
	b.RecordLimit(at(250), choice, at(200), limit(9))
	require.Equal(t, limit(9), state())
	change := b.RecordLimit(at(350), choice, at(300), fleet.RequestLimit{})
	require.NotNil(t, change)
	require.Equal(t, 250*time.Millisecond, change.Known)
	require.Equal(t, fleet.RequestLimit{}, state())

	b.RecordLimit(at(450), choice, at(400), limit(2))
	successor := member("r1", "a")
	successor.Born = 2
	b.SetView(view(successor))
	require.Equal(t, fleet.RequestLimit{}, state(), "of the earlier process")
	next, verdict := b.Pick(at(500), request())
	require.Equal(t, dispatch.VerdictChosen, verdict)
	b.RecordLimit(at(510), next, at(500), limit(3))
	require.Nil(t, b.RecordLimit(at(520), choice, at(505), limit(9)), "a late response of the earlier process")
	require.Equal(t, limit(3), state())
}

// TestReportWithoutALimitEndsOnlyWhatReportsHaveStated guards against reports of an agent that never has the limit and ends one that
// responses state, and against one that was made before the response.
func TestReportWithoutALimitEndsOnlyWhatReportsHaveStated(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	choice, _ := b.Pick(start, request())
	limit := fleet.RequestLimit{Stated: true, PerSecond: 2}
	models := member("r1", "a").Models
	b.RecordLimit(start, choice, start.Add(-time.Second), limit)
	require.Nil(t, b.RecordReport(start.Add(time.Minute), "r1", dispatch.Report{Models: models}))
	require.Equal(t, limit, b.States(start)[0].RequestLimit)

	now := start.Add(time.Hour)
	require.Nil(t, b.RecordReport(now, "r1", dispatch.Report{Models: models, RequestLimit: limit}))
	require.Nil(t, b.RecordReport(now.Add(200*time.Millisecond), "r1", dispatch.Report{Models: models}))
	require.NotNil(t, b.RecordReport(now.Add(time.Second), "r1", dispatch.Report{Models: models}))
}

// TestRequestChosenBeforeALimitWasKnownIsNotSent guards against requests that were waiting for their connection when their replica stated
// a limit.
func TestRequestChosenBeforeALimitWasKnownIsNotSent(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	first, _ := b.Pick(start, request())
	waiting, _ := b.Pick(start, request())
	b.RecordLimit(start.Add(time.Millisecond), first, start, fleet.RequestLimit{Stated: true, PerSecond: 1})
	require.False(t, b.MaySend(start.Add(2*time.Millisecond), waiting))
}

// TestRequestsAreRefusedAtOnceWhenOnlyLimitedReplicasAreLeft guards against requests that wait for replicas whose limits leave this host
// no request for longer than they can wait.
func TestRequestsAreRefusedAtOnceWhenOnlyLimitedReplicasAreLeft(t *testing.T) {
	b := newBalancer(member("r1", "a"), member("r2", "a"))
	verdict := dispatch.VerdictChosen
	var choice dispatch.Choice
	for range 4 {
		if choice, verdict = b.Pick(start, request()); verdict != dispatch.VerdictChosen {
			break
		}
		b.RecordLimit(start, choice, start.Add(-time.Second), fleet.RequestLimit{Stated: true, PerSecond: 0.5})
	}
	require.Equal(t, dispatch.VerdictLimited, verdict)
	require.True(t, choice.HeldUntil.After(start))
	next, verdict := b.Pick(choice.HeldUntil, request())
	require.Equal(t, dispatch.VerdictChosen, verdict)
	require.True(t, b.MaySend(choice.HeldUntil, next))
	require.False(t, b.MaySend(choice.HeldUntil.Add(5*time.Second), next), "after a pause")
}

// TestTinyPartOfARequestLimitLeavesNoRequests guards against a part so small that the time to its next permit overflows, which lets any
// number of requests pass on some processors.
func TestTinyPartOfARequestLimitLeavesNoRequests(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	chosen := 0
	for number := range 1000 {
		now := start.Add(time.Duration(number) * 10 * time.Millisecond)
		b.RecordReport(now, "r1", dispatch.Report{
			Senders: 8, Share: 1e-300, Models: member("r1", "a").Models, RequestLimit: fleet.RequestLimit{Stated: true, PerSecond: 1.7},
		})
		if choice, verdict := b.Pick(now, request()); verdict == dispatch.VerdictChosen {
			chosen++
			b.Done(now, choice, dispatch.OutcomeServed, time.Millisecond)
		}
	}
	require.LessOrEqual(t, chosen, 1)
}
