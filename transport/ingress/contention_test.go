package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simStats counts the callers of a kind, or of its largest tenth.
type simStats struct{ callers, served, inTime, returned, refusedAgain int }

func (s simStats) servedShare() float64 { return float64(s.served) / float64(max(s.callers, 1)) }
func (s simStats) inTimeShare() float64 { return float64(s.inTime) / float64(max(s.callers, 1)) }

func (s simStats) refusedAgainShare() float64 {
	return float64(s.refusedAgain) / float64(max(s.returned, 1))
}

func (s *simStats) add(other simStats) {
	s.callers += other.callers
	s.served += other.served
	s.inTime += other.inTime
	s.returned += other.returned
	s.refusedAgain += other.refusedAgain
}

// simLoad is a load of docs/design/hard-load.md.
type simLoad struct {
	name string
	rate func(kind simKind, now time.Duration) float64
}

// burst raises the rate of plan-draft by a factor for half of the time.
func burst(factor float64) func(simKind, time.Duration) float64 {
	return func(kind simKind, now time.Duration) float64 {
		if kind.name == "plan-draft" && now > 5*time.Second && now < 20*time.Second {
			return kind.perSecond * factor
		}
		return kind.perSecond
	}
}

func simLoads() []simLoad {
	return []simLoad{
		{"burst 1.5", burst(1.5)},
		{"burst 2.5", burst(2.5)},
		{"day at 1.3", func(kind simKind, _ time.Duration) float64 {
			usual := 0.0
			for _, k := range simKinds {
				usual += k.perSecond
			}
			return kind.perSecond / usual * 1.3 * simServable
		}},
	}
}

// simSeeds is the number of runs whose callers are added up.
const simSeeds = 1

// runLoad runs a load with the present decisions, or with those for upstreams with one priority as the baseline.
func runLoad(t *testing.T, load simLoad, ranked bool, configure func(*Config)) *simulation {
	t.Helper()
	sum := &simulation{kinds: make([]simStats, len(simKinds)), large: make([]simStats, len(simKinds))}
	for seed := range uint64(simSeeds) {
		s := &simulation{ranked: ranked, rate: load.rate, length: 25 * time.Second, configure: configure}
		s.run(seed + 1)
		for i := range simKinds {
			sum.kinds[i].add(s.kinds[i])
			sum.large[i].add(s.large[i])
		}
	}
	for i, kind := range simKinds {
		k, l := sum.kinds[i], sum.large[i]
		t.Logf("ranked=%t %-14s callers %5d served %.3f in time %.3f largest tenth served %.3f returned %4d refused again %4d",
			ranked, kind.name, k.callers, k.servedShare(), k.inTimeShare(), l.servedShare(), k.returned, k.refusedAgain)
	}
	t.Logf("ranked=%t total %+v", ranked, sum.total())
	return sum
}

// total adds up the callers of all kinds.
func (s *simulation) total() simStats {
	sum := simStats{}
	for _, k := range s.kinds {
		sum.add(k)
	}
	return sum
}

// TestUrgentRequestsGoFirstUnderOverload guards against less urgent requests that are served in time more often than urgent ones: in a
// burst of plan-draft, it was served best and note-summary worst. It also guards against fewer requests that are served in all, and
// against callers that come back in vain.
func TestUrgentRequestsGoFirstUnderOverload(t *testing.T) {
	for _, load := range simLoads() {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			before, after := runLoad(t, load, false, func(*Config) {}), runLoad(t, load, true, func(*Config) {})
			for _, other := range after.kinds[1:] {
				require.GreaterOrEqual(t, after.kinds[0].inTimeShare(), other.inTimeShare())
				require.GreaterOrEqual(t, after.kinds[0].servedShare(), other.servedShare()-0.05)
			}
			after.checkStarvation(t)
			require.GreaterOrEqual(t, after.total().served, before.total().served)
			require.LessOrEqual(t, after.total().refusedAgainShare(), before.total().refusedAgainShare()/2)
		})
	}
}

// TestReservedSlotsServeUrgentRequestsInTime guards against a reservation that leaves slots free without a use for urgent requests.
func TestReservedSlotsServeUrgentRequestsInTime(t *testing.T) {
	for _, load := range simLoads()[2:] {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			without := runLoad(t, load, true, func(cfg *Config) { cfg.Dispatch.PriorityReserve, cfg.Dispatch.LateReserve = 0, 0 })
			with := runLoad(t, load, true, func(*Config) {})
			require.Greater(t, with.kinds[0].inTime, without.kinds[0].inTime)
			require.Greater(t, with.kinds[1].inTime, without.kinds[1].inTime)
		})
	}
}

// checkStarvation requires the bounds of docs/design/hard-load.md: each kind is served at least a quarter as often as the rest, and its
// largest tenth at least half as often as all of it.
func (s *simulation) checkStarvation(t *testing.T) {
	t.Helper()
	total := s.total()
	for i, k := range s.kinds {
		rest := simStats{callers: total.callers - k.callers, served: total.served - k.served}
		require.GreaterOrEqual(t, k.servedShare(), rest.servedShare()/4, simKinds[i].name)
		require.GreaterOrEqual(t, s.large[i].servedShare(), k.servedShare()/2, "largest tenth of %s", simKinds[i].name)
	}
}
