package e2e_test

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/cluster"
)

// TestSIGTERMOfEntryCutsOffNoRequest guards against requests lost when an entry is stopped by SIGTERM.
func TestSIGTERMOfEntryCutsOffNoRequest(t *testing.T) {
	testSIGTERM(t, func(tc *testCluster) *cluster.Process { return tc.entries[0] })
}

// TestSIGTERMOfAgentCutsOffNoRequest guards against requests lost when an engine's agent is stopped by SIGTERM.
func TestSIGTERMOfAgentCutsOffNoRequest(t *testing.T) {
	testSIGTERM(t, func(tc *testCluster) *cluster.Process { return tc.agents[0] })
}

// TestSIGTERMOfServiceAgentCutsOffNoRequest guards against calls lost when a service's agent is stopped by SIGTERM.
func TestSIGTERMOfServiceAgentCutsOffNoRequest(t *testing.T) {
	testSIGTERM(t, func(tc *testCluster) *cluster.Process { return tc.services[0] })
}

// testSIGTERM stops the selected process under load and requires that no request is lost.
func testSIGTERM(t *testing.T, selectProcess func(*testCluster) *cluster.Process) {
	t.Helper()
	tc := newTestCluster(t, clusterSpec{entries: 2, agents: 3, services: 2, engine: defaultEngine()})
	load := tc.startLoad(12, tc.stream, tc.completion, tc.booking)
	tc.eventually("requests succeed before the stop", func() bool { return load.succeeded.Load() >= 100 })
	p := selectProcess(tc)
	require.NoError(t, p.Signal(syscall.SIGTERM))
	require.NoError(t, p.Wait(tc.ctx))
	succeeded := load.succeeded.Load()
	tc.eventually("requests succeed after the stop", func() bool { return load.succeeded.Load() >= succeeded+100 })
	load.requireNoneLost(t)
}
