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

// leaving starts to leave a gate that has one request in flight and has made offers to entries.
func leaving(ctx context.Context, entries ...core.HostID) (gate *upstream.Gate, ticket admission.Ticket, left <-chan struct{}) {
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

func ended(c <-chan struct{}) bool {
	synctest.Wait()
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestLeaveWaitsForRequestsAndEntries guards against a listener that closes on a request or on an entry that sends one.
func TestLeaveWaitsForRequestsAndEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, ticket, left := leaving(t.Context(), "entry-1", "entry-2")
		gate.Told("entry-1")
		gate.Told("entry-2")
		require.False(t, ended(left), "a request is in flight")
		gate.Finish(ticket, admission.OutcomeCompleted)
		require.True(t, ended(left))

		gate, ticket, left = leaving(t.Context(), "entry-1", "entry-2")
		gate.Finish(ticket, admission.OutcomeCompleted)
		gate.Told("entry-1")
		require.False(t, ended(left), "entry-2 does not know yet")
		service := upstream.NewService(core.Host{}, table.NewSettings(), table.NewChunks(), gate)
		status, err := service.Status(t.Context(), &wire.StatusRequest{Host: "entry-2"})
		require.NoError(t, err)
		require.True(t, status.GetLeaving())
		require.True(t, ended(left))
	})
}

// TestLeaveGivesUpOnASilentEntry guards against a shutdown that waits for an entry that is gone.
func TestLeaveGivesUpOnASilentEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		gate, ticket, left := leaving(t.Context(), "entry-1")
		gate.Finish(ticket, admission.OutcomeCompleted)
		<-left
		require.Equal(t, 2*time.Second, time.Since(start), "virtual time")
	})
}

// TestLeaveEndsWithItsContext guards against a shutdown that outlasts its time limit.
func TestLeaveEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		_, _, left := leaving(ctx, "entry-1")
		cancel()
		require.True(t, ended(left))
	})
}
