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
func (tc *testCluster) publish(version string, fill byte) core.Digest {
	tc.t.Helper()
	body := bytes.Repeat([]byte{fill}, modelBytes)
	digest, err := tc.Origin.Add(model, version, body, chunkBytes)
	require.NoError(tc.t, err)
	for _, agent := range tc.agents {
		agent.Engine.ExpectContent(digest, core.DigestOf(body))
	}
	return digest
}

// setTarget sets the target version of the model, and the withdrawn versions, in the settings of the upstream.
func (tc *testCluster) setTarget(base uint64, version string, digest core.Digest, withdrawn ...core.Digest) {
	tc.t.Helper()
	tc.apply(settings.UpstreamPath(upstream), base, settings.UpstreamSettings{
		Kind: settings.KindModel, Model: model,
		Target: &settings.VersionRef{Version: version, Digest: digest}, Withdrawn: withdrawn,
		ColdLimit: coldLimit, WarmLimit: warmLimit, WarmupCompletions: warmup, MinWarm: tc.minWarm,
	})
}

// allEnginesHold reports whether every engine holds the complete version.
func (tc *testCluster) allEnginesHold(digest core.Digest) bool {
	for _, agent := range tc.agents {
		if status := agent.Engine.Status(); !status.Complete || status.Digest != digest {
			return false
		}
	}
	return true
}

func (tc *testCluster) requireNoMixedWeights() {
	tc.t.Helper()
	for _, agent := range tc.agents {
		require.Zero(tc.t, agent.Engine.Counts().Mixed, agent.Host.ID)
	}
}

// TestVersionReplacedMidFlightIsNeverMixed guards against an engine that gets weights mixed from two contents of the same
// version name, when the version is replaced during its transfer.
func TestVersionReplacedMidFlightIsNeverMixed(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: defaultEngine()})
	first := tc.publish("v2", 'a')
	tc.Origin.SetRate(slowOriginRate)
	sentBefore := tc.Origin.BytesSent()
	tc.setTarget(1, "v2", first)
	tc.eventually("part of the version has been sent", func() bool { return tc.Origin.BytesSent() >= sentBefore+chunkBytes })
	second := tc.publish("v2", 'b')
	tc.setTarget(2, "v2", second)
	tc.Origin.SetRate(fastOriginRate)
	tc.eventually("all engines hold the replacement", func() bool { return tc.allEnginesHold(second) })
	tc.requireNoMixedWeights()
}

// TestWithdrawnVersionIsNotActivated guards against a version that is activated although it was withdrawn during its
// transfer.
func TestWithdrawnVersionIsNotActivated(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: defaultEngine()})
	withdrawnDigest := tc.publish("v2", 'a')
	tc.Origin.SetRate(slowOriginRate)
	sentBefore := tc.Origin.BytesSent()
	tc.setTarget(1, "v2", withdrawnDigest)
	tc.eventually("part of the version has been sent", func() bool { return tc.Origin.BytesSent() >= sentBefore+chunkBytes })
	tc.setTarget(2, "v2", withdrawnDigest, withdrawnDigest)
	tc.eventually("all agents have the withdrawal in force", func() bool { return tc.allAgentsHave(settings.UpstreamPath(upstream), 3) })
	tc.Origin.SetRate(fastOriginRate)
	next := tc.publish("v3", 'c')
	tc.setTarget(3, "v3", next, withdrawnDigest)
	tc.eventually("all engines hold the next version", func() bool { return tc.allEnginesHold(next) })
	for _, agent := range tc.agents {
		require.NotContains(t, agent.Engine.LoadedVersions(), withdrawnDigest, agent.Host.ID)
	}
	tc.requireNoMixedWeights()
}

// TestOriginOutageDelaysButDoesNotMix guards against a rollout that gives up, or activates partial weights, when the
// origin is down.
func TestOriginOutageDelaysButDoesNotMix(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: defaultEngine()})
	next := tc.publish("v2", 'a')
	tc.Origin.SetRate(slowOriginRate)
	sentBefore := tc.Origin.BytesSent()
	tc.setTarget(1, "v2", next)
	tc.eventually("part of the version has been sent", func() bool { return tc.Origin.BytesSent() >= sentBefore+chunkBytes })
	tc.Origin.SetOutage(true)
	tc.Origin.SetRate(fastOriginRate)
	tc.eventually("requests of agents to the origin fail", func() bool { return tc.Origin.DroppedRequests() >= 4 })
	require.False(t, tc.allEnginesHold(next))
	tc.Origin.SetOutage(false)
	tc.Origin.RefuseNext(4)
	tc.eventually("all engines hold the version", func() bool { return tc.allEnginesHold(next) })
	tc.requireNoMixedWeights()
}

// allAgentsHave reports whether every agent has at least the given version of a settings document in force.
func (tc *testCluster) allAgentsHave(path string, version uint64) bool {
	for _, agent := range tc.agents {
		state, err := agent.ReadState(tc.ctx)
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
