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
	w := newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: defaultEngine(), unpinned: true})
	s := w.startLoad(4, w.stream, w.completion)
	next := w.publish("v2", 'a')
	w.Origin.SetRate(slowOriginRate)
	sent := w.Origin.BytesSent()
	w.setTarget(1, "v2", next)
	w.eventually("part of the version has been sent", func() bool { return w.Origin.BytesSent() >= sent+chunkBytes })
	w.ObjectAPI.SetOutage(true)
	w.Origin.SetRate(fastOriginRate)
	before := s.succeeded.Load()
	w.eventually("requests succeed during the outage", func() bool { return s.succeeded.Load() >= before+300 })
	for _, agent := range w.agents {
		require.NotContains(t, agent.Engine.LoadedVersions(), next, agent.Host.ID)
	}
	w.ObjectAPI.SetOutage(false)
	w.eventually("all engines hold the version", func() bool { return w.allEnginesHold(next) })
	w.requireNoMixedWeights()
	s.requireNoneLost(t)
}

// TestReplacedAgentStartsCold guards against a new agent process that takes over the warm state of its predecessor at
// the same address, and against an entry that mistakes one for the other.
func TestReplacedAgentStartsCold(t *testing.T) {
	w := newTestCluster(t, clusterSpec{entries: 1, agents: 1, engine: defaultEngine()})
	agent := w.agents[0]
	w.eventually("the agent is warm", func() bool {
		_ = w.caller.Do(w.ctx, w.completion(w.entries[0].URL()))
		return w.agentStatus(agent.Host.ID).State == core.UpstreamWarm
	})
	oldIncarnation := w.agentStatus(agent.Host.ID).Incarnation
	require.NoError(t, agent.Signal(syscall.SIGKILL))
	require.Error(t, agent.Wait(w.ctx), "killed process")
	_, err := w.StartReplacement(w.ctx, agent)
	require.NoError(t, err)
	var newStatus core.AgentStatus
	w.eventually("the entry sees the new process", func() bool {
		newStatus = w.agentStatus(agent.Host.ID)
		return newStatus.Incarnation != "" && newStatus.Incarnation != oldIncarnation && newStatus.VersionDigest == w.digest
	})
	require.Equal(t, core.UpstreamCold, newStatus.State)
	require.LessOrEqual(t, newStatus.Limit, coldLimit)
	w.eventually("the new process answers a request", func() bool { return w.caller.Do(w.ctx, w.completion(w.entries[0].URL())).Status == 200 })
}

// agentStatus returns the status of an agent as seen by the first entry.
func (w *testCluster) agentStatus(id core.HostID) core.AgentStatus {
	agents, err := w.entries[0].ReadAgentStatuses(w.ctx)
	if err != nil {
		return core.AgentStatus{}
	}
	return agents[id]
}

// TestPausedPermitHolderMixesNothing guards against a permit holder that is paused, resumes and acts on its expired
// lease, and against more concurrent loads than the permit allows.
func TestPausedPermitHolderMixesNothing(t *testing.T) {
	oneDomain := func(c *config.Config) {
		cfg := config.DefaultActivation()
		cfg.LeaseTTL, cfg.WarmHold = shortLeaseTTL, waitTimeout
		c.Agent.Activation = &cfg
		c.FailureDomain, c.Region = domains[0], core.Region(domains[0])
	}
	w := newTestCluster(t, clusterSpec{
		entries: 1, agents: 2, engine: defaultEngine(), unpinned: true, minWarm: 1, options: []cluster.Option{oneDomain},
	})
	objects := transportplatform.NewObjectClient(w.Platform().ObjectAPI, w.Platform().Namespace)
	next := w.publish("v2", 'a')
	w.setTarget(1, "v2", next)
	var holder *cluster.Process
	w.eventually("a host holds the permit", func() bool {
		holder = w.permitHolder(objects, next)
		return holder != nil
	})
	require.NoError(t, holder.Signal(syscall.SIGSTOP))
	w.eventually("another host takes over the expired lease", func() bool {
		current := w.permitHolder(objects, next)
		return current != nil && current != holder
	})
	require.NoError(t, holder.Signal(syscall.SIGCONT))
	s := w.startLoad(4, w.completion)
	w.eventually("all engines hold the version", func() bool {
		w.permitHolder(objects, next)
		return w.allEnginesHold(next)
	})
	s.requireNoneLost(t)
	for _, agent := range w.agents {
		require.Zero(t, agent.Engine.Counts().OldToken, agent.Host.ID)
	}
	w.requireNoMixedWeights()
}

// permitHolder returns the agent that holds the permit for a version, and fails the test if there are two leases.
func (w *testCluster) permitHolder(objects platform.ObjectStore, digest core.Digest) *cluster.Process {
	list, err := objects.List(w.ctx, platform.KindPermit, "")
	if err != nil {
		return nil
	}
	for _, object := range list.Items {
		var permit activation.Permit
		require.NoError(w.t, json.Unmarshal(object.Spec, &permit))
		require.LessOrEqual(w.t, len(permit.Leases), 1, "concurrent leases: %+v", permit.Leases)
		if len(permit.Leases) == 0 || permit.Leases[0].Digest != digest {
			continue
		}
		for _, agent := range w.agents {
			if agent.Host.ID == permit.Leases[0].Host {
				return agent
			}
		}
	}
	return nil
}
