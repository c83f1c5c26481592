package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

var start = time.Unix(1000, 0)

func replica(id fleet.ReplicaID, born int64) *fleet.Replica {
	return &fleet.Replica{ID: id, Upstream: "llm", Address: "10.0.0.1:80", FailureDomain: "a", Slots: 4, Born: born}
}

func ids(view *fleet.View) []fleet.ReplicaID {
	var list []fleet.ReplicaID
	for _, member := range view.Members {
		list = append(list, member.ID)
	}
	return list
}

// TestOlderConfigurationDoesNotReplaceNewer guards against a late, older configuration that overwrites the one in force.
func TestOlderConfigurationDoesNotReplaceNewer(t *testing.T) {
	table := fleet.NewTable()
	require.True(t, table.SetConfiguration(&fleet.Configuration{Version: 7}))
	require.False(t, table.SetConfiguration(&fleet.Configuration{Version: 6}))
	require.EqualValues(t, 7, table.View().Configuration.Version)
}

// TestRegistrationExpiredDuringOutageIsKeptForGracePeriod guards against dropping live replicas whose registrations expired
// while the store was unavailable.
func TestRegistrationExpiredDuringOutageIsKeptForGracePeriod(t *testing.T) {
	table := fleet.NewTable()
	table.SetReplica(start, 1, replica("r1", 1))
	table.SetReplica(start, 2, replica("r2", 1))
	table.StoreRecovered(start.Add(10 * time.Second))
	table.RemoveUnlisted(start.Add(10*time.Second), map[fleet.ReplicaID]bool{})
	require.Equal(t, []fleet.ReplicaID{"r1", "r2"}, ids(table.View()))

	table.SetReplica(start.Add(11*time.Second), 9, replica("r1", 1))
	require.True(t, table.Expire(start.Add(12*time.Second)))
	require.Equal(t, []fleet.ReplicaID{"r1"}, ids(table.View()))
}

// TestReplicaThatLeftDuringPartitionIsRemovedInTime guards against requests to a replica that left while this process could
// not reach the store. A network partition heals at 13.0 s, the replica leaves at 13.9 s and this process reaches the store
// at 14.0 s; the replica must be removed by 16.0 s.
func TestReplicaThatLeftDuringPartitionIsRemovedInTime(t *testing.T) {
	table := fleet.NewTable()
	table.SetReplica(start, 1, replica("r1", 1))
	recoveredAt := start.Add(14 * time.Second)
	table.StoreRecovered(recoveredAt)
	table.RemoveUnlisted(recoveredAt, nil)
	table.Expire(start.Add(16 * time.Second))
	require.Empty(t, table.View().Members)
}

// TestRemovedReplicaIsGoneAtOnceWithoutOutage guards against requests to a replica that has left.
func TestRemovedReplicaIsGoneAtOnceWithoutOutage(t *testing.T) {
	table := fleet.NewTable()
	table.SetReplica(start, 1, replica("r1", 1))
	table.RemoveReplica(start, "r1")
	require.Empty(t, table.View().Members)
}

// TestDrainingReplicaIsNotKeptAfterOutage guards against requests to a replica that was draining before the outage.
func TestDrainingReplicaIsNotKeptAfterOutage(t *testing.T) {
	table := fleet.NewTable()
	draining := replica("r1", 1)
	draining.Draining = true
	table.SetReplica(start, 1, draining)
	table.StoreRecovered(start)
	table.RemoveReplica(start, "r1")
	require.Empty(t, table.View().Members)
}

// TestDrainingHoldsUntilReplicaRestarts guards against a late registration that makes a draining replica usable again
// within the same run.
func TestDrainingHoldsUntilReplicaRestarts(t *testing.T) {
	table := fleet.NewTable()
	draining := replica("r1", 1)
	draining.Draining = true
	table.SetReplica(start, 2, draining)
	table.SetReplica(start, 1, replica("r1", 1))
	table.SetReplica(start, 3, replica("r1", 1))
	require.False(t, table.View().Members[0].Usable())

	table.SetReplica(start, 4, replica("r1", 2))
	require.True(t, table.View().Members[0].Usable())
}

// TestReplicasAreColdAfterTheirFailureDomainReturns guards against full load on replicas that became cold while their
// failure domain was out of service.
func TestReplicasAreColdAfterTheirFailureDomainReturns(t *testing.T) {
	table := fleet.NewTable()
	table.SetConfiguration(&fleet.Configuration{
		Version:   1,
		Upstreams: map[core.Upstream]fleet.UpstreamSpec{"llm": {ColdStart: 3 * time.Second}},
	})
	table.SetReplica(start, 1, replica("r1", 1))
	table.SetEvacuated(start, "a", true)
	require.False(t, table.View().Members[0].Usable())

	table.SetEvacuated(start.Add(time.Second), "a", false)
	member := table.View().Members[0]
	require.True(t, member.Usable())
	require.Equal(t, start.Add(4*time.Second), member.ColdUntil)
}

// TestRouteWithLongestPrefixWins guards against a request that matches a less specific route.
func TestRouteWithLongestPrefixWins(t *testing.T) {
	table := fleet.NewTable()
	table.SetConfiguration(&fleet.Configuration{Version: 1, Routes: []fleet.Route{
		{Name: "general", Host: "a.example", PathPrefix: "/x/"},
		{Name: "special", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}})
	view := table.View()
	require.Equal(t, "special", view.Route("A.example", "/x/y/z").Name)
	require.Equal(t, "general", view.Route("a.example", "/x/yz").Name)
	require.Nil(t, view.Route("a.example", "/xy"))
	require.Nil(t, view.Route("c.example", "/x/"))
}

// TestDumpHoldsNoKeys guards against API keys that leak into state dumps.
func TestDumpHoldsNoKeys(t *testing.T) {
	table := fleet.NewTable()
	table.SetConfiguration(&fleet.Configuration{Version: 1, Teams: []fleet.Team{{Name: "t", Keys: []string{"secret"}}}})
	view := table.View()
	require.Nil(t, view.WithoutKeys().Configuration.Teams[0].Keys)
	require.EqualValues(t, "t", view.Team("secret").Name)
}

// TestEvacuationMissingFromRestoredStoreIsKept guards against work sent to a failure domain whose evacuation the store
// acknowledged and then lost. Operators write it again, or else the failure domain returns to service after a while.
func TestEvacuationMissingFromRestoredStoreIsKept(t *testing.T) {
	table := fleet.NewTable()
	table.SetReplica(start, 1, replica("r1", 1))
	table.SetEvacuated(start, "a", true)
	table.StoreRestored(start)
	table.ReturnUnlisted(start, nil)
	table.Expire(start.Add(4 * time.Second))
	require.True(t, table.View().Members[0].Evacuated)

	table.SetEvacuated(start.Add(4*time.Second), "a", true)
	require.False(t, table.Expire(start.Add(time.Minute)), "the evacuation was written again")
	require.True(t, table.View().Members[0].Evacuated)

	table.StoreRestored(start.Add(2 * time.Minute))
	table.ReturnUnlisted(start.Add(2*time.Minute), nil)
	require.True(t, table.Expire(start.Add(3*time.Minute)))
	require.False(t, table.View().Members[0].Evacuated)
}

// TestRemovedReplicaIsNotUsedFromRestoredStore guards against requests to a replica that has left and that is listed again
// because the store came back from a copy that still holds its registration.
func TestRemovedReplicaIsNotUsedFromRestoredStore(t *testing.T) {
	table := fleet.NewTable()
	draining := replica("drained", 1)
	draining.Draining = true
	table.SetReplica(start, 1, draining)
	table.SetReplica(start, 2, replica("gone", 1))
	table.SetReplica(start, 3, replica("restarted", 1))
	for _, id := range []fleet.ReplicaID{"drained", "gone", "restarted"} {
		table.RemoveReplica(start, id)
	}
	restored := start.Add(time.Second)
	table.StoreRestored(restored)
	table.SetReplica(restored, 1, replica("drained", 1))
	table.SetReplica(restored, 2, replica("gone", 1))
	table.SetReplica(restored, 9, replica("restarted", 2))
	usable := func() []fleet.ReplicaID {
		var list []fleet.ReplicaID
		for _, member := range table.View().Members {
			if member.Usable() {
				list = append(list, member.ID)
			}
		}
		return list
	}
	require.Equal(t, []fleet.ReplicaID{"restarted"}, usable())
	require.True(t, table.Expire(restored.Add(5*time.Second)))
	require.Equal(t, []fleet.ReplicaID{"gone", "restarted"}, usable(), "a registration that stays is of a live replica")
}
