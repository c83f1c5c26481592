package table_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
)

// TestUnreachableHostIsSuspect guards against a failed host that stays live because the host list lags behind.
func TestUnreachableHostIsSuspect(t *testing.T) {
	m := table.NewMembers()
	host := core.Host{ID: "h", Incarnation: "1", State: core.HostLive}
	m.Replace([]core.Host{host})
	m.MarkUnreachable("h")
	require.Equal(t, core.HostSuspect, m.List()[0].State)
	m.Replace([]core.Host{host})
	require.Equal(t, core.HostSuspect, m.List()[0].State, "replacing the list discards the observation")
	m.MarkReachable("h", "1")
	require.Equal(t, core.HostLive, m.List()[0].State)
	m.MarkUnreachable("h")
	host.State = core.HostLeaving
	m.Replace([]core.Host{host})
	require.Equal(t, core.HostLeaving, m.List()[0].State)
}

// TestRestartedProcessIsNotTreatedAsLeaving guards against a restarted process that gets no requests because the record of its
// predecessor at the same address says that it is leaving.
func TestRestartedProcessIsNotTreatedAsLeaving(t *testing.T) {
	m := table.NewMembers()
	m.Replace([]core.Host{{ID: "h", Incarnation: "1", State: core.HostLeaving}})
	m.MarkReachable("h", "1")
	require.Equal(t, core.HostLeaving, m.List()[0].State)
	m.MarkReachable("h", "2")
	require.Equal(t, core.HostLive, m.List()[0].State)
	require.Equal(t, core.Incarnation("2"), m.List()[0].Incarnation)
	m.MarkReachable("unknown", "1")
	require.Len(t, m.List(), 1)
}
