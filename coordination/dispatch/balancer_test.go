package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

var start = time.Unix(1000, 0)

func config() dispatch.Config {
	cfg := dispatch.DefaultConfig()
	cfg.Region, cfg.FailureDomain = "ra", "a"
	cfg.Regions = map[core.FailureDomain]core.Region{"a": "ra", "b": "rb"}
	return cfg
}

func newBalancer(members ...fleet.Member) *dispatch.Balancer {
	b := dispatch.NewBalancer(config(), rand.New(rand.NewPCG(1, 1)))
	b.SetView(view(members...))
	return b
}

func view(members ...fleet.Member) *fleet.View {
	return &fleet.View{
		Configuration: &fleet.Configuration{Upstreams: map[core.Upstream]fleet.UpstreamSpec{
			"llm": {ColdPerSecond: 24, Engine: &fleet.EngineSpec{Layers: 16}},
		}},
		Members: members,
	}
}

func member(id fleet.ReplicaID, domain core.FailureDomain) fleet.Member {
	return fleet.Member{Replica: fleet.Replica{
		ID: id, Upstream: "llm", Address: string(id) + ":80", FailureDomain: domain, Slots: 4, Born: 1,
		Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}},
	}}
}

func request() dispatch.Request { return dispatch.Request{Upstream: "llm", Model: "m", Layers: 16} }

// TestReplicaGetsNoMoreThanSlotsAndOvercommit guards against unbounded queueing at a replica when one host sends it more
// requests than its slots plus the overcommit.
func TestReplicaGetsNoMoreThanSlotsAndOvercommit(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	chosen := 0
	for range 20 {
		if _, verdict := b.Pick(start, request()); verdict == dispatch.VerdictChosen {
			chosen++
		} else {
			require.Equal(t, dispatch.VerdictFull, verdict)
		}
	}
	require.Equal(t, 4+config().Overcommit, chosen)
}

// TestReplicaFilledByOtherHostsIsAvoided guards against a host that counts only its own requests and overloads a replica
// that other hosts already fill.
func TestReplicaFilledByOtherHostsIsAvoided(t *testing.T) {
	b := newBalancer(member("r1", "a"), member("r2", "b"))
	b.RecordReport(start, "r1", dispatch.Report{Running: 4, Waiting: 2})
	choice, verdict := b.Pick(start, request())
	require.Equal(t, dispatch.VerdictChosen, verdict)
	require.EqualValues(t, "r2", choice.ID)

	choice, _ = b.Pick(start.Add(10*time.Second), request())
	require.EqualValues(t, "r1", choice.ID, "an expired report must be ignored")
}

// TestHostsShareTheHeadroomOfAReplica guards against a herd after a rollout: 22 entries saw the first loaded replica
// empty and together sent it 60 requests, which waited up to 3 s.
func TestHostsShareTheHeadroomOfAReplica(t *testing.T) {
	const hosts = 22
	loaded := member("r1", "a")
	loaded.Slots = 12
	total := 0
	for host := range hosts {
		b := dispatch.NewBalancer(config(), rand.New(rand.NewPCG(1, uint64(host))))
		b.SetView(view(loaded))
		b.RecordReport(start, "r1", dispatch.Report{Senders: hosts, Models: loaded.Models})
		for range 20 {
			if _, verdict := b.Pick(start, request()); verdict == dispatch.VerdictChosen {
				total++
			}
		}
	}
	require.LessOrEqual(t, total, 2*loaded.Slots)
	require.GreaterOrEqual(t, total, loaded.Slots)
}

// TestLeavingAndEvacuatedReplicasGetNothing guards against new requests to replicas that are draining or out of service.
func TestLeavingAndEvacuatedReplicasGetNothing(t *testing.T) {
	leaving, evacuated := member("r1", "a"), member("r2", "b")
	leaving.Draining, evacuated.Evacuated = true, true
	_, verdict := newBalancer(leaving, evacuated).Pick(start, request())
	require.Equal(t, dispatch.VerdictNoCandidate, verdict)
}

// TestPartlyLoadedReplicaGetsNoModelRequest guards against requests to a replica that has not loaded all layers.
func TestPartlyLoadedReplicaGetsNoModelRequest(t *testing.T) {
	partial := member("r1", "a")
	partial.Models[0].Layers = 15
	_, verdict := newBalancer(partial).Pick(start, request())
	require.Equal(t, dispatch.VerdictNoCandidate, verdict)
}

// TestReplicaBelowMinVersionGetsNothing guards against requests served by a model version below the minimum.
func TestReplicaBelowMinVersionGetsNothing(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	req := request()
	req.MinVersion = 2
	_, verdict := b.Pick(start, req)
	require.Equal(t, dispatch.VerdictNoCandidate, verdict)

	b.RecordReport(start, "r1", dispatch.Report{Models: []fleet.LoadedModel{{Model: "m", Version: 2, Layers: 16}}})
	choice, verdict := b.Pick(start, req)
	require.Equal(t, dispatch.VerdictChosen, verdict)
	require.EqualValues(t, 2, choice.Version)
}

// TestBusyReplicaGetsNothingShortlyBeforeItsVersionIsOutdated guards against a request that queues at a busy replica until
// its version is no longer allowed. One was sent 7.0 s after a new version became wanted and started 1.1 s later on the older
// version, past the bound of 8 s.
func TestBusyReplicaGetsNothingShortlyBeforeItsVersionIsOutdated(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	req := request()
	req.NextMinVersion = 2
	b.RecordReport(start, "r1", dispatch.Report{Running: 3, Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}}})
	_, verdict := b.Pick(start, req)
	require.Equal(t, dispatch.VerdictFull, verdict)

	b.RecordReport(start, "r1", dispatch.Report{Running: 0, Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}}})
	_, verdict = b.Pick(start.Add(time.Second), req)
	require.Equal(t, dispatch.VerdictChosen, verdict)
}

// TestColdReplicaStaysUnderItsRateOverAllHosts guards against hosts that each respect the rate of a cold replica but together exceed
// the platform's bound in some second: 33 requests were sent to one that may get 26, from 52 hosts with a burst of one each.
func TestColdReplicaStaysUnderItsRateOverAllHosts(t *testing.T) {
	const rate, seconds = 24, 6
	rapid.Check(t, func(t *rapid.T) {
		senders := rapid.IntRange(1, 120).Draw(t, "senders")
		seed := rapid.Uint64().Draw(t, "seed")
		cold := member("r1", "a")
		cold.Slots = 1000
		cold.ColdUntil = start.Add(time.Hour)
		var sentAt [seconds * 100]int
		for host := range senders {
			b := dispatch.NewBalancer(config(), rand.New(rand.NewPCG(seed, uint64(host))))
			b.SetView(view(cold))
			for tick := range sentAt {
				now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
				b.RecordReport(now, "r1", dispatch.Report{Senders: senders, Models: cold.Models})
				if _, verdict := b.Pick(now, request()); verdict == dispatch.VerdictChosen {
					sentAt[tick]++
				}
			}
		}
		total := 0
		for first := range sentAt[:len(sentAt)-99] {
			inSecond := 0
			for _, count := range sentAt[first : first+100] {
				inSecond += count
			}
			// The platform's bound, and for few hosts the rate plus one request for each.
			require.LessOrEqual(t, inSecond, min(rate*3/2+5, rate+senders))
		}
		for _, count := range sentAt {
			total += count
		}
		require.GreaterOrEqual(t, total, rate*seconds/2, "the replica's rate is hardly used")
	})
}

// TestReplicaIsEjectedAfterConsecutiveFailures guards against a dead replica that keeps receiving requests, and against a
// recovered one that stays ejected.
func TestReplicaIsEjectedAfterConsecutiveFailures(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	for range config().EjectAfter {
		choice, verdict := b.Pick(start, request())
		require.Equal(t, dispatch.VerdictChosen, verdict)
		b.Done(start, choice, dispatch.OutcomeBroken, 0)
	}
	_, verdict := b.Pick(start, request())
	require.Equal(t, dispatch.VerdictFull, verdict)

	later := start.Add(config().EjectBase)
	choice, verdict := b.Pick(later, request())
	require.Equal(t, dispatch.VerdictChosen, verdict)
	_, verdict = b.Pick(later, request())
	require.Equal(t, dispatch.VerdictFull, verdict, "only one request may probe the replica")
	b.Done(later, choice, dispatch.OutcomeServed, time.Millisecond)
	_, verdict = b.Pick(later, request())
	require.Equal(t, dispatch.VerdictChosen, verdict)
}

// TestAddressThatAnotherReplicaTookGetsNothing guards against requests to an address that now belongs to another replica.
func TestAddressThatAnotherReplicaTookGetsNothing(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	choice, _ := b.Pick(start, request())
	b.Done(start, choice, dispatch.OutcomeMoved, 0)
	_, verdict := b.Pick(start, request())
	require.Equal(t, dispatch.VerdictNoCandidate, verdict)
}

// TestLoadingReplicaGetsNothing guards against requests that wait at a replica until it has loaded its weights.
func TestLoadingReplicaGetsNothing(t *testing.T) {
	b := newBalancer(member("r1", "a"))
	b.RecordReport(start, "r1", dispatch.Report{Loading: true, Models: member("r1", "a").Models})
	_, verdict := b.Pick(start, request())
	require.Equal(t, dispatch.VerdictFull, verdict)
}

// TestHomeRegionsAreRespected guards against a request that is served outside the home regions of its route or team.
func TestHomeRegionsAreRespected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []fleet.Member
		for i := range rapid.IntRange(1, 6).Draw(t, "replicas") {
			domain := rapid.SampledFrom([]core.FailureDomain{"a", "b"}).Draw(t, "domain")
			members = append(members, member(fleet.ReplicaID(fmt.Sprint("r", i)), domain))
		}
		req := request()
		req.RouteRegions = []core.Region{"rb"}
		req.TeamRegions = rapid.SampledFrom([][]core.Region{nil, {"ra"}, {"rb"}}).Draw(t, "team")
		choice, verdict := newBalancer(members...).Pick(start, req)
		if verdict != dispatch.VerdictChosen {
			return
		}
		for _, m := range members {
			if m.ID == choice.ID {
				require.EqualValues(t, "b", m.FailureDomain)
				require.NotEqual(t, []core.Region{"ra"}, req.TeamRegions)
			}
		}
	})
}

// TestInFlightCountsReturnToZero guards against in-flight counts that stay above zero after all requests have ended.
func TestInFlightCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBalancer(member("r1", "a"), member("r2", "b"))
		outcomes := []dispatch.Outcome{
			dispatch.OutcomeServed, dispatch.OutcomeFailed, dispatch.OutcomeBroken, dispatch.OutcomeShed, dispatch.OutcomeAbandoned,
		}
		now := start
		var inFlight []dispatch.Choice
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if choice, verdict := b.Pick(now, request()); verdict == dispatch.VerdictChosen {
				inFlight = append(inFlight, choice)
			}
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "end") {
				b.Done(now, inFlight[0], rapid.SampledFrom(outcomes).Draw(t, "outcome"), time.Millisecond)
				inFlight = inFlight[1:]
			}
		}
		for _, choice := range inFlight {
			b.Done(now, choice, dispatch.OutcomeServed, time.Millisecond)
		}
		for _, state := range b.States(now) {
			require.Zero(t, state.InFlight)
		}
	})
}

// TestCapacityFollowsTheDemandOfHosts guards against a host with many callers that refuses them while other hosts leave their equal
// shares of the free slots unused, and against a herd: 12 hosts that each send one request to 2 free slots.
func TestCapacityFollowsTheDemandOfHosts(t *testing.T) {
	const hosts, reports = 12, 200
	sent := [hosts]int{}
	for host := range hosts {
		b := dispatch.NewBalancer(config(), rand.New(rand.NewPCG(2, uint64(host))))
		busy := member("r1", "a")
		busy.Slots = 16
		b.SetView(view(busy))
		share := 0.5 / (hosts - 1)
		if host == 0 {
			share = 0.5
		}
		for report := range reports {
			now := start.Add(time.Duration(report) * time.Second)
			b.RecordReport(now, "r1", dispatch.Report{Running: 15, Senders: hosts, Share: share, Models: busy.Models})
			sent[host] += pickAndFinish(b, now)
		}
	}
	total := 0
	for _, count := range sent {
		total += count
	}
	const free = 2
	require.InDelta(t, config().CrowdedHeadroomFactor*free*reports, total, 0.1*free*reports)
	require.InDelta(t, total/2, sent[0], 0.1*float64(total))
}

// pickAndFinish sends as many requests as the balancer allows, up to 10, then ends them, and returns their number.
func pickAndFinish(b *dispatch.Balancer, now time.Time) int {
	var choices []dispatch.Choice
	for range 10 {
		if choice, verdict := b.Pick(now, request()); verdict == dispatch.VerdictChosen {
			choices = append(choices, choice)
		}
	}
	for _, choice := range choices {
		b.Done(now, choice, dispatch.OutcomeServed, 0)
	}
	return len(choices)
}

// TestLateRequestLeavesSlotsToOthers guards against slots that are taken, under overload, by callers that can't be answered in time any
// more, while new ones are refused: more than half of the requests served were such, in a replayed overload of 1.3 times the capacity.
func TestLateRequestLeavesSlotsToOthers(t *testing.T) {
	busy, idle := member("r1", "a"), member("r1", "a")
	busy.Slots, idle.Slots = 10, 10
	late := request()
	late.Late = true
	b := newBalancer(busy)
	b.RecordReport(start, "r1", dispatch.Report{Running: 7})
	_, verdict := b.Pick(start, late)
	require.Equal(t, dispatch.VerdictFull, verdict)
	_, verdict = b.Pick(start, request())
	require.Equal(t, dispatch.VerdictChosen, verdict)

	b = newBalancer(idle)
	b.RecordReport(start, "r1", dispatch.Report{Running: 6})
	_, verdict = b.Pick(start, late)
	require.Equal(t, dispatch.VerdictChosen, verdict)
}
