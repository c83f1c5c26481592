package table

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// TestGrantAtResponseEndAdmitsAsManyRequestsAsItHasSlots guards against off-by-one errors at the end of a response: while this
// entry still counts the request as in flight, the last frame of its response brings a grant and a load that exclude it. The
// grant would then admit one request too many, or the load would count the request twice.
func TestGrantAtResponseEndAdmitsAsManyRequestsAsItHasSlots(t *testing.T) {
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

// TestReserveSeesEachAgentOfItsUpstreamOnce guards against agents that stay in the group of an upstream after they were
// removed or moved to another upstream.
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
