package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// TestPermitIsRenewedDuringALongLoad guards against a lease that other hosts see expire while its holder's engine is
// still loading.
func TestPermitIsRenewedDuringALongLoad(t *testing.T) {
	s := newAgentFixture()
	s.engine.status.Digest = "old"
	s.rollout.deps.Monitor.Poll(t.Context())
	s.rollout.deps.Config.LeaseTTL = renewalsPerLease * time.Millisecond
	s.rollout.deps.Fetcher.deps.Config.Strategy = transfer.StrategyDirect
	s.spec.Target = &settings.VersionRef{Version: "v1", Digest: s.publish("v1", []byte("contents"))}
	s.applySpec()
	s.engine.duringLoad = func() {
		before := s.store.writeCount()
		// The timeout only ends a test without renewals.
		require.Eventually(t, func() bool { return s.store.writeCount() >= before+2 }, fetchTimeout, time.Millisecond)
	}
	require.NoError(t, s.rollout.step(t.Context()))
	require.Equal(t, 1, s.engine.loadCount)
}

// writeCount returns the number of writes that took effect.
func (s *memoryStore) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}
