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
	// outLimit is the time after which a failure domain out of service gets no new work.
	outLimit = 5 * time.Second
	// shortLease lapses soon after its holder was paused.
	shortLease = 2 * time.Second
)

// TestObjectAPIOutageDuringRolloutKeepsHostsServing guards against hosts that stop serving, or load a version without a
// permit, when the object API fails while a version is on its way.
func TestObjectAPIOutageDuringRolloutKeepsHostsServing(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 1, agents: 2, engine: defaultEngine(), unpinned: true})
	s := w.load(4, w.stream, w.plain)
	next := w.publish("v2", 'a')
	w.Origin.SetRate(slowRate)
	sent := w.Origin.BytesSent()
	w.target(1, "v2", next)
	w.eventually("part of the version is under way", func() bool { return w.Origin.BytesSent() >= sent+chunkBytes })
	w.ObjectAPI.SetOutage(true)
	w.Origin.SetRate(fastRate)
	before := s.succeeded.Load()
	w.eventually("load during the outage", func() bool { return s.succeeded.Load() >= before+300 })
	for _, agent := range w.agents {
		require.NotContains(t, agent.Engine.LoadedVersions(), next, agent.Host.ID)
	}
	w.ObjectAPI.SetOutage(false)
	w.eventually("all engines hold the version", func() bool { return w.allHold(next) })
	w.requireNoMixedWeights()
	s.requireNoneLost(t)
}

// TestReplacedAgentStartsCold guards against a new process that inherits the warm state of the one before it at its
// address, and against an entry that takes the two for one.
func TestReplacedAgentStartsCold(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 1, agents: 1, engine: defaultEngine()})
	agent := w.agents[0]
	w.eventually("the agent is warm", func() bool {
		_ = w.caller.Do(w.ctx, w.plain(w.entries[0].URL()))
		return w.seen(agent.Host.ID).State == core.UpstreamWarm
	})
	earlier := w.seen(agent.Host.ID).Incarnation
	require.NoError(t, agent.Signal(syscall.SIGKILL))
	require.Error(t, agent.Wait(w.ctx), "killed process")
	_, err := w.StartReplacement(w.ctx, agent)
	require.NoError(t, err)
	var fresh core.AgentStatus
	w.eventually("the entry sees the new process", func() bool {
		fresh = w.seen(agent.Host.ID)
		return fresh.Incarnation != "" && fresh.Incarnation != earlier && fresh.VersionDigest == w.digest
	})
	require.Equal(t, core.UpstreamCold, fresh.State)
	require.LessOrEqual(t, fresh.Limit, coldLimit)
	w.eventually("the new process serves", func() bool { return w.caller.Do(w.ctx, w.plain(w.entries[0].URL())).Status == 200 })
}

// seen returns what the first entry knows of an agent.
func (w *world) seen(id core.HostID) core.AgentStatus {
	agents, err := w.entries[0].ReadAgentStatuses(w.ctx)
	if err != nil {
		return core.AgentStatus{}
	}
	return agents[id]
}

// TestPausedPermitHolderMixesNothing guards against a holder that acts on its lapsed lease when it goes on, and against
// more loads at once than the permit allows.
func TestPausedPermitHolderMixesNothing(t *testing.T) {
	oneDomain := func(c *config.Config) {
		held := config.DefaultActivation()
		held.LeaseTTL, held.WarmHold = shortLease, hangLimit
		c.Agent.Activation = &held
		c.FailureDomain, c.Region = domains[0], core.Region(domains[0])
	}
	w := newWorld(t, worldSpec{
		entries: 1, agents: 2, engine: defaultEngine(), unpinned: true, minWarm: 1, options: []cluster.Option{oneDomain},
	})
	store := transportplatform.NewObjectClient(w.Platform().ObjectAPI, w.Platform().Namespace)
	next := w.publish("v2", 'a')
	w.target(1, "v2", next)
	var holder *cluster.Process
	w.eventually("a host holds the permit", func() bool {
		holder = w.holder(store, next)
		return holder != nil
	})
	require.NoError(t, holder.Signal(syscall.SIGSTOP))
	w.eventually("another host takes over the lapsed lease", func() bool {
		now := w.holder(store, next)
		return now != nil && now != holder
	})
	require.NoError(t, holder.Signal(syscall.SIGCONT))
	s := w.load(4, w.plain)
	w.eventually("all engines hold the version", func() bool {
		w.holder(store, next)
		return w.allHold(next)
	})
	s.requireNoneLost(t)
	for _, agent := range w.agents {
		require.Zero(t, agent.Engine.Counts().OldToken, agent.Host.ID)
	}
	w.requireNoMixedWeights()
}

// holder returns the agent that holds the permit for a version, and fails when two do at once.
func (w *world) holder(store platform.ObjectStore, digest core.Digest) *cluster.Process {
	list, err := store.List(w.ctx, platform.KindPermit, "")
	if err != nil {
		return nil
	}
	for _, object := range list.Items {
		var permit activation.Permit
		require.NoError(w.t, json.Unmarshal(object.Spec, &permit))
		require.LessOrEqual(w.t, len(permit.Leases), 1, "leases at once: %+v", permit.Leases)
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
