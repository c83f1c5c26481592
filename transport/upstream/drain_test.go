package upstream_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

// startDrain starts draining a gate that has one request in flight and has made offers to entries. The channel is closed
// once Drain returns.
func startDrain(ctx context.Context, entries ...core.HostID) (gate *upstream.Gate, ticket admission.Ticket, drained <-chan struct{}) {
	gate = upstream.NewGate(admission.Config{ColdLimit: 1, WarmLimit: 1}, time.Now)
	gate.Observe(admission.Report{BootID: "a", ReadAt: time.Now()})
	for _, entry := range entries {
		gate.Offer(entry)
	}
	ticket, _ = gate.Admit(admission.Request{})
	done := make(chan struct{})
	go func() {
		gate.Drain(ctx)
		close(done)
	}()
	synctest.Wait()
	return gate, ticket, done
}

func isClosed(c <-chan struct{}) bool {
	synctest.Wait()
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestDrainWaitsForRequestsAndEntries guards against a listener that closes while a request is in flight or while an
// entry, not yet notified, may still send one.
func TestDrainWaitsForRequestsAndEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, ticket, drained := startDrain(t.Context(), "entry-1", "entry-2")
		gate.MarkNotified("entry-1")
		gate.MarkNotified("entry-2")
		require.False(t, isClosed(drained), "a request is in flight")
		gate.Finish(ticket, admission.OutcomeCompleted)
		require.True(t, isClosed(drained))

		gate, ticket, drained = startDrain(t.Context(), "entry-1", "entry-2")
		gate.Finish(ticket, admission.OutcomeCompleted)
		gate.MarkNotified("entry-1")
		require.False(t, isClosed(drained), "entry-2 has not been notified")
		service := upstream.NewService(core.Host{}, table.NewSettings(), table.NewChunks(), gate)
		status, err := service.Status(t.Context(), &wire.StatusRequest{Host: "entry-2"})
		require.NoError(t, err)
		require.True(t, status.GetLeaving())
		require.True(t, isClosed(drained))
	})
}

// TestDrainGivesUpOnASilentEntry guards against a shutdown that waits for an entry that no longer reads the status.
func TestDrainGivesUpOnASilentEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		gate, ticket, drained := startDrain(t.Context(), "entry-1")
		gate.Finish(ticket, admission.OutcomeCompleted)
		<-drained
		require.Equal(t, 2*time.Second, time.Since(start), "time until Drain returned, on the test's virtual clock")
	})
}

// TestDrainEndsWithItsContext guards against a shutdown that outlasts its time limit.
func TestDrainEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		_, _, drained := startDrain(ctx, "entry-1")
		cancel()
		require.True(t, isClosed(drained))
	})
}
