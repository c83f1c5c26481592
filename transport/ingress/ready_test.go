package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// TestHostThatFallsBehindIsNotReady guards against new callers for a host whose processor does not keep up.
func TestHostThatFallsBehindIsNotReady(t *testing.T) {
	behind := false
	table := fleet.NewTable()
	table.SetConfiguration(&fleet.Configuration{Version: 1})
	h := &Handler{Dependencies: Dependencies{
		Current: func() (*fleet.View, time.Duration) { return table.View(), 0 },
		Leaving: func() bool { return false },
		Behind:  func() bool { return behind },
	}}
	ready, _ := h.Ready()
	require.True(t, ready)
	behind = true
	ready, reason := h.Ready()
	require.False(t, ready)
	require.Equal(t, "processor falls behind", reason)
}
