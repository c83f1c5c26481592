package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/fleetsim"
)

// fewSeeds and moreSeeds are numbers of runs with each rule. The shares of two single runs differ by about 0.01 with 34 engines and by up
// to 0.05 with 9 at their capacity.
const fewSeeds, moreSeeds uint64 = 2, 8

// placements runs a deployment with each rule and some seeds.
func placements(t *testing.T, name string, f *fleetsim.Streams, seeds uint64) map[fleetsim.Rule]*fleetsim.StreamResult {
	t.Helper()
	results := map[fleetsim.Rule]*fleetsim.StreamResult{}
	for _, rule := range []fleetsim.Rule{fleetsim.ByStart, fleetsim.ByCount, fleetsim.LeastOfTwo} {
		total := &fleetsim.StreamResult{}
		for seed := range seeds {
			total.Add(f.Run(rule, seed))
		}
		results[rule] = total
		t.Logf("%s, %s: %v", name, rule, total)
	}
	return results
}

// TestPlacementByStartServesMoreInTime checks the stated target for heavy-tailed lengths, also with speeds that change every 600 ms.
func TestPlacementByStartServesMoreInTime(t *testing.T) {
	for _, load := range []float64{0.85, 1} {
		for name, pace := range map[string]func(int, time.Duration) float64{"even": nil, "changing": fleetsim.ChangingPace} {
			f := fleetsim.Kineplan(load, 1.4)
			f.Pace = pace
			results := placements(t, fmt.Sprintf("load %.2f, %s speeds", load, name), f, fewSeeds)
			for _, baseline := range []fleetsim.Rule{fleetsim.ByCount, fleetsim.LeastOfTwo} {
				require.Greater(t, results[fleetsim.ByStart].Share(), results[baseline].Share(), "%s", baseline)
			}
			errors := results[fleetsim.ByStart].ForecastErrors
			slices.Sort(errors)
			median, p95 := errors[len(errors)/2], errors[len(errors)*95/100]
			t.Logf("error of the first event: median %.2f, 95th percentile %.2f of %d", median, p95, len(errors))
			if pace == nil {
				require.LessOrEqual(t, median, 0.3)
			}
		}
	}
}

// TestPlacementOfFewAndManyEntries guards against entries that act on the same old reports and all choose the same replica, or leave slots
// empty, and against overload that it makes worse.
func TestPlacementOfFewAndManyEntries(t *testing.T) {
	for _, entries := range []int{8, 100} {
		f := fleetsim.Kineplan(0.9, 1.2)
		f.Entries = entries
		results := placements(t, fmt.Sprintf("%d entries", entries), f, fewSeeds)
		require.Greater(t, results[fleetsim.ByStart].Share(), results[fleetsim.LeastOfTwo].Share())
		require.Greater(t, results[fleetsim.ByStart].Share(), results[fleetsim.ByCount].Share()-0.01, "more than the noise of the seeds")
		require.Less(t, results[fleetsim.ByStart].DistantShare(), results[fleetsim.ByCount].DistantShare())
	}
	f := fleetsim.Kineplan(1.3, 1.2)
	results := placements(t, "load 1.3", f, fewSeeds)
	require.Greater(t, results[fleetsim.ByStart].Share(), results[fleetsim.ByCount].Share())
}

// TestRegionWhoseCallersDoubleUsesOthers guards against a region that misses its objective while others have capacity.
func TestRegionWhoseCallersDoubleUsesOthers(t *testing.T) {
	f := fleetsim.Kineplan(0.75, 1.6)
	f.Surge = 2
	results := placements(t, "surge", f, fewSeeds)
	require.Greater(t, results[fleetsim.ByStart].Share(), results[fleetsim.ByCount].Share())
	require.Greater(t, results[fleetsim.ByStart].FirstRegionShare(), results[fleetsim.ByCount].FirstRegionShare())
	require.Less(t, results[fleetsim.ByStart].DistantShare(), 0.1, "bytes between regions are expensive")
}

// TestSlowReplicaWithoutStatedPaceIsFoundOut guards against replicas that are slower than their reports say and get as much as others.
func TestSlowReplicaWithoutStatedPaceIsFoundOut(t *testing.T) {
	f := fleetsim.Kineplan(0.8, 1.4)
	f.Unstated = true
	f.Pace = func(engine int, _ time.Duration) float64 {
		if engine < 6 {
			return 2.5
		}
		return 1
	}
	results := placements(t, "unstated pace", f, fewSeeds)
	for _, baseline := range []fleetsim.Rule{fleetsim.ByCount, fleetsim.LeastOfTwo} {
		require.Greater(t, results[fleetsim.ByStart].Share(), results[baseline].Share(), "%s", baseline)
	}
}

// TestEstablishedDeploymentIsServedNoWorse guards against a deployment with published figures and one priority that is served worse than
// before, or sends more across regions.
func TestEstablishedDeploymentIsServedNoWorse(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1, 1.3} {
		seeds := fewSeeds
		if load >= 1 {
			seeds = moreSeeds
		}
		results := placements(t, fmt.Sprintf("established deployment at %.1f", load), fleetsim.Established(load), seeds)
		now, before := results[fleetsim.ByStart], results[fleetsim.ByCount]
		require.GreaterOrEqual(t, now.Share(), before.Share())
		require.GreaterOrEqual(t, now.ServedShare(), before.ServedShare()-0.002, "more than the noise of the seeds")
		require.LessOrEqual(t, now.DistantShare(), before.DistantShare())
	}
}

// TestLateAndLostReportsDoNotHarm guards against a placement that relies on reports which do not arrive.
func TestLateAndLostReportsDoNotHarm(t *testing.T) {
	f := fleetsim.Kineplan(0.85, 1.4)
	f.Lost = 0.6
	results := placements(t, "60 % of the reports lost", f, fewSeeds)
	require.Greater(t, results[fleetsim.ByStart].Share(), results[fleetsim.ByCount].Share())
}
