package rollout_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

var start = time.Unix(1000, 0)

func config() rollout.Config {
	cfg := rollout.DefaultConfig()
	cfg.ActivationDelay = 7 * time.Second
	return cfg
}

// TestOlderVersionIsFinishedWhereNewestComesTooLate replays two versions 4 s apart: the first is staged and due before the
// second could have been fetched, so leaving it would leave no replica to serve.
func TestOlderVersionIsFinishedWhereNewestComesTooLate(t *testing.T) {
	wanted := fleet.Wanted{{Version: 2, Since: start}, {Version: 3, Since: start.Add(4 * time.Second)}}
	require.EqualValues(t, 2, rollout.NextVersion(config(), start.Add(4*time.Second), wanted, 1, 2))
	require.EqualValues(t, 3, rollout.NextVersion(config(), start.Add(4*time.Second), wanted, 2, 2))
}

// TestOlderVersionIsPassedOverWhereNewestComesInTime replays two versions 2 s apart, of which one load is enough.
func TestOlderVersionIsPassedOverWhereNewestComesInTime(t *testing.T) {
	wanted := fleet.Wanted{{Version: 2, Since: start}, {Version: 3, Since: start.Add(2 * time.Second)}}
	require.EqualValues(t, 3, rollout.NextVersion(config(), start.Add(2*time.Second), wanted, 1, 2))
}

// TestOlderVersionThatIsNotStagedIsPassedOver replays two versions 3 s apart on a large upstream: bringing in both took until
// 5 s after the second was due, with no replica to serve for 3 s.
func TestOlderVersionThatIsNotStagedIsPassedOver(t *testing.T) {
	wanted := fleet.Wanted{{Version: 2, Since: start}, {Version: 3, Since: start.Add(3 * time.Second)}}
	now := start.Add(3500 * time.Millisecond)
	require.EqualValues(t, 3, rollout.NextVersion(config(), now, wanted, 1, 1))
	require.EqualValues(t, 2, rollout.NextVersion(config(), now.Add(time.Second), wanted, 1, 2))
}

// TestOlderVersionInTheMakingIsFinished replays two versions 3 s apart whose origin failed half a second before the second:
// hosts gave up the first with all of its pieces among them, and had nothing to serve for 7 s.
func TestOlderVersionInTheMakingIsFinished(t *testing.T) {
	wanted := fleet.Wanted{{Version: 2, Since: start}, {Version: 3, Since: start.Add(3 * time.Second)}}
	require.EqualValues(t, 2, rollout.NextVersion(config(), start.Add(3*time.Second), wanted, 1, 0))
	require.EqualValues(t, 3, rollout.NextVersion(config(), start.Add(3500*time.Millisecond), wanted, 1, 0))
	require.EqualValues(t, 2, rollout.NextVersion(config(), start.Add(3500*time.Millisecond), wanted, 1, 2))
	require.EqualValues(t, 3, rollout.NextVersion(config(), start.Add(3200*time.Millisecond), wanted, 2, 2))
}

// TestOlderVersionHardlyBegunIsPassedOver guards against a newest version that waits for one which helps nobody.
func TestOlderVersionHardlyBegunIsPassedOver(t *testing.T) {
	wanted := fleet.Wanted{{Version: 2, Since: start}, {Version: 3, Since: start.Add(time.Second)}}
	require.EqualValues(t, 3, rollout.NextVersion(config(), start.Add(time.Second), wanted, 1, 0))
	wanted = fleet.Wanted{{Version: 2}, {Version: 3, Since: start.Add(3 * time.Second)}}
	require.EqualValues(t, 3, rollout.NextVersion(config(), start.Add(3*time.Second), wanted, 1, 0))
}

// TestLoadsHurryWhenANewerVersionIsNamed guards against a newest version that waits until the last host has had its turn for
// the one before.
func TestLoadsHurryWhenANewerVersionIsNamed(t *testing.T) {
	var members []fleet.Member
	for i := range 20 {
		members = append(members, fleet.Member{Replica: fleet.Replica{
			ID: fleet.ReplicaID(fmt.Sprint("r", i)), Upstream: "llm", Address: fmt.Sprint("10.0.0.", i, ":80"), FailureDomain: "a",
		}})
	}
	wanted := fleet.Wanted{{Version: 2, Since: start}, {Version: 3, Since: start.Add(3 * time.Second)}}
	cfg := config()
	for _, member := range members {
		turn := rollout.EarliestLoadTime(cfg, wanted, 1, members, "llm", member.Address)
		require.False(t, turn.After(start.Add(cfg.FirstLoadDelay+cfg.SupersededSpread)))
	}
}

// TestVersionPastItsTimeIsPassedOver guards against loading a version that no request may use any more.
func TestVersionPastItsTimeIsPassedOver(t *testing.T) {
	wanted := fleet.Wanted{{Version: 2, Since: start}, {Version: 3, Since: start.Add(4 * time.Second)}}
	require.EqualValues(t, 3, rollout.NextVersion(config(), start.Add(8*time.Second), wanted, 1, 2))
}

// TestReplicasDoNotLoadTogether guards against a rollout that takes much of an upstream at one moment, and against one that
// leaves its window.
func TestReplicasDoNotLoadTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 40).Draw(t, "replicas")
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		var members []fleet.Member
		for i := range count {
			members = append(members, fleet.Member{Replica: fleet.Replica{
				ID:            fleet.ReplicaID(fmt.Sprint("r", i)),
				Upstream:      "llm",
				Address:       fmt.Sprint("10.0.0.", i, ":80"),
				FailureDomain: core.FailureDomain(fmt.Sprint("d", i%domains)),
			}})
		}
		cfg := config()
		wanted := fleet.Wanted{{Version: rapid.Int64Range(1, 99).Draw(t, "version"), Since: start}}
		var turns []time.Duration
		for _, member := range members {
			turns = append(turns, rollout.EarliestLoadTime(cfg, wanted, 0, members, "llm", member.Address).Sub(start))
		}
		slices.Sort(turns)
		step := (cfg.LastLoadDelay - cfg.FirstLoadDelay) / time.Duration(count-1)
		for i, turn := range turns {
			want := cfg.FirstLoadDelay + time.Duration(i)*step
			require.InDelta(t, want.Seconds(), turn.Seconds(), 0.001)
		}
	})
}

// TestLoadsAreSpreadUpToTheTimeInForce replays loads within 2.2 s: each replica was out for 1.7 s, so that most of them were
// out at once.
func TestLoadsAreSpreadUpToTheTimeInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		activate := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "activate"))
		cfg := rollout.ConfigFor(activate)
		require.LessOrEqual(t, cfg.FirstLoadDelay, cfg.LastLoadDelay)
		require.LessOrEqual(t, cfg.LastLoadDelay, activate)
	})
	cfg := rollout.ConfigFor(6800 * time.Millisecond)
	require.Equal(t, 3*time.Second, cfg.FirstLoadDelay)
	require.Equal(t, 6700*time.Millisecond, cfg.LastLoadDelay)
}

// TestWorkerWithoutWeightsLoadsAtOnce guards against a new replica that waits for its turn while it serves nothing.
func TestWorkerWithoutWeightsLoadsAtOnce(t *testing.T) {
	state := rollout.State{Now: start, Wanted: 2, Staged: true, EarliestLoad: start.Add(time.Second)}
	require.Equal(t, rollout.ActionLoad, rollout.Decide(state))
	state.Loaded = 1
	require.Equal(t, rollout.ActionWait, rollout.Decide(state))
}

// TestNoOrderWithoutAllPieces guards against partial weights.
func TestNoOrderWithoutAllPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := rollout.State{
			Now:          start.Add(time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "now"))),
			Wanted:       rapid.Int64Range(0, 4).Draw(t, "wanted"),
			Loaded:       rapid.Int64Range(0, 4).Draw(t, "loaded"),
			Busy:         rapid.Bool().Draw(t, "busy"),
			EarliestLoad: start.Add(5 * time.Second),
		}
		require.NotEqual(t, rollout.ActionLoad, rollout.Decide(state))
	})
}
