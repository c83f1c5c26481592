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

// shortProgress is many times the time that the engine stand-in needs for a whole response.
const shortProgress = 2 * time.Second

// TestResponsesAreWholeAndTheCallersOwn guards against short, mixed up or altered responses.
func TestResponsesAreWholeAndTheCallersOwn(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 1, agents: 3, services: 1, engine: defaultEngine()})
	builders := []func(string) caller.Request{w.stream, w.plain, w.booking}
	for _, build := range builders {
		out := w.caller.Do(w.ctx, build(w.entries[0].URL()))
		require.Equal(t, caller.Succeeded, out.Kind, out.Detail)
	}
	s := w.load(9, builders...)
	w.eventually("300 whole responses", func() bool { return s.succeeded.Load() >= 300 })
	s.requireNoneLost(t)
}

// longStream starts one stream that lasts until its agent is disturbed, and returns its agent and outcome.
func longStream(t *testing.T, w *world) (*cluster.Process, <-chan caller.Outcome) {
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

// requireTerminalError fails unless the caller can see that the response is not whole.
func requireTerminalError(t *testing.T, w *world, done <-chan caller.Outcome) {
	t.Helper()
	select {
	case out := <-done:
		require.Contains(t, []caller.Kind{caller.Failed, caller.CutOff}, out.Kind, out.Detail)
	case <-time.After(hangLimit):
		require.Fail(t, "the caller waits for ever for the rest of its response")
	}
}

func slowWorld(t *testing.T) *world {
	t.Helper()
	cfg := defaultEngine()
	cfg.TokenDelay = hangLimit
	return newWorld(t, worldSpec{entries: 1, agents: 2, engine: cfg})
}

// TestKilledAgentEndsStreamWithError guards against a short response that looks whole.
func TestKilledAgentEndsStreamWithError(t *testing.T) {
	w := slowWorld(t)
	agent, done := longStream(t, w)
	require.NoError(t, agent.Signal(syscall.SIGKILL))
	requireTerminalError(t, w, done)
}

// TestStoppedAgentEndsStreamWithError guards against a caller that waits for ever for a paused agent.
func TestStoppedAgentEndsStreamWithError(t *testing.T) {
	w := slowWorld(t)
	agent, done := longStream(t, w)
	require.NoError(t, agent.Signal(syscall.SIGSTOP))
	requireTerminalError(t, w, done)
}

// TestStoppedAgentGetsNoNewWork guards against requests that keep going to a paused agent.
func TestStoppedAgentGetsNoNewWork(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 1, agents: 2, engine: defaultEngine()})
	require.NoError(t, w.agents[0].Signal(syscall.SIGSTOP))
	w.eventually("ten whole responses in a row", func() bool {
		for range 10 {
			out := w.caller.Do(w.ctx, w.plain(w.entries[0].URL()))
			if out.Kind != caller.Succeeded {
				return false
			}
		}
		return true
	})
}

// TestSilentEngineEndsStreamWithError guards against a request that hangs on a connection gone silent.
func TestSilentEngineEndsStreamWithError(t *testing.T) {
	short := func(c *config.Config) { c.Agent.ProgressTimeout = shortProgress }
	w := newWorld(t, worldSpec{entries: 1, agents: 1, engine: defaultEngine(), options: []cluster.Option{short}})
	w.eventually("a whole response", func() bool {
		return w.caller.Do(w.ctx, w.plain(w.entries[0].URL())).Kind == caller.Succeeded
	})
	w.agents[0].Engine.StallConnections()
	w.eventually("a whole response over a new connection", func() bool {
		return w.caller.Do(w.ctx, w.plain(w.entries[0].URL())).Kind == caller.Succeeded
	})
}
