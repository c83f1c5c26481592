package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/config"
	entryhttp "github.com/guavatrestle/guavatrestle/transport/entry"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

// minKeepAlivesPerDeadline is the minimum number of keep-alive frames within the entry's progress deadline, so that a few
// late frames do not end a request.
const minKeepAlivesPerDeadline = 4

// TestKeepAlivesBeatTheProgressDeadline guards against an entry that ends a slow response although its agent sends
// keep-alive frames in time.
func TestKeepAlivesBeatTheProgressDeadline(t *testing.T) {
	keepAlive := upstream.DefaultTiming().KeepAliveInterval
	require.LessOrEqual(t, minKeepAlivesPerDeadline*keepAlive, entryhttp.DefaultTuning().ProgressTimeout)
}

// TestDefaultProgressTimeoutsAgree guards against two different defaults for the same timeout.
func TestDefaultProgressTimeoutsAgree(t *testing.T) {
	require.Equal(t, config.DefaultAgent().ProgressTimeout, upstream.DefaultTiming().ProgressTimeout)
}
