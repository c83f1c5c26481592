package e2e_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/cluster"
	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// TestRestartedEngineStaysUnderColdLimit guards against requests above the cold limit at an engine that
// restarted, and so is cold, before its agent noticed.
func TestRestartedEngineStaysUnderColdLimit(t *testing.T) {
	const restarts, completionsAfterRestart = 5, 50
	for name, keepsWeights := range map[string]bool{"with weights": true, "without weights": false} {
		t.Run(name, func(t *testing.T) {
			cfg := defaultEngine()
			cfg.KeepsWeights = keepsWeights
			tc := newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: cfg})
			load := tc.startLoad(20, tc.stream, tc.completion)
			restartedEngine := tc.agents[0].Engine
			for range restarts {
				tc.eventually("the engine has more requests in flight than the cold limit", func() bool { return restartedEngine.Status().InFlight > coldLimit })
				restartedEngine.Restart()
				before := restartedEngine.Counts().Completed
				tc.eventually("the engine completes requests after its restart", func() bool { return restartedEngine.Counts().Completed >= before+completionsAfterRestart })
			}
			t.Logf("outcomes: %v", load.stop())
			requireNoOverload(t, tc.agents)
		})
	}
}

func requireNoOverload(t *testing.T, agents []*cluster.Process) {
	t.Helper()
	for _, agent := range agents {
		counts := agent.Engine.Counts()
		require.Zero(t, counts.ColdOverload, "%s: %+v", agent.Host.ID, counts)
		require.Zero(t, counts.Mixed, "%s: %+v", agent.Host.ID, counts)
	}
}

// TestObjectAPIOutageLeavesServiceRunning guards against requests that fail while the object API is down, and against
// edits that are lost without an error during that time.
func TestObjectAPIOutageLeavesServiceRunning(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 2, agents: 2, engine: defaultEngine()})
	load := tc.startLoad(6, tc.stream, tc.completion)
	tc.ObjectAPI.SetOutage(true)
	before := load.succeeded.Load()
	tc.eventually("requests succeed during the outage", func() bool { return load.succeeded.Load() >= before+200 })
	edit := settings.FailureDomainSettings{Region: "lagos", State: settings.FailureDomainIn}
	_, err := cluster.ApplyDocument(tc.ctx, tc.entries[0], settings.FailureDomainPath(domains[0]), 0, edit)
	var applyErr *cluster.ApplyError
	require.True(t, errors.As(err, &applyErr), "%v", err)
	require.GreaterOrEqual(t, applyErr.Status, http.StatusInternalServerError)
	require.NotEmpty(t, applyErr.Refusal.Code)
	tc.ObjectAPI.SetOutage(false)
	tc.eventually("an edit is accepted again", func() bool {
		_, err := cluster.ApplyDocument(tc.ctx, tc.entries[0], settings.FailureDomainPath(domains[0]), 0, edit)
		return err == nil
	})
	load.requireNoneLost(t)
}

// TestAgentWithoutWeightsServesNoRequest guards against requests without a pinned version that are sent to an engine
// without weights.
func TestAgentWithoutWeightsServesNoRequest(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 1, agents: 1, engine: defaultEngine(), unpinned: true})
	// Without a weight source the agent fetches nothing, neither from the origin nor from peers.
	withoutWeightSource := func(c *config.Config) { c.Platform.WeightSource = "" }
	empty, err := tc.StartAgent(tc.ctx, "agent-empty", domains[0], upstream, defaultEngine(), withoutWeightSource)
	require.NoError(t, err)
	tc.eventually("the entry sees the agent", func() bool {
		seen, err := tc.entries[0].ReadAgentStatuses(tc.ctx)
		return err == nil && seen[empty.Host.ID].Limit >= coldLimit
	})
	for range 20 {
		out := tc.caller.Do(tc.ctx, tc.completion(tc.entries[0].URL()))
		require.Equal(t, caller.Succeeded, out.Kind, out.Detail)
	}
	require.Equal(t, engine.Counts{}, empty.Engine.Counts())
}

// TestCorruptChunksNeverReachTheEngine guards against an agent that loads chunks into its engine without verifying them,
// when the origin sends corrupt ones.
func TestCorruptChunksNeverReachTheEngine(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 1, agents: 1, engine: defaultEngine()})
	tc.Origin.CorruptNext(3)
	newAgent, err := tc.StartAgent(tc.ctx, "agent-late", domains[0], upstream, defaultEngine())
	require.NoError(t, err)
	newAgent.Engine.ExpectContent(tc.digest, tc.agents[0].Engine.ExpectedContent(tc.digest))
	tc.eventually("the engine holds the version", func() bool { return newAgent.Engine.Status().Complete })
	require.Zero(t, newAgent.Engine.Counts().Mixed)
	require.Equal(t, 1, newAgent.Engine.Counts().Loads)
}

// TestLostBookingRunsOnce guards against repeating a call without an idempotency key after its response was lost, or
// after its service restarted.
func TestLostBookingRunsOnce(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 2, services: 2})
	for _, p := range tc.services {
		p.Service.DropResponses(10)
	}
	load := tc.startLoad(6, tc.booking)
	tc.eventually("bookings succeed after the lost responses", func() bool { return load.succeeded.Load() >= 100 })
	for _, service := range tc.services {
		service.Service.Restart()
	}
	t.Logf("outcomes: %v", load.stop())
	for booking, runs := range bookingRuns(tc) {
		require.LessOrEqual(t, runs, 1, booking)
	}
}

// TestRefusedBookingDidNotRun guards against a refusal that states not_run although the call ran and its response was
// lost.
func TestRefusedBookingDidNotRun(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 1, services: 1})
	tc.services[0].Service.DropResponses(20)
	for range 20 {
		name := tc.prompt()
		out := tc.caller.Do(tc.ctx, caller.Booking(tc.entries[0].URL(), token, bookings, name))
		if out.Kind == caller.Refused {
			require.Zero(t, bookingRuns(tc)[name], out.Detail)
			continue
		}
		require.Equal(t, caller.Failed, out.Kind, out.Detail)
		require.Equal(t, api.RunUnknown, out.Refusal.Run, out.Detail)
	}
}

// TestResentKeyRunsOnce guards against a second run when a caller sends the same Idempotency-Key again.
func TestResentKeyRunsOnce(t *testing.T) {
	tc := newTestCluster(t, clusterSpec{entries: 2, services: 2})
	for i := range 10 {
		name := tc.prompt()
		tc.services[i%2].Service.DropResponses(1)
		for attempt := range 4 {
			request := caller.Booking(tc.entries[attempt%2].URL(), token, bookings, name)
			request.IdempotencyKey = name
			_ = tc.caller.Do(tc.ctx, request)
		}
		require.LessOrEqual(t, bookingRuns(tc)[name], 1, "runs of the booking with key %q", name)
	}
}

// bookingRuns returns the number of runs of each booking over all services.
func bookingRuns(tc *testCluster) map[string]int {
	total := make(map[string]int)
	for _, p := range tc.services {
		for booking, n := range p.Service.Runs().ByBooking {
			total[booking] += n
		}
	}
	return total
}
