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

// TestRestartedEngineStaysUnderColdLimit guards against load on an engine that turned cold without warning.
func TestRestartedEngineStaysUnderColdLimit(t *testing.T) {
	const restarts, moreWork = 5, 50
	for name, keeps := range map[string]bool{"with weights": true, "without weights": false} {
		t.Run(name, func(t *testing.T) {
			cfg := defaultEngine()
			cfg.KeepsWeights = keeps
			w := newWorld(t, worldSpec{entries: 1, agents: 2, engine: cfg})
			s := w.load(20, w.stream, w.plain)
			target := w.agents[0].Engine
			for range restarts {
				w.eventually("the engine is under full load", func() bool { return target.Status().InFlight > coldLimit })
				target.Restart()
				before := target.Counts().Completed
				w.eventually("the engine works again", func() bool { return target.Counts().Completed >= before+moreWork })
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

// TestObjectAPIOutageLeavesServiceRunning guards against requests that need the object API, and against edits
// that are lost without an error.
func TestObjectAPIOutageLeavesServiceRunning(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 2, agents: 2, engine: defaultEngine()})
	s := w.load(6, w.stream, w.plain)
	w.ObjectAPI.SetOutage(true)
	before := s.succeeded.Load()
	w.eventually("load during the outage", func() bool { return s.succeeded.Load() >= before+200 })
	edit := settings.FailureDomainSettings{Region: "lagos", State: settings.FailureDomainIn}
	_, err := cluster.ApplyDocument(w.ctx, w.entries[0], settings.FailureDomainPath(domains[0]), 0, edit)
	var refused *cluster.ApplyError
	require.True(t, errors.As(err, &refused), "%v", err)
	require.GreaterOrEqual(t, refused.Status, http.StatusInternalServerError)
	require.NotEmpty(t, refused.Refusal.Code)
	w.ObjectAPI.SetOutage(false)
	w.eventually("an edit is accepted again", func() bool {
		_, err := cluster.ApplyDocument(w.ctx, w.entries[0], settings.FailureDomainPath(domains[0]), 0, edit)
		return err == nil
	})
	s.requireNoneLost(t)
}

// TestAgentWithoutWeightsServesNoRequest guards against requests for any version that reach an engine without one.
func TestAgentWithoutWeightsServesNoRequest(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 1, agents: 1, engine: defaultEngine(), unpinned: true})
	// Without a weight source the agent fetches nothing, from the origin or from peers.
	unsupplied := func(c *config.Config) { c.Platform.WeightSource = "" }
	empty, err := w.StartAgent(w.ctx, "agent-empty", domains[0], upstream, defaultEngine(), unsupplied)
	require.NoError(t, err)
	w.eventually("the entry sees the agent", func() bool {
		seen, err := w.entries[0].ReadAgentStatuses(w.ctx)
		return err == nil && seen[empty.Host.ID].Limit >= coldLimit
	})
	for range 20 {
		out := w.caller.Do(w.ctx, w.plain(w.entries[0].URL()))
		require.Equal(t, caller.Succeeded, out.Kind, out.Detail)
	}
	require.Equal(t, engine.Counts{}, empty.Engine.Counts())
}

// TestCorruptChunksNeverReachTheEngine guards against weights that are activated unverified.
func TestCorruptChunksNeverReachTheEngine(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 1, agents: 1, engine: defaultEngine()})
	w.Origin.CorruptNext(3)
	late, err := w.StartAgent(w.ctx, "agent-late", domains[0], upstream, defaultEngine())
	require.NoError(t, err)
	late.Engine.ExpectContent(w.digest, w.agents[0].Engine.ExpectedContent(w.digest))
	w.eventually("the engine holds the version", func() bool { return late.Engine.Status().Complete })
	require.Zero(t, late.Engine.Counts().Mixed)
	require.Equal(t, 1, late.Engine.Counts().Loads)
}

// TestLostBookingRunsOnce guards against a second run of a call that may not be repeated.
func TestLostBookingRunsOnce(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 2, services: 2})
	for _, s := range w.services {
		s.Service.DropResponses(10)
	}
	s := w.load(6, w.booking)
	w.eventually("bookings after the lost answers", func() bool { return s.succeeded.Load() >= 100 })
	for _, service := range w.services {
		service.Service.Restart()
	}
	t.Logf("outcomes: %v", s.stop())
	for booking, runs := range totalRuns(w) {
		require.LessOrEqual(t, runs, 1, booking)
	}
}

// TestRefusedBookingDidNotRun guards against a refusal that says not_run of a call that ran.
func TestRefusedBookingDidNotRun(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 1, services: 1})
	w.services[0].Service.DropResponses(20)
	for range 20 {
		name := w.prompt()
		out := w.caller.Do(w.ctx, caller.Booking(w.entries[0].URL(), token, bookings, name))
		if out.Kind == caller.Refused {
			require.Zero(t, totalRuns(w)[name], out.Detail)
			continue
		}
		require.Equal(t, caller.Failed, out.Kind, out.Detail)
		require.Equal(t, api.RunUnknown, out.Refusal.Run, out.Detail)
	}
}

// TestResentKeyRunsOnce guards against a second run when the caller sends the same Idempotency-Key again.
func TestResentKeyRunsOnce(t *testing.T) {
	w := newWorld(t, worldSpec{entries: 2, services: 2})
	for i := range 10 {
		name := w.prompt()
		w.services[i%2].Service.DropResponses(1)
		for attempt := range 4 {
			request := caller.Booking(w.entries[attempt%2].URL(), token, bookings, name)
			request.IdempotencyKey = name
			_ = w.caller.Do(w.ctx, request)
		}
		require.LessOrEqual(t, totalRuns(w)[name], 1, "runs of the booking with key %q", name)
	}
}

func totalRuns(w *world) map[string]int {
	total := make(map[string]int)
	for _, s := range w.services {
		for booking, n := range s.Service.Runs().ByBooking {
			total[booking] += n
		}
	}
	return total
}
