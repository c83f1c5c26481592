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

var wantedAt = time.Unix(1000, 0)

func config() rollout.Config {
	cfg := rollout.DefaultConfig()
	cfg.ActivationDelay = 7 * time.Second
	return cfg
}

// loadOf returns the load of a version at a replica that was ready at a time.
func loadOf(wanted fleet.Wanted, loaded, version int64, readyAt time.Time, members []fleet.Member, address string) rollout.Load {
	return rollout.Load{
		Wanted: wanted, Loaded: loaded, Version: version, ReadyAt: readyAt, Members: members, Upstream: "llm", Address: address,
	}
}

// TestLoadsThatAreReadyLateAreSpread guards against replicas that all load at the same time because their turns had passed when the
// version was ready, and against loads after the old weights have lost their requests.
func TestLoadsThatAreReadyLateAreSpread(t *testing.T) {
	var members []fleet.Member
	for i := range 20 {
		members = append(members, fleet.Member{Replica: fleet.Replica{
			ID: fleet.ReplicaID(fmt.Sprint("r", i)), Upstream: "llm", Address: fmt.Sprint("10.0.0.", i, ":80"), FailureDomain: "a",
		}})
	}
	wanted := fleet.Wanted{{Version: 2, Since: wantedAt}, {Version: 3, Since: wantedAt.Add(2 * time.Second)}}
	cfg := rollout.ConfigFor(7500 * time.Millisecond)
	last := wantedAt.Add(cfg.LastLoadDelay)
	for _, version := range []int64{2, 3} {
		readyAt := wantedAt.Add(5 * time.Second)
		var times []time.Time
		for _, member := range members {
			times = append(times, rollout.EarliestLoadTime(cfg, loadOf(wanted, 1, version, readyAt, members, member.Address)))
		}
		slices.SortFunc(times, time.Time.Compare)
		require.Equal(t, readyAt, times[0])
		require.Equal(t, last, times[len(times)-1])
		require.Greater(t, times[10].Sub(times[5]), 400*time.Millisecond)
	}
	late := last.Add(time.Second)
	require.Equal(t, late, rollout.EarliestLoadTime(cfg, loadOf(wanted, 1, 3, late, members, members[19].Address)), "a late one loads at once")
}

// TestReplicasDoNotLoadTogether guards against many replicas of an upstream that load at the same time, and against loads
// outside the window.
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
		wanted := fleet.Wanted{{Version: rapid.Int64Range(1, 99).Draw(t, "version"), Since: wantedAt}}
		var loadTimes []time.Duration
		for _, member := range members {
			loadTimes = append(loadTimes, rollout.EarliestLoadTime(cfg, loadOf(wanted, 0, wanted.Newest(), wantedAt, members, member.Address)).Sub(wantedAt))
		}
		slices.Sort(loadTimes)
		step := (cfg.LastLoadDelay - cfg.FirstLoadDelay) / time.Duration(count-1)
		for i, loadAt := range loadTimes {
			want := cfg.FirstLoadDelay + time.Duration(i)*step
			require.InDelta(t, want.Seconds(), loadAt.Seconds(), 0.001)
		}
	})
}

// TestLoadsAreSpreadOverTheActivationDelay reproduces loads spread over only 2.2 s: each replica was out of service for 1.7 s,
// so most of them were out of service at the same time.
func TestLoadsAreSpreadOverTheActivationDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		activate := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "activate"))
		cfg := rollout.ConfigFor(activate)
		require.LessOrEqual(t, cfg.FirstLoadDelay, cfg.LastLoadDelay)
		require.LessOrEqual(t, cfg.LastLoadDelay, activate)
	})
	cfg := rollout.ConfigFor(6800 * time.Millisecond)
	require.Equal(t, 2500*time.Millisecond, cfg.FirstLoadDelay)
	require.Equal(t, 6700*time.Millisecond, cfg.LastLoadDelay)
}

// TestWorkerWithoutWeightsLoadsAtOnce guards against a new replica that delays its load although it serves nothing.
func TestWorkerWithoutWeightsLoadsAtOnce(t *testing.T) {
	state := rollout.State{Now: wantedAt, Wanted: 2, Staged: true, EarliestLoad: wantedAt.Add(time.Second)}
	require.Equal(t, rollout.ActionLoad, rollout.Decide(state))
	state.Loaded = 1
	require.Equal(t, rollout.ActionWait, rollout.Decide(state))
}

// TestUnansweredOrderIsSentAgainBeforeTheNextVersion guards against staging the next version while the worker may still carry
// out an order for an older one, and against a stream of orders to a worker that answers none.
func TestUnansweredOrderIsSentAgainBeforeTheNextVersion(t *testing.T) {
	wanted := fleet.Wanted{{Version: 2, Since: wantedAt}, {Version: 3, Since: wantedAt.Add(time.Second)}}
	progress := rollout.Progress{Loaded: 1, Staged: 2, Unanswered: 2}
	choice := rollout.NextVersion(config(), wantedAt.Add(time.Minute), wanted, progress)
	require.EqualValues(t, 2, choice.Version)
	require.True(t, choice.Load)
	progress.Unanswered = 0
	require.EqualValues(t, 3, rollout.NextVersion(config(), wantedAt.Add(time.Minute), wanted, progress).Version)

	state := rollout.State{Now: wantedAt, Wanted: 2, Staged: true, Unanswered: true, EarliestLoad: wantedAt.Add(time.Second)}
	require.Equal(t, rollout.ActionWait, rollout.Decide(state), "a repeat has its own time, also for a worker without a version")
	state.Now = state.EarliestLoad
	require.Equal(t, rollout.ActionLoad, rollout.Decide(state))
	state.Busy = true
	require.Equal(t, rollout.ActionWait, rollout.Decide(state))
}

// TestNoOrderWithoutAllPieces guards against loading partial weights.
func TestNoOrderWithoutAllPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := rollout.State{
			Now:          wantedAt.Add(time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "now"))),
			Wanted:       rapid.Int64Range(0, 4).Draw(t, "wanted"),
			Loaded:       rapid.Int64Range(0, 4).Draw(t, "loaded"),
			Busy:         rapid.Bool().Draw(t, "busy"),
			Unanswered:   rapid.Bool().Draw(t, "unanswered"),
			EarliestLoad: wantedAt.Add(5 * time.Second),
		}
		require.NotEqual(t, rollout.ActionLoad, rollout.Decide(state))
	})
}
