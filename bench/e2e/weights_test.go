package e2e_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	// slowOriginRate is the rate in bytes per second at which a transfer of modelBytes takes long enough to be
	// interrupted.
	slowOriginRate = modelBytes
	fastOriginRate = 1 << 30
)

// publish adds a version to the origin and registers its content with all engines.
func (w *testCluster) publish(version string, fill byte) core.Digest {
	w.t.Helper()
	body := bytes.Repeat([]byte{fill}, modelBytes)
	digest, err := w.Origin.Add(model, version, body, chunkBytes)
	require.NoError(w.t, err)
	for _, agent := range w.agents {
		agent.Engine.ExpectContent(digest, core.DigestOf(body))
	}
	return digest
}

// setTarget sets the target version of the model, and the withdrawn versions, in the settings of the upstream.
func (w *testCluster) setTarget(base uint64, version string, digest core.Digest, withdrawn ...core.Digest) {
	w.t.Helper()
	w.apply(settings.UpstreamPath(upstream), base, settings.UpstreamSettings{
		Kind: settings.KindModel, Model: model,
		Target: &settings.VersionRef{Version: version, Digest: digest}, Withdrawn: withdrawn,
		ColdLimit: coldLimit, WarmLimit: warmLimit, WarmupCompletions: warmup, MinWarm: w.minWarm,
	})
}

// allEnginesHold reports whether every engine holds the complete version.
func (w *testCluster) allEnginesHold(digest core.Digest) bool {
	for _, agent := range w.agents {
		if status := agent.Engine.Status(); !status.Complete || status.Digest != digest {
			return false
		}
	}
	return true
}

func (w *testCluster) requireNoMixedWeights() {
	w.t.Helper()
	for _, agent := range w.agents {
		require.Zero(w.t, agent.Engine.Counts().Mixed, agent.Host.ID)
	}
}

// TestVersionReplacedMidFlightIsNeverMixed guards against an engine that gets parts of two contents with the same
// version name, when the version is replaced during its transfer.
func TestVersionReplacedMidFlightIsNeverMixed(t *testing.T) {
	w := newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: defaultEngine()})
	first := w.publish("v2", 'a')
	w.Origin.SetRate(slowOriginRate)
	sent := w.Origin.BytesSent()
	w.setTarget(1, "v2", first)
	w.eventually("part of the version has been sent", func() bool { return w.Origin.BytesSent() >= sent+chunkBytes })
	second := w.publish("v2", 'b')
	w.setTarget(2, "v2", second)
	w.Origin.SetRate(fastOriginRate)
	w.eventually("all engines hold the replacement", func() bool { return w.allEnginesHold(second) })
	w.requireNoMixedWeights()
}

// TestWithdrawnVersionIsNotActivated guards against a version that is activated although it was withdrawn during its
// transfer.
func TestWithdrawnVersionIsNotActivated(t *testing.T) {
	w := newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: defaultEngine()})
	withdrawnDigest := w.publish("v2", 'a')
	w.Origin.SetRate(slowOriginRate)
	sent := w.Origin.BytesSent()
	w.setTarget(1, "v2", withdrawnDigest)
	w.eventually("part of the version has been sent", func() bool { return w.Origin.BytesSent() >= sent+chunkBytes })
	w.setTarget(2, "v2", withdrawnDigest, withdrawnDigest)
	w.eventually("all agents have the withdrawal in force", func() bool { return w.allAgentsHave(settings.UpstreamPath(upstream), 3) })
	w.Origin.SetRate(fastOriginRate)
	next := w.publish("v3", 'c')
	w.setTarget(3, "v3", next, withdrawnDigest)
	w.eventually("all engines hold the next version", func() bool { return w.allEnginesHold(next) })
	for _, agent := range w.agents {
		require.NotContains(t, agent.Engine.LoadedVersions(), withdrawnDigest, agent.Host.ID)
	}
	w.requireNoMixedWeights()
}

// TestOriginOutageDelaysButDoesNotMix guards against a rollout that gives up, or activates partial weights, when the
// origin is down.
func TestOriginOutageDelaysButDoesNotMix(t *testing.T) {
	w := newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: defaultEngine()})
	next := w.publish("v2", 'a')
	w.Origin.SetRate(slowOriginRate)
	sent := w.Origin.BytesSent()
	w.setTarget(1, "v2", next)
	w.eventually("part of the version has been sent", func() bool { return w.Origin.BytesSent() >= sent+chunkBytes })
	w.Origin.SetOutage(true)
	w.Origin.SetRate(fastOriginRate)
	w.eventually("requests of agents to the origin fail", func() bool { return w.Origin.DroppedRequests() >= 4 })
	require.False(t, w.allEnginesHold(next))
	w.Origin.SetOutage(false)
	w.Origin.RefuseNext(4)
	w.eventually("all engines hold the version", func() bool { return w.allEnginesHold(next) })
	w.requireNoMixedWeights()
}

// allAgentsHave reports whether every agent has at least the given version of a settings document in force.
func (w *testCluster) allAgentsHave(path string, version uint64) bool {
	for _, agent := range w.agents {
		state, err := agent.ReadState(w.ctx)
		if err != nil {
			return false
		}
		latest := uint64(0)
		for _, doc := range state.Settings {
			if doc.Path == path {
				latest = doc.Version
			}
		}
		if latest < version {
			return false
		}
	}
	return true
}
