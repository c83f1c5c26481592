package e2e_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

const (
	// slowRate lets a transfer of modelBytes be interrupted by a condition.
	slowRate = modelBytes
	fastRate = 1 << 30
)

// publish adds a version to the origin and tells all engines what it consists of.
func (w *world) publish(version string, fill byte) core.Digest {
	w.t.Helper()
	body := bytes.Repeat([]byte{fill}, modelBytes)
	digest, err := w.Origin.Add(model, version, body, chunkBytes)
	require.NoError(w.t, err)
	for _, agent := range w.agents {
		agent.Engine.ExpectContent(digest, core.DigestOf(body))
	}
	return digest
}

func (w *world) target(base uint64, version string, digest core.Digest, withdrawn ...core.Digest) {
	w.t.Helper()
	w.apply(settings.UpstreamPath(upstream), base, settings.UpstreamSettings{
		Kind: settings.KindModel, Model: model,
		Target: &settings.VersionRef{Version: version, Digest: digest}, Withdrawn: withdrawn,
		ColdLimit: coldLimit, WarmLimit: warmLimit, WarmupCompletions: warmup, MinWarm: w.minWarm,
	})
}

func (w *world) allHold(digest core.Digest) bool {
	for _, agent := range w.agents {
		if status := agent.Engine.Status(); !status.Complete || status.Digest != digest {
			return false
		}
	}
	return true
}

func (w *world) requireNoMixedWeights() {
	w.t.Helper()
	for _, agent := range w.agents {
		require.Zero(w.t, agent.Engine.Counts().Mixed, agent.Host.ID)
	}
}

// TestVersionReplacedMidFlightIsNeverMixed guards against an engine that gets parts of two contents under one name.
func TestVersionReplacedMidFlightIsNeverMixed(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 1, agents: 2, engine: defaultEngine()})
	first := w.publish("v2", 'a')
	w.Origin.SetRate(slowRate)
	sent := w.Origin.BytesSent()
	w.target(1, "v2", first)
	w.eventually("part of the version is under way", func() bool { return w.Origin.BytesSent() >= sent+chunkBytes })
	second := w.publish("v2", 'b')
	w.target(2, "v2", second)
	w.Origin.SetRate(fastRate)
	w.eventually("all engines hold the replacement", func() bool { return w.allHold(second) })
	w.requireNoMixedWeights()
}

// TestWithdrawnVersionIsNotActivated guards against a version that reaches an engine after its withdrawal.
func TestWithdrawnVersionIsNotActivated(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 1, agents: 2, engine: defaultEngine()})
	bad := w.publish("v2", 'a')
	w.Origin.SetRate(slowRate)
	sent := w.Origin.BytesSent()
	w.target(1, "v2", bad)
	w.eventually("part of the version is under way", func() bool { return w.Origin.BytesSent() >= sent+chunkBytes })
	w.target(2, "v2", bad, bad)
	w.eventually("all agents know of the withdrawal", func() bool { return w.versionEverywhere(settings.UpstreamPath(upstream), 3) })
	w.Origin.SetRate(fastRate)
	next := w.publish("v3", 'c')
	w.target(3, "v3", next, bad)
	w.eventually("all engines hold the next version", func() bool { return w.allHold(next) })
	for _, agent := range w.agents {
		require.NotContains(t, agent.Engine.LoadedVersions(), bad, agent.Host.ID)
	}
	w.requireNoMixedWeights()
}

// TestOriginOutageDelaysButDoesNotMix guards against a rollout that gives up, or activates what it has.
func TestOriginOutageDelaysButDoesNotMix(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 1, agents: 2, engine: defaultEngine()})
	next := w.publish("v2", 'a')
	w.Origin.SetRate(slowRate)
	sent := w.Origin.BytesSent()
	w.target(1, "v2", next)
	w.eventually("part of the version is under way", func() bool { return w.Origin.BytesSent() >= sent+chunkBytes })
	w.Origin.SetOutage(true)
	w.Origin.SetRate(fastRate)
	w.eventually("agents tried the origin in vain", func() bool { return w.Origin.DroppedRequests() >= 4 })
	require.False(t, w.allHold(next))
	w.Origin.SetOutage(false)
	w.Origin.RefuseNext(4)
	w.eventually("all engines hold the version", func() bool { return w.allHold(next) })
	w.requireNoMixedWeights()
}

// versionEverywhere reports whether every agent holds a version of a settings document.
func (w *world) versionEverywhere(path string, version uint64) bool {
	for _, agent := range w.agents {
		state, err := agent.ReadState(w.ctx)
		if err != nil {
			return false
		}
		held := uint64(0)
		for _, doc := range state.Settings {
			if doc.Path == path {
				held = doc.Version
			}
		}
		if held < version {
			return false
		}
	}
	return true
}
