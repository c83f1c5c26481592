package e2e_test

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
)

// TestSIGTERMOfEntryCutsOffNoRequest guards against requests lost when an entry is stopped by SIGTERM.
func TestSIGTERMOfEntryCutsOffNoRequest(t *testing.T) {
	testSIGTERM(t, func(w *testCluster) *cluster.Process { return w.entries[0] })
}

// TestSIGTERMOfAgentCutsOffNoRequest guards against requests lost when an engine's agent is stopped by SIGTERM.
func TestSIGTERMOfAgentCutsOffNoRequest(t *testing.T) {
	testSIGTERM(t, func(w *testCluster) *cluster.Process { return w.agents[0] })
}

// TestSIGTERMOfServiceAgentCutsOffNoRequest guards against calls lost when a service's agent is stopped by SIGTERM.
func TestSIGTERMOfServiceAgentCutsOffNoRequest(t *testing.T) {
	testSIGTERM(t, func(w *testCluster) *cluster.Process { return w.services[0] })
}

// testSIGTERM stops the target under load and requires that no request is lost.
func testSIGTERM(t *testing.T, target func(*testCluster) *cluster.Process) {
	t.Helper()
	w := newTestCluster(t, clusterSpec{entries: 2, agents: 3, services: 2, engine: defaultEngine()})
	s := w.startLoad(12, w.stream, w.completion, w.booking)
	w.eventually("requests succeed before the stop", func() bool { return s.succeeded.Load() >= 100 })
	p := target(w)
	require.NoError(t, p.Signal(syscall.SIGTERM))
	require.NoError(t, p.Wait(w.ctx))
	after := s.succeeded.Load()
	w.eventually("requests succeed after the stop", func() bool { return s.succeeded.Load() >= after+100 })
	s.requireNoneLost(t)
}
