package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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

// replay runs a load with the present decisions, or with those for upstreams with one priority as the baseline.
func replay(t *testing.T, load simLoad, ranked bool) *simulation {
	t.Helper()
	s := &simulation{ranked: ranked, rate: load.rate, length: 30 * time.Second}
	s.run(1)
	for i, kind := range simKinds {
		k, l := s.kinds[i], s.large[i]
		t.Logf("%s ranked=%t %-14s callers %5d served %.3f in time %.3f largest tenth served %.3f returned %4d refused again %4d",
			load.name, ranked, kind.name, k.callers, k.servedShare(), k.inTimeShare(), l.servedShare(), k.returned, k.refusedAgain)
	}
	return s
}

// total adds up the callers of all kinds.
func (s *simulation) total() simStats {
	sum := simStats{}
	for _, k := range s.kinds {
		sum.callers += k.callers
		sum.served += k.served
		sum.inTime += k.inTime
		sum.returned += k.returned
		sum.refusedAgain += k.refusedAgain
	}
	return sum
}

// TestUrgentRequestsGoFirstUnderOverload guards against less urgent requests that are served in time more often than urgent ones: in a
// burst of plan-draft, it was served best and note-summary worst.
func TestUrgentRequestsGoFirstUnderOverload(t *testing.T) {
	for _, load := range simLoads() {
		before, after := replay(t, load, false), replay(t, load, true)
		t.Logf("%s total before %+v after %+v", load.name, before.total(), after.total())
		for _, other := range after.kinds[1:] {
			require.GreaterOrEqual(t, after.kinds[0].inTimeShare(), other.inTimeShare(), load.name)
		}
		after.checkStarvation(t)
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
