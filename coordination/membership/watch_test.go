package membership

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// TestSpareWatchesOnlyWhileAWatcherIsCutOff guards against a failure domain without a working watch when a watcher is cut off,
// and against more watches than the object API is planned for.
func TestSpareWatchesOnlyWhileAWatcherIsCutOff(t *testing.T) {
	order := []core.Host{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	watching := func(cutOff core.HostID) []core.HostID {
		var ids []core.HostID
		for _, host := range append(slices.Clone(order), core.Host{ID: "unknown"}) {
			if IsWatcher(order, host.ID, 2, func(id core.HostID) bool { return id == cutOff }) {
				ids = append(ids, host.ID)
			}
		}
		return ids
	}
	require.Equal(t, []core.HostID{"a", "b"}, watching(""))
	require.Equal(t, []core.HostID{"a", "b", "c", "d"}, watching("b"))
	require.Equal(t, []core.HostID{"a", "b"}, watching("e"), "a non-watcher that is cut off needs no spare")
	require.Empty(t, WatchersOfSpare(order, "a", 2))
	require.Len(t, WatchersOfSpare(order, "c", 2), 2)
	require.Empty(t, WatchersOfSpare(order, "e", 2))
	require.False(t, IsWatcher(nil, "a", 2, func(core.HostID) bool { return true }))
}
