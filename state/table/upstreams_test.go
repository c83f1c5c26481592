package table

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// TestSettledGrantIsUsedUpByAsManyRequestsAsItHasSlots guards against one request too many on a grant that came with the
// last frame of a request that still counted, and against a load that counts it twice.
func TestSettledGrantIsUsedUpByAsManyRequestsAsItHasSlots(t *testing.T) {
	u := NewUpstreams()
	host := core.Host{ID: "agent-1", Upstream: "guava-llm"}
	u.Set(core.AgentStatus{Host: host, Incarnation: "1", State: core.UpstreamCold, Limit: 1})
	u.Start(host.ID)
	load := Load{State: core.UpstreamWarming, Limit: 4, InFlight: 2, Seen: time.Unix(0, 0)}
	u.RecordResponseEnd(host.ID, "1", load, core.Grant{Slots: 2, Expires: time.Unix(1, 0)})
	u.Finish(host.ID)
	agent := u.List()[0]
	require.Equal(t, load, Load{State: agent.State, Limit: agent.Limit, InFlight: agent.InFlight, Seen: agent.Seen})
	require.Equal(t, 2, agent.Grant.Slots)
	u.Start(host.ID)
	u.Start(host.ID)
	agent = u.List()[0]
	require.Equal(t, 4, agent.InFlight)
	require.Zero(t, agent.Grant.Slots)
}

// TestReserveSeesEachAgentOfItsUpstreamOnce guards against a group that keeps agents that left or moved.
func TestReserveSeesEachAgentOfItsUpstreamOnce(t *testing.T) {
	u := NewUpstreams()
	for _, id := range []core.HostID{"b", "a", "c", "b"} {
		u.Set(core.AgentStatus{Host: core.Host{ID: id, Upstream: "guava-llm"}})
	}
	u.Set(core.AgentStatus{Host: core.Host{ID: "c", Upstream: "pedidos"}})
	u.Remove("a")
	chosen, ok := u.Reserve("guava-llm", func(agents []core.AgentStatus) int {
		require.Len(t, agents, 1)
		return 0
	})
	require.True(t, ok)
	require.Equal(t, core.HostID("b"), chosen.Host.ID)
	require.Equal(t, 1, u.List()[0].InFlight)
	_, ok = u.Reserve("other", func(agents []core.AgentStatus) int { return len(agents) - 1 })
	require.False(t, ok)
}
