package weights

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/state/config"
)

// TestTransfersKeepToEachRate guards against transfers that bypass a bucket. At one byte a second the burst passes at
// once; the next part would take 18 hours, which the limiter refuses immediately because ctx ends before.
func TestTransfersKeepToEachRate(t *testing.T) {
	waits := map[string]struct {
		cfg  config.Agent
		wait func(context.Context, *Limits) error
	}{
		"host down from origin": {hostLimit(), func(ctx context.Context, l *Limits) error { return l.WaitOrigin(ctx, burstBytes) }},
		"host down from peer":   {hostLimit(), func(ctx context.Context, l *Limits) error { return l.WaitPeer(ctx, burstBytes, false) }},
		"host up":               {hostLimit(), func(ctx context.Context, l *Limits) error { return l.WaitUpload(ctx, burstBytes) }},
		"origin": {
			config.Agent{Transfer: &config.Transfer{OriginBytesPerSecond: 1}},
			func(ctx context.Context, l *Limits) error { return l.WaitOrigin(ctx, burstBytes) },
		},
		"region": {
			config.Agent{Transfer: &config.Transfer{RegionBytesPerSecond: 1}},
			func(ctx context.Context, l *Limits) error { return l.WaitPeer(ctx, burstBytes, true) },
		},
	}
	for name, c := range waits {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			limits := NewLimits(c.cfg, func() bool { return false })
			require.NoError(t, c.wait(ctx, limits))
			require.Error(t, c.wait(ctx, limits))
			require.NoError(t, ctx.Err())
		})
	}
}

func hostLimit() config.Agent {
	return config.Agent{HostBytesPerSecond: 1, Transfer: &config.Transfer{}}
}

// TestTransfersYieldToLiveRequests guards against transfers that use the whole link while requests are in flight, and
// against transfers that stay slow after the last request.
func TestTransfersYieldToLiveRequests(t *testing.T) {
	const full, share = 1 << 30, 0.25
	live := true
	cfg := config.Agent{HostBytesPerSecond: full, Transfer: &config.Transfer{LiveShare: share}}
	limits := NewLimits(cfg, func() bool { return live })
	require.NoError(t, limits.WaitUpload(t.Context(), 1))
	require.Equal(t, rate.Limit(full*(1-share)), limits.upload.limiter.Limit())
	live = false
	require.NoError(t, limits.WaitUpload(t.Context(), 1))
	require.Equal(t, rate.Limit(full), limits.upload.limiter.Limit())
}
