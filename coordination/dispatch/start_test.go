package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/internal/fleetsim"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// newModelledBalancer returns a balancer in region ra for engines with the given figures, and the view that it has.
func newModelledBalancer(seed uint64, performance *fleet.EnginePerformance, members ...fleet.Member) *dispatch.Balancer {
	v := view(members...)
	v.Configuration.Upstreams["llm"] = fleet.UpstreamSpec{Engine: &fleet.EngineSpec{Layers: 16, Slots: 4, Performance: performance}}
	b := dispatch.NewBalancer(config(), rand.New(rand.NewPCG(seed, 1)))
	b.SetView(v)
	return b
}

func engineReport(running int, pace float64, cacheUsed int64) dispatch.Report {
	return dispatch.Report{
		Running: running, Slots: 4, Senders: 4, Pace: pace, CacheUsed: cacheUsed, CacheTotal: 100,
		Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}},
	}
}

func streamRequest() dispatch.Request {
	r := request()
	r.PromptTokens, r.OutputTokens = 900, 100
	r.ObjectiveLeft, r.DeadlineLeft = 400*time.Millisecond, 6*time.Second
	return r
}

// chosen returns how often each replica is chosen for a single request.
func chosen(setUp func(seed uint64) *dispatch.Balancer, now time.Time, request dispatch.Request) map[fleet.ReplicaID]int {
	counts := map[fleet.ReplicaID]int{}
	for seed := range uint64(50) {
		choice, _ := setUp(seed).Pick(now, request)
		counts[choice.ID]++
	}
	return counts
}

// TestRequestWithoutRoomInTheCacheGoesElsewhere guards against a long request that waits for memory although another replica has room,
// and against one that is refused because none has.
func TestRequestWithoutRoomInTheCacheGoesElsewhere(t *testing.T) {
	long := streamRequest()
	long.PromptTokens = 4000
	long.ObjectiveLeft = 2 * time.Second
	both := func(home, away int64) func(uint64) *dispatch.Balancer {
		return func(seed uint64) *dispatch.Balancer {
			b := newModelledBalancer(seed, &fleetsim.Published, member("r1", "a"), member("r2", "a"), member("r3", "b"))
			b.RecordReport(start, "r1", engineReport(0, 1, 99))
			b.RecordReport(start, "r2", engineReport(3, 1, home))
			b.RecordReport(start, "r3", engineReport(0, 1, away))
			return b
		}
	}
	require.Equal(t, map[fleet.ReplicaID]int{"r2": 50}, chosen(both(50, 0), start, long))
	require.Equal(t, map[fleet.ReplicaID]int{"r3": 50}, chosen(both(99, 0), start, long), "only the other region has room")
	require.Zero(t, chosen(both(99, 99), start, long)[""], "it waits for memory")
	require.Positive(t, chosen(both(50, 0), start, streamRequest())["r1"], "a shorter one fits")
}

// TestRegionIsLeftOnlyWhereItMisses guards against bytes between regions while the home region meets the objective, and against requests
// that miss it there while another region has capacity.
func TestRegionIsLeftOnlyWhereItMisses(t *testing.T) {
	atHome := func(running int, pace float64) func(uint64) *dispatch.Balancer {
		return func(seed uint64) *dispatch.Balancer {
			b := newModelledBalancer(seed, &fleetsim.Published, member("r1", "a"), member("r2", "b"))
			b.RecordReport(start, "r1", engineReport(running, pace, 10))
			b.RecordReport(start, "r2", engineReport(0, 1, 0))
			return b
		}
	}
	require.Equal(t, map[fleet.ReplicaID]int{"r1": 50}, chosen(atHome(3, 1), start, streamRequest()), "the last free slot is in time")
	require.Equal(t, map[fleet.ReplicaID]int{"r2": 50}, chosen(atHome(2, 3), start, streamRequest()), "a slow replica is not")
	patient := streamRequest()
	patient.ObjectiveLeft = 2 * time.Second
	require.Equal(t, map[fleet.ReplicaID]int{"r1": 50}, chosen(atHome(2, 3), start, patient))
}

// TestOldReportIsNotModelled guards against a forecast from a report that is too old: then only this host's own requests count.
func TestOldReportIsNotModelled(t *testing.T) {
	setUp := func(seed uint64) *dispatch.Balancer {
		b := newModelledBalancer(seed, &fleetsim.Published, member("r1", "a"), member("r2", "a"))
		b.RecordReport(start, "r1", engineReport(4, 5, 99))
		b.RecordReport(start, "r2", engineReport(0, 1, 0))
		return b
	}
	require.Equal(t, map[fleet.ReplicaID]int{"r2": 50}, chosen(setUp, start, streamRequest()))
	counts := chosen(setUp, start.Add(2*time.Second), streamRequest())
	require.Positive(t, counts["r1"])
	require.Positive(t, counts["r2"])
}

// TestEnginesWithoutUsableFiguresArePlacedByCount guards against a change for engines that publish no figures, or wrong ones.
func TestEnginesWithoutUsableFiguresArePlacedByCount(t *testing.T) {
	wrong := fleetsim.Published
	wrong.Step = time.Hour
	run := func(performance *fleet.EnginePerformance) []fleet.ReplicaID {
		b := newModelledBalancer(1, performance, member("r1", "a"), member("r2", "a"), member("r3", "b"))
		var ids []fleet.ReplicaID
		for range 40 {
			choice, _ := b.Pick(start, streamRequest())
			ids = append(ids, choice.ID)
		}
		return ids
	}
	require.Equal(t, run(nil), run(&wrong))
	require.NotEqual(t, run(nil), run(&fleetsim.Published))
}

// TestModelDoesNotOverrideGuards guards against a replica that is silent, ejected, loading or leaving and gets requests because its last
// figures were good.
func TestModelDoesNotOverrideGuards(t *testing.T) {
	for name, spoil := range map[string]func(b *dispatch.Balancer){
		"silent": func(*dispatch.Balancer) {},
		"ejected": func(b *dispatch.Balancer) {
			only := streamRequest()
			only.Only = "r1"
			for range 2 {
				choice, _ := b.Pick(start, only)
				b.Done(start.Add(1100*time.Millisecond), choice, dispatch.OutcomeBroken, 0)
			}
			b.RecordReport(start.Add(1100*time.Millisecond), "r1", engineReport(0, 0.5, 0))
		},
		"loading": func(b *dispatch.Balancer) {
			report := engineReport(0, 0.5, 0)
			report.Loading = true
			b.RecordReport(start.Add(1100*time.Millisecond), "r1", report)
		},
		"leaving": func(b *dispatch.Balancer) {
			report := engineReport(0, 0.5, 0)
			report.Leaving = true
			b.RecordReport(start.Add(1100*time.Millisecond), "r1", report)
		},
	} {
		setUp := func(seed uint64) *dispatch.Balancer {
			b := newModelledBalancer(seed, &fleetsim.Published, member("r1", "a"), member("r2", "a"))
			b.RecordReport(start, "r1", engineReport(0, 0.5, 0))
			spoil(b)
			b.RecordReport(start.Add(1100*time.Millisecond), "r2", engineReport(3, 1.5, 0))
			return b
		}
		require.Equal(t, map[fleet.ReplicaID]int{"r2": 50}, chosen(setUp, start.Add(1200*time.Millisecond), streamRequest()), name)
	}
}

// TestForecastErrorIsKeptPerReplica guards against errors that operators can't see, or that are recorded for requests without a forecast.
func TestForecastErrorIsKeptPerReplica(t *testing.T) {
	b := newModelledBalancer(1, &fleetsim.Published, member("r1", "a"))
	choice, _ := b.Pick(start, streamRequest())
	b.Done(start, choice, dispatch.OutcomeAbandoned, 0)
	_, ok := b.TakeForecastError()
	require.False(t, ok)
	choice, _ = b.Pick(start, streamRequest())
	b.Done(start, choice, dispatch.OutcomeServed, time.Second)
	relative, ok := b.TakeForecastError()
	require.True(t, ok)
	require.Positive(t, relative)
	state := b.States(start)[0]
	require.InDelta(t, relative, state.ForecastMedian, 1e-6)
	require.Greater(t, state.ForecastFactor, 1.0)
	_, ok = b.TakeForecastError()
	require.False(t, ok)
}

// TestSlowReplicaIsRatedBySpeed guards against a replica that gets as many requests as others although it states that it is slow, or its
// responses show it.
func TestSlowReplicaIsRatedBySpeed(t *testing.T) {
	const few = 15 // of 50
	patient := streamRequest()
	patient.ObjectiveLeft = 5 * time.Second
	stated := func(seed uint64) *dispatch.Balancer {
		b := newModelledBalancer(seed, &fleetsim.Published, member("r1", "a"), member("r2", "a"))
		b.RecordReport(start, "r1", engineReport(1, 2.5, 0))
		b.RecordReport(start, "r2", engineReport(1, 1, 0))
		return b
	}
	require.Less(t, chosen(stated, start, patient)["r1"], few)
	measured := func(seed uint64) *dispatch.Balancer {
		b := newModelledBalancer(seed, &fleetsim.Published, member("r1", "a"), member("r2", "a"))
		for _, id := range []fleet.ReplicaID{"r1", "r2"} {
			only := streamRequest()
			only.Only = id
			for range 60 {
				choice, _ := b.Pick(start.Add(-time.Minute), only)
				b.Done(start.Add(-time.Minute), choice, dispatch.OutcomeServed, map[fleet.ReplicaID]time.Duration{"r1": 250 * time.Millisecond, "r2": 100 * time.Millisecond}[id])
			}
			b.RecordReport(start, id, engineReport(1, 1, 0))
		}
		return b
	}
	require.Less(t, chosen(measured, start, patient)["r1"], few)
}

// TestRequestSentBeforeTheFiguresCountsOnce guards against a replica that looks free because a report arrived whose figures are older than
// the last request to it.
func TestRequestSentBeforeTheFiguresCountsOnce(t *testing.T) {
	sent := func(age time.Duration) func(uint64) *dispatch.Balancer {
		return func(seed uint64) *dispatch.Balancer {
			b := newModelledBalancer(seed, &fleetsim.Published, member("r1", "a"), member("r2", "a"))
			only := streamRequest()
			only.Only = "r1"
			choice, _ := b.Pick(start.Add(-age), only)
			b.Done(start, choice, dispatch.OutcomeAbandoned, 0)
			b.RecordReport(start, "r1", engineReport(0, 1, 0))
			b.RecordReport(start, "r2", engineReport(0, 1, 0))
			return b
		}
	}
	require.Equal(t, map[fleet.ReplicaID]int{"r2": 50}, chosen(sent(300*time.Millisecond), start, streamRequest()))
	require.Positive(t, chosen(sent(400*time.Millisecond), start, streamRequest())["r1"], "the figures include it")
}

// TestSoonestStartIsThatOfTheBestEngine guards against a request that is refused or queued by the forecast for a full engine while another
// one would start it.
func TestSoonestStartIsThatOfTheBestEngine(t *testing.T) {
	b := newModelledBalancer(1, &fleetsim.Published, member("r1", "a"), member("r2", "a"))
	b.RecordReport(start, "r1", engineReport(4, 1, 0))
	b.RecordReport(start, "r2", engineReport(2, 1, 0))
	first, slot, ok := b.SoonestStart(start, streamRequest())
	require.True(t, ok)
	require.Zero(t, slot)
	full := streamRequest()
	full.Only = "r1"
	later, slot, ok := b.SoonestStart(start, full)
	require.True(t, ok)
	require.Positive(t, slot)
	require.Greater(t, later, first)
	_, _, ok = newModelledBalancer(1, nil, member("r1", "a")).SoonestStart(start, streamRequest())
	require.False(t, ok)
}

// TestQueueIsUsedOnlyForAStartInTime guards against requests in the queue of an engine that would miss their objective there.
func TestQueueIsUsedOnlyForAStartInTime(t *testing.T) {
	b := newModelledBalancer(1, &fleetsim.Published, member("r1", "a"))
	report := engineReport(4, 1, 0)
	report.Waiting, report.Senders = 1, 0
	b.RecordReport(start, "r1", report)
	_, verdict := b.Pick(start, streamRequest())
	require.Equal(t, dispatch.VerdictFull, verdict)
	patient := streamRequest()
	patient.ObjectiveLeft = 5 * time.Second
	_, verdict = b.Pick(start, patient)
	require.Equal(t, dispatch.VerdictChosen, verdict)
}

// TestReportCountsAtTheTimeOfItsArrival guards against what was derived from the earlier report and is still used.
func TestReportCountsAtTheTimeOfItsArrival(t *testing.T) {
	b := newModelledBalancer(1, &fleetsim.Published, member("r1", "a"))
	require.Zero(t, b.States(start)[0].Load)
	b.RecordReport(start, "r1", engineReport(4, 1, 0))
	require.Equal(t, 4, b.States(start)[0].Load)
}

// TestLongAnswerGoesWhereItEndsInTime guards against a long answer on a replica that would not complete it before the deadline.
func TestLongAnswerGoesWhereItEndsInTime(t *testing.T) {
	setUp := func(seed uint64) *dispatch.Balancer {
		b := newModelledBalancer(seed, &fleetsim.Published, member("r1", "a"), member("r2", "a"))
		b.RecordReport(start, "r1", engineReport(0, 1.4, 0))
		b.RecordReport(start, "r2", engineReport(2, 1, 0))
		return b
	}
	long := streamRequest()
	long.OutputTokens = 1000
	long.ObjectiveLeft, long.DeadlineLeft = 5*time.Second, 13*time.Second
	require.Equal(t, map[fleet.ReplicaID]int{"r2": 50}, chosen(setUp, start, long))
	long.OutputTokens = 500
	require.Positive(t, chosen(setUp, start, long)["r1"])
}
