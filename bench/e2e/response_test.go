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
	w := newTestCluster(t, clusterSpec{entries: 1, agents: 3, services: 1, engine: defaultEngine()})
	builders := []func(string) caller.Request{w.stream, w.completion, w.booking}
	for _, build := range builders {
		out := w.caller.Do(w.ctx, build(w.entries[0].URL()))
		require.Equal(t, caller.Succeeded, out.Kind, out.Detail)
	}
	s := w.startLoad(9, builders...)
	w.eventually("300 complete responses", func() bool { return s.succeeded.Load() >= 300 })
	s.requireNoneLost(t)
}

// startLongStream starts a stream that does not end by itself during the test. It returns the agent that serves it and
// a channel for its outcome.
func startLongStream(t *testing.T, w *testCluster) (*cluster.Process, <-chan caller.Outcome) {
	t.Helper()
	done := make(chan caller.Outcome, 1)
	go func() { done <- w.caller.Do(w.ctx, w.stream(w.entries[0].URL())) }()
	var serving *cluster.Process
	w.eventually("an engine runs the stream", func() bool {
		for _, agent := range w.agents {
			if agent.Engine.Status().InFlight == 1 {
				serving = agent
			}
		}
		return serving != nil
	})
	return serving, done
}

// requireEndsWithError fails the test unless the caller gets an error or a broken connection.
func requireEndsWithError(t *testing.T, w *testCluster, done <-chan caller.Outcome) {
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

// TestKilledAgentEndsStreamWithError guards against a truncated response that looks complete, after its agent was
// killed.
func TestKilledAgentEndsStreamWithError(t *testing.T) {
	w := newSlowCluster(t)
	agent, done := startLongStream(t, w)
	require.NoError(t, agent.Signal(syscall.SIGKILL))
	requireEndsWithError(t, w, done)
}

// TestStoppedAgentEndsStreamWithError guards against a caller that waits forever for a paused agent.
func TestStoppedAgentEndsStreamWithError(t *testing.T) {
	w := newSlowCluster(t)
	agent, done := startLongStream(t, w)
	require.NoError(t, agent.Signal(syscall.SIGSTOP))
	requireEndsWithError(t, w, done)
}

// TestStoppedAgentGetsNoNewWork guards against requests that keep going to a paused agent.
func TestStoppedAgentGetsNoNewWork(t *testing.T) {
	w := newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: defaultEngine()})
	require.NoError(t, w.agents[0].Signal(syscall.SIGSTOP))
	w.eventually("ten complete responses in a row", func() bool {
		for range 10 {
			out := w.caller.Do(w.ctx, w.completion(w.entries[0].URL()))
			if out.Kind != caller.Succeeded {
				return false
			}
		}
		return true
	})
}

// TestSilentEngineEndsStreamWithError guards against requests that keep failing because an agent reuses a connection on
// which its engine no longer answers.
func TestSilentEngineEndsStreamWithError(t *testing.T) {
	withShortTimeout := func(c *config.Config) { c.Agent.ProgressTimeout = shortProgressTimeout }
	w := newTestCluster(t, clusterSpec{entries: 1, agents: 1, engine: defaultEngine(), options: []cluster.Option{withShortTimeout}})
	w.eventually("a complete response", func() bool {
		return w.caller.Do(w.ctx, w.completion(w.entries[0].URL())).Kind == caller.Succeeded
	})
	w.agents[0].Engine.StallConnections()
	w.eventually("a complete response over a new connection", func() bool {
		return w.caller.Do(w.ctx, w.completion(w.entries[0].URL())).Kind == caller.Succeeded
	})
}
