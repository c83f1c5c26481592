package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/config"
	entryhttp "github.com/guavatrestle/guavatrestle/transport/entry"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

// keepAlivesPerDeadline is the least number of keep-alive frames within the entry's progress deadline, so that a few
// late ones do not end a request.
const keepAlivesPerDeadline = 4

// TestKeepAlivesBeatTheProgressDeadline guards against an entry that gives up on a slow response whose agent is alive.
func TestKeepAlivesBeatTheProgressDeadline(t *testing.T) {
	keepAlive := upstream.DefaultTiming().KeepAliveInterval
	require.LessOrEqual(t, keepAlivesPerDeadline*keepAlive, entryhttp.DefaultTuning().ProgressTimeout)
}

// TestDefaultProgressTimeoutsAgree guards against two defaults of one timeout that drift apart.
func TestDefaultProgressTimeoutsAgree(t *testing.T) {
	require.Equal(t, config.DefaultAgent().ProgressTimeout, upstream.DefaultTiming().ProgressTimeout)
}
