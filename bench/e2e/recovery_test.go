package e2e_test

import (
	"encoding/json"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/coordination/activation"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	transportplatform "github.com/guavatrestle/guavatrestle/transport/platform"
)

const (
	// outOfServiceTimeout bounds the time from the acceptance of a change that takes a failure domain out of service
	// until the failure domain gets no new requests.
	outOfServiceTimeout = 5 * time.Second
	// shortLeaseTTL makes a lease expire soon after its holder is paused.
	shortLeaseTTL = 2 * time.Second
)

// TestObjectAPIOutageDuringRolloutKeepsHostsServing guards against hosts that stop serving, or load a version without a
// permit, when the object API is down during the transfer of a version.
func TestObjectAPIOutageDuringRolloutKeepsHostsServing(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: defaultEngine(), unpinned: true})
	load := tc.startLoad(4, tc.stream, tc.completion)
	next := tc.publish("v2", 'a')
	tc.Origin.SetRate(slowOriginRate)
	sentBefore := tc.Origin.BytesSent()
	tc.setTarget(1, "v2", next)
	tc.eventually("part of the version has been sent", func() bool { return tc.Origin.BytesSent() >= sentBefore+chunkBytes })
	tc.ObjectAPI.SetOutage(true)
	tc.Origin.SetRate(fastOriginRate)
	before := load.succeeded.Load()
	tc.eventually("requests succeed during the outage", func() bool { return load.succeeded.Load() >= before+300 })
	for _, agent := range tc.agents {
		require.NotContains(t, agent.Engine.LoadedVersions(), next, agent.Host.ID)
	}
	tc.ObjectAPI.SetOutage(false)
	tc.eventually("all engines hold the version", func() bool { return tc.allEnginesHold(next) })
	tc.requireNoMixedWeights()
	load.requireNoneLost(t)
}

// TestReplacedAgentStartsCold guards against a new agent process that takes over the warm state of its predecessor at
// the same address, and against an entry that mistakes one for the other.
func TestReplacedAgentStartsCold(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 1, agents: 1, engine: defaultEngine()})
	agent := tc.agents[0]
	tc.eventually("the agent is warm", func() bool {
		_ = tc.caller.Do(tc.ctx, tc.completion(tc.entries[0].URL()))
		return tc.agentStatus(agent.Host.ID).State == core.UpstreamWarm
	})
	oldIncarnation := tc.agentStatus(agent.Host.ID).Incarnation
	require.NoError(t, agent.Signal(syscall.SIGKILL))
	require.Error(t, agent.Wait(tc.ctx), "killed process")
	_, err := tc.StartReplacement(tc.ctx, agent)
	require.NoError(t, err)
	var newStatus core.AgentStatus
	tc.eventually("the entry sees the new process", func() bool {
		newStatus = tc.agentStatus(agent.Host.ID)
		return newStatus.Incarnation != "" && newStatus.Incarnation != oldIncarnation && newStatus.VersionDigest == tc.digest
	})
	require.Equal(t, core.UpstreamCold, newStatus.State)
	require.LessOrEqual(t, newStatus.Limit, coldLimit)
	tc.eventually("the new process serves a request", func() bool { return tc.caller.Do(tc.ctx, tc.completion(tc.entries[0].URL())).Status == 200 })
}

// agentStatus returns the status of an agent as seen by the first entry.
func (tc *testCluster) agentStatus(id core.HostID) core.AgentStatus {
	agents, err := tc.entries[0].ReadAgentStatuses(tc.ctx)
	if err != nil {
		return core.AgentStatus{}
	}
	return agents[id]
}

// TestPausedPermitHolderDoesNotUseExpiredLease guards against a permit holder that is paused until its lease expires,
// resumes and then loads under that lease, and against more concurrent loads than the permit allows.
func TestPausedPermitHolderDoesNotUseExpiredLease(t *testing.T) {
	shortLeaseInOneDomain := func(c *config.Config) {
		cfg := config.DefaultActivation()
		cfg.LeaseTTL, cfg.WarmHold = shortLeaseTTL, waitTimeout
		c.Agent.Activation = &cfg
		c.FailureDomain, c.Region = domains[0], core.Region(domains[0])
	}
	tc := newTestCluster(t, clusterSpec{
		entries: 1, agents: 2, engine: defaultEngine(), unpinned: true, minWarm: 1, agentOptions: []cluster.Option{shortLeaseInOneDomain},
	})
	objects := transportplatform.NewObjectClient(tc.Platform().ObjectAPI, tc.Platform().Namespace)
	next := tc.publish("v2", 'a')
	tc.setTarget(1, "v2", next)
	var holder *cluster.Process
	tc.eventually("a host holds the permit", func() bool {
		holder = tc.permitHolder(objects, next)
		return holder != nil
	})
	require.NoError(t, holder.Signal(syscall.SIGSTOP))
	tc.eventually("another host takes over the expired lease", func() bool {
		current := tc.permitHolder(objects, next)
		return current != nil && current != holder
	})
	require.NoError(t, holder.Signal(syscall.SIGCONT))
	load := tc.startLoad(4, tc.completion)
	tc.eventually("all engines hold the version", func() bool {
		tc.permitHolder(objects, next)
		return tc.allEnginesHold(next)
	})
	tc.eventually("requests succeed after the rollout", func() bool { return load.succeeded.Load() > 0 })
	load.requireNoneLost(t)
	for _, agent := range tc.agents {
		require.Zero(t, agent.Engine.Counts().OldToken, agent.Host.ID)
	}
	tc.requireNoMixedWeights()
}

// permitHolder returns the agent that holds the permit for a version, and fails the test if there are two leases.
func (tc *testCluster) permitHolder(objects platform.ObjectStore, digest core.Digest) *cluster.Process {
	list, err := objects.List(tc.ctx, platform.KindPermit, "")
	if err != nil {
		return nil
	}
	for _, object := range list.Items {
		var permit activation.Permit
		require.NoError(tc.t, json.Unmarshal(object.Spec, &permit))
		require.LessOrEqual(tc.t, len(permit.Leases), 1, "concurrent leases: %+v", permit.Leases)
		if len(permit.Leases) == 0 || permit.Leases[0].Digest != digest {
			continue
		}
		for _, agent := range tc.agents {
			if agent.Host.ID == permit.Leases[0].Host {
				return agent
			}
		}
	}
	return nil
}
