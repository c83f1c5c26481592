package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// TestLeavingReplicaGetsNothingNew guards against new requests to a replica that has said it is leaving, also when its
// registration lapses and comes back, and against avoiding its successor with the same ID.
func TestLeavingReplicaGetsNothingNew(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	choice, verdict := b.Pick(start, request())
	require.Equal(t, dispatch.VerdictChosen, verdict)
	require.True(t, b.MaySend(start, choice))
	b.MarkLeaving(start, choice)
	require.False(t, b.MaySend(start, choice), "chosen before the replica said so")

	b.SetView(view())
	b.SetView(view(member("r1", "a")))
	_, verdict = b.Pick(start.Add(time.Hour), request())
	require.Equal(t, dispatch.VerdictNoCandidate, verdict)

	successor := member("r1", "a")
	successor.Born = 2
	b.SetView(view(successor))
	_, verdict = b.Pick(start.Add(time.Hour), request())
	require.Equal(t, dispatch.VerdictChosen, verdict)
}

// TestReportOfLeavingReplicaIsHeeded guards against an entry that sends to a leaving replica because it got no response of its
// own from it.
func TestReportOfLeavingReplicaIsHeeded(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	b.RecordReport(start, "r1", dispatch.Report{Leaving: true})
	_, verdict := b.Pick(start, request())
	require.Equal(t, dispatch.VerdictNoCandidate, verdict)
}

// TestReplicaIsLeftAloneForTheTimeItAskedFor guards against requests to a replica before the end of its Retry-After, also when its
// registration lapses meanwhile, and against callers that wait although no replica takes requests.
func TestReplicaIsLeftAloneForTheTimeItAskedFor(t *testing.T) {
	b := newBalancer(member("r1", "a"), member("r2", "a"))
	choice, _ := b.Pick(start, request())
	b.HoldOff(start, choice.ID, 5*time.Second)
	require.False(t, b.MaySend(start, choice), "chosen before the replica asked")
	other, verdict := b.Pick(start, request())
	require.Equal(t, dispatch.VerdictChosen, verdict)
	require.NotEqual(t, choice.ID, other.ID)

	b.HoldOff(start, other.ID, 3*time.Second)
	b.HoldOff(start, other.ID, time.Second)
	b.SetView(view())
	b.SetView(view(member("r1", "a"), member("r2", "a")))
	held, verdict := b.Pick(start.Add(2*time.Second), request())
	require.Equal(t, dispatch.VerdictHeldOff, verdict)
	require.Equal(t, start.Add(3*time.Second), held.HeldUntil)

	next, verdict := b.Pick(start.Add(3*time.Second), request())
	require.Equal(t, dispatch.VerdictChosen, verdict)
	require.Equal(t, other.ID, next.ID)
}

// TestNoticesOfReplicasThatAreGoneAreDropped guards against memory that grows with every replica that ever left.
func TestNoticesOfReplicasThatAreGoneAreDropped(t *testing.T) {
	b := newBalancer()
	for number := range 10_000 {
		id := fleet.ReplicaID(time.Duration(number).String())
		b.HoldOff(start.Add(time.Duration(number)*time.Minute), id, time.Second)
	}
	require.Less(t, b.NoticeCount(), 1000)
}
