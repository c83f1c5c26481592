package e2e_test

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
)

// TestSIGTERMOfEntryCutsOffNoRequest guards against requests lost in the planned stop of an entry.
func TestSIGTERMOfEntryCutsOffNoRequest(t *testing.T) {
	testSIGTERM(t, func(w *world) *cluster.Process { return w.entries[0] })
}

// TestSIGTERMOfAgentCutsOffNoRequest guards against requests lost in the planned stop of an engine's agent.
func TestSIGTERMOfAgentCutsOffNoRequest(t *testing.T) {
	testSIGTERM(t, func(w *world) *cluster.Process { return w.agents[0] })
}

// TestSIGTERMOfServiceAgentCutsOffNoRequest guards against calls lost in the planned stop of a service's agent.
func TestSIGTERMOfServiceAgentCutsOffNoRequest(t *testing.T) {
	testSIGTERM(t, func(w *world) *cluster.Process { return w.services[0] })
}

func testSIGTERM(t *testing.T, target func(*world) *cluster.Process) {
	t.Helper()
	w := newWorld(t, worldSpec{entries: 2, agents: 3, services: 2, engine: defaultEngine()})
	s := w.load(12, w.stream, w.plain, w.booking)
	w.eventually("load before the stop", func() bool { return s.succeeded.Load() >= 100 })
	p := target(w)
	require.NoError(t, p.Signal(syscall.SIGTERM))
	require.NoError(t, p.Wait(w.ctx))
	after := s.succeeded.Load()
	w.eventually("load after the stop", func() bool { return s.succeeded.Load() >= after+100 })
	s.requireNoneLost(t)
}
