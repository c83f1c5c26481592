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
	cfg.Activate = 7 * time.Second
	return cfg
}

// TestOlderVersionIsFinishedWhereNewestComesTooLate replays two versions 4 s apart: the first is staged and due before the
// second could have been fetched, so leaving it would leave no replica to serve.
func TestOlderVersionIsFinishedWhereNewestComesTooLate(t *testing.T) {
	wanted := fleet.Wanted{{Version: 2, Since: start}, {Version: 3, Since: start.Add(4 * time.Second)}}
	require.EqualValues(t, 2, rollout.Target(config(), start.Add(4*time.Second), wanted, 1, 2))
	require.EqualValues(t, 3, rollout.Target(config(), start.Add(4*time.Second), wanted, 2, 2))
}

// TestOlderVersionIsPassedOverWhereNewestComesInTime replays two versions 2 s apart, of which one load is enough.
func TestOlderVersionIsPassedOverWhereNewestComesInTime(t *testing.T) {
	wanted := fleet.Wanted{{Version: 2, Since: start}, {Version: 3, Since: start.Add(2 * time.Second)}}
	require.EqualValues(t, 3, rollout.Target(config(), start.Add(2*time.Second), wanted, 1, 2))
}

// TestOlderVersionThatIsNotStagedIsPassedOver replays two versions 3 s apart on a large upstream: bringing in both took until
// 5 s after the second was due, with no replica to serve for 3 s.
func TestOlderVersionThatIsNotStagedIsPassedOver(t *testing.T) {
	wanted := fleet.Wanted{{Version: 2, Since: start}, {Version: 3, Since: start.Add(3 * time.Second)}}
	now := start.Add(3500 * time.Millisecond)
	require.EqualValues(t, 3, rollout.Target(config(), now, wanted, 1, 1))
	require.EqualValues(t, 2, rollout.Target(config(), now.Add(time.Second), wanted, 1, 2))
}

// TestVersionPastItsTimeIsPassedOver guards against loading a version that no request may use any more.
func TestVersionPastItsTimeIsPassedOver(t *testing.T) {
	wanted := fleet.Wanted{{Version: 2, Since: start}, {Version: 3, Since: start.Add(4 * time.Second)}}
	require.EqualValues(t, 3, rollout.Target(config(), start.Add(8*time.Second), wanted, 1, 2))
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
		named := fleet.Named{Version: rapid.Int64Range(1, 99).Draw(t, "version"), Since: start}
		var turns []time.Duration
		for _, member := range members {
			turns = append(turns, rollout.Turn(cfg, named, members, "llm", member.Address).Sub(start))
		}
		slices.Sort(turns)
		step := (cfg.Last - cfg.First) / time.Duration(count-1)
		for i, turn := range turns {
			want := cfg.First + time.Duration(i)*step
			require.InDelta(t, want.Seconds(), turn.Seconds(), 0.001)
		}
	})
}

// TestWorkerWithoutWeightsLoadsAtOnce guards against a new replica that waits for its turn while it serves nothing.
func TestWorkerWithoutWeightsLoadsAtOnce(t *testing.T) {
	state := rollout.State{Now: start, Wanted: 2, Complete: true, Turn: start.Add(time.Second)}
	require.Equal(t, rollout.ActionLoad, rollout.Decide(state))
	state.Loaded = 1
	require.Equal(t, rollout.ActionWait, rollout.Decide(state))
}

// TestNoOrderWithoutAllPieces guards against partial weights.
func TestNoOrderWithoutAllPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := rollout.State{
			Now:    start.Add(time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "now"))),
			Wanted: rapid.Int64Range(0, 4).Draw(t, "wanted"),
			Loaded: rapid.Int64Range(0, 4).Draw(t, "loaded"),
			Busy:   rapid.Bool().Draw(t, "busy"),
			Turn:   start.Add(5 * time.Second),
		}
		require.NotEqual(t, rollout.ActionLoad, rollout.Decide(state))
	})
}
