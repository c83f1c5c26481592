package e2e_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/state/config"
)

// shortProgressTimeout is many times the time that the engine stand-in needs for a complete response.
const shortProgressTimeout = 2 * time.Second

// TestResponsesAreCompleteAndMatchTheirRequests guards against truncated, mixed-up or altered responses.
func TestResponsesAreCompleteAndMatchTheirRequests(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 1, agents: 3, services: 1, engine: defaultEngine()})
	builders := []func(string) caller.Request{tc.stream, tc.completion, tc.booking}
	for _, build := range builders {
		out := tc.caller.Do(tc.ctx, build(tc.entries[0].URL()))
		require.Equal(t, caller.Succeeded, out.Kind, out.Detail)
	}
	load := tc.startLoad(9, builders...)
	tc.eventually("300 complete responses", func() bool { return load.succeeded.Load() >= 300 })
	load.requireNoneLost(t)
}

// startLongStream starts a stream that does not end by itself during the test. It returns the agent that serves it and
// a channel for its outcome.
func startLongStream(t *testing.T, tc *testCluster) (*cluster.Process, <-chan caller.Outcome) {
	t.Helper()
	done := make(chan caller.Outcome, 1)
	go func() { done <- tc.caller.Do(tc.ctx, tc.stream(tc.entries[0].URL())) }()
	var serving *cluster.Process
	tc.eventually("an engine runs the stream", func() bool {
		for _, agent := range tc.agents {
			if agent.Engine.Status().InFlight == 1 {
				serving = agent
			}
		}
		return serving != nil
	})
	return serving, done
}

// requireEndsWithError fails the test unless the caller gets an error or a broken connection.
func requireEndsWithError(t *testing.T, tc *testCluster, done <-chan caller.Outcome) {
	t.Helper()
	select {
	case out := <-done:
		require.Contains(t, []caller.Kind{caller.Failed, caller.CutOff}, out.Kind, out.Detail)
	case <-time.After(waitTimeout):
		require.Fail(t, "the caller got neither the rest of its response nor an error")
	}
}

// newSlowCluster returns a cluster whose engines take longer for a response than the test waits.
func newSlowCluster(t *testing.T) *testCluster {
	t.Helper()
	cfg := defaultEngine()
	cfg.TokenDelay = waitTimeout
	return newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: cfg})
}

// TestKilledAgentEndsStreamWithError guards against a truncated stream that the caller takes for a complete one after
// the agent that served it was killed.
func TestKilledAgentEndsStreamWithError(t *testing.T) {
	tc := newSlowCluster(t)
	agent, done := startLongStream(t, tc)
	require.NoError(t, agent.Signal(syscall.SIGKILL))
	requireEndsWithError(t, tc, done)
}

// TestPausedAgentEndsStreamWithError guards against a caller that waits forever for a paused agent.
func TestPausedAgentEndsStreamWithError(t *testing.T) {
	tc := newSlowCluster(t)
	agent, done := startLongStream(t, tc)
	require.NoError(t, agent.Signal(syscall.SIGSTOP))
	requireEndsWithError(t, tc, done)
}

// TestPausedAgentGetsNoNewRequests guards against an entry that keeps sending requests to a paused agent.
func TestPausedAgentGetsNoNewRequests(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: defaultEngine()})
	require.NoError(t, tc.agents[0].Signal(syscall.SIGSTOP))
	tc.eventually("ten complete responses in a row", func() bool {
		for range 10 {
			out := tc.caller.Do(tc.ctx, tc.completion(tc.entries[0].URL()))
			if out.Kind != caller.Succeeded {
				return false
			}
		}
		return true
	})
}

// TestStalledEngineConnectionIsReplaced guards against requests that hang or keep failing because an agent uses a
// connection on which its engine no longer responds.
func TestStalledEngineConnectionIsReplaced(t *testing.T) {
	withShortTimeout := func(c *config.Config) { c.Agent.ProgressTimeout = shortProgressTimeout }
	tc := newTestCluster(t, clusterSpec{entries: 1, agents: 1, engine: defaultEngine(), agentOptions: []cluster.Option{withShortTimeout}})
	tc.eventually("a complete response", func() bool {
		return tc.caller.Do(tc.ctx, tc.completion(tc.entries[0].URL())).Kind == caller.Succeeded
	})
	tc.agents[0].Engine.StallConnections()
	tc.eventually("a complete response over a new connection", func() bool {
		return tc.caller.Do(tc.ctx, tc.completion(tc.entries[0].URL())).Kind == caller.Succeeded
	})
}
