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
	for name, keeps := range map[string]bool{"with weights": true, "without weights": false} {
		t.Run(name, func(t *testing.T) {
			cfg := defaultEngine()
			cfg.KeepsWeights = keeps
			w := newTestCluster(t, clusterSpec{entries: 1, agents: 2, engine: cfg})
			s := w.startLoad(20, w.stream, w.completion)
			target := w.agents[0].Engine
			for range restarts {
				w.eventually("the engine has more requests in flight than the cold limit", func() bool { return target.Status().InFlight > coldLimit })
				target.Restart()
				before := target.Counts().Completed
				w.eventually("the engine completes requests after its restart", func() bool { return target.Counts().Completed >= before+completionsAfterRestart })
			}
			t.Logf("outcomes: %v", s.stop())
			requireNoOverload(t, w.agents)
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
	w := newTestCluster(t, clusterSpec{entries: 2, agents: 2, engine: defaultEngine()})
	s := w.startLoad(6, w.stream, w.completion)
	w.ObjectAPI.SetOutage(true)
	before := s.succeeded.Load()
	w.eventually("requests succeed during the outage", func() bool { return s.succeeded.Load() >= before+200 })
	edit := settings.FailureDomainSettings{Region: "lagos", State: settings.FailureDomainIn}
	_, err := cluster.ApplyDocument(w.ctx, w.entries[0], settings.FailureDomainPath(domains[0]), 0, edit)
	var applyErr *cluster.ApplyError
	require.True(t, errors.As(err, &applyErr), "%v", err)
	require.GreaterOrEqual(t, applyErr.Status, http.StatusInternalServerError)
	require.NotEmpty(t, applyErr.Refusal.Code)
	w.ObjectAPI.SetOutage(false)
	w.eventually("an edit is accepted again", func() bool {
		_, err := cluster.ApplyDocument(w.ctx, w.entries[0], settings.FailureDomainPath(domains[0]), 0, edit)
		return err == nil
	})
	s.requireNoneLost(t)
}

// TestAgentWithoutWeightsServesNoRequest guards against requests without a pinned version that are sent to an engine
// without weights.
func TestAgentWithoutWeightsServesNoRequest(t *testing.T) {
	w := newTestCluster(t, clusterSpec{entries: 1, agents: 1, engine: defaultEngine(), unpinned: true})
	// Without a weight source the agent fetches nothing, neither from the origin nor from peers.
	withoutWeightSource := func(c *config.Config) { c.Platform.WeightSource = "" }
	empty, err := w.StartAgent(w.ctx, "agent-empty", domains[0], upstream, defaultEngine(), withoutWeightSource)
	require.NoError(t, err)
	w.eventually("the entry sees the agent", func() bool {
		seen, err := w.entries[0].ReadAgentStatuses(w.ctx)
		return err == nil && seen[empty.Host.ID].Limit >= coldLimit
	})
	for range 20 {
		out := w.caller.Do(w.ctx, w.completion(w.entries[0].URL()))
		require.Equal(t, caller.Succeeded, out.Kind, out.Detail)
	}
	require.Equal(t, engine.Counts{}, empty.Engine.Counts())
}

// TestCorruptChunksNeverReachTheEngine guards against activating weights that were not verified.
func TestCorruptChunksNeverReachTheEngine(t *testing.T) {
	w := newTestCluster(t, clusterSpec{entries: 1, agents: 1, engine: defaultEngine()})
	w.Origin.CorruptNext(3)
	newAgent, err := w.StartAgent(w.ctx, "agent-late", domains[0], upstream, defaultEngine())
	require.NoError(t, err)
	newAgent.Engine.ExpectContent(w.digest, w.agents[0].Engine.ExpectedContent(w.digest))
	w.eventually("the engine holds the version", func() bool { return newAgent.Engine.Status().Complete })
	require.Zero(t, newAgent.Engine.Counts().Mixed)
	require.Equal(t, 1, newAgent.Engine.Counts().Loads)
}

// TestLostBookingRunsOnce guards against repeating a call without an idempotency key after its answer was lost.
func TestLostBookingRunsOnce(t *testing.T) {
	w := newTestCluster(t, clusterSpec{entries: 2, services: 2})
	for _, s := range w.services {
		s.Service.DropResponses(10)
	}
	s := w.startLoad(6, w.booking)
	w.eventually("bookings succeed after the lost answers", func() bool { return s.succeeded.Load() >= 100 })
	for _, service := range w.services {
		service.Service.Restart()
	}
	t.Logf("outcomes: %v", s.stop())
	for booking, runs := range bookingRuns(w) {
		require.LessOrEqual(t, runs, 1, booking)
	}
}

// TestRefusedBookingDidNotRun guards against a refusal that states not_run although the call ran.
func TestRefusedBookingDidNotRun(t *testing.T) {
	w := newTestCluster(t, clusterSpec{entries: 1, services: 1})
	w.services[0].Service.DropResponses(20)
	for range 20 {
		name := w.prompt()
		out := w.caller.Do(w.ctx, caller.Booking(w.entries[0].URL(), token, bookings, name))
		if out.Kind == caller.Refused {
			require.Zero(t, bookingRuns(w)[name], out.Detail)
			continue
		}
		require.Equal(t, caller.Failed, out.Kind, out.Detail)
		require.Equal(t, api.RunUnknown, out.Refusal.Run, out.Detail)
	}
}

// TestResentKeyRunsOnce guards against a second run when a caller sends the same Idempotency-Key again.
func TestResentKeyRunsOnce(t *testing.T) {
	w := newTestCluster(t, clusterSpec{entries: 2, services: 2})
	for i := range 10 {
		name := w.prompt()
		w.services[i%2].Service.DropResponses(1)
		for attempt := range 4 {
			request := caller.Booking(w.entries[attempt%2].URL(), token, bookings, name)
			request.IdempotencyKey = name
			_ = w.caller.Do(w.ctx, request)
		}
		require.LessOrEqual(t, bookingRuns(w)[name], 1, "runs of the booking with key %q", name)
	}
}

// bookingRuns returns the number of runs of each booking over all services.
func bookingRuns(w *testCluster) map[string]int {
	total := make(map[string]int)
	for _, s := range w.services {
		for booking, n := range s.Service.Runs().ByBooking {
			total[booking] += n
		}
	}
	return total
}
