package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// TestPermitIsRenewedDuringALongLoad guards against a lease that lapses for others while its holder's engine loads.
func TestPermitIsRenewedDuringALongLoad(t *testing.T) {
	s := newSite()
	s.engine.status.Digest = "old"
	s.rollout.parts.Monitor.Poll(t.Context())
	s.rollout.parts.Config.LeaseTTL = renewalsPerLease * time.Millisecond
	s.rollout.parts.Fetcher.parts.Config.Strategy = transfer.StrategyDirect
	s.spec.Target = &settings.VersionRef{Version: "v1", Digest: s.publish("v1", []byte("contents"))}
	s.apply()
	s.engine.during = func() {
		before := s.store.writes()
		// The timeout only ends a test whose renewals never come.
		require.Eventually(t, func() bool { return s.store.writes() >= before+2 }, fetchTimeout, time.Millisecond)
	}
	require.NoError(t, s.rollout.step(t.Context()))
	require.Equal(t, 1, s.engine.loadCount)
}

// writes returns the number of writes that took effect.
func (s *memoryStore) writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}
