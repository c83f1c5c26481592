package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Links of the two customers' hosts.
var (
	brittany = rollout.Links{Pieces: 48, PieceBytes: 49152, OriginBytesPerSecond: 15e6 / 8, HostBytesPerSecond: 9.4e6 / 8}
	oberland = rollout.Links{Pieces: 96, PieceBytes: 24576, OriginBytesPerSecond: 7.3e6 / 8, HostBytesPerSecond: 7.3e6 / 8}
)

// fetchContinuesUntilTimer is the earlier decision about an older version that is not staged: it continues until 3.5 s after it became
// wanted, whatever is missing.
func fetchContinuesUntilTimer(now time.Time, wanted fleet.Wanted) bool {
	const fetchTime = 3500 * time.Millisecond
	return wanted[1].Since.Sub(wanted[0].Since) >= fetchTime/2 && now.Before(wanted[0].Since.Add(fetchTime))
}

// TestOlderVersionIsChosenByForecast reproduces version 3 wanted while version 2 is fetched or staged, in cases in which one of the two
// returns the replica to service sooner.
func TestOlderVersionIsChosenByForecast(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		apart, now, delay time.Duration
		progress          rollout.Progress
		want              rollout.Choice
	}{
		"staged, and the newest comes too late": {
			apart: 4 * second, now: 4 * second,
			progress: rollout.Progress{Loaded: 1, Staged: 2, Links: oberland},
			want:     rollout.Choice{Version: 2, Load: true, Ahead: 3, AheadOrigin: true, Reason: rollout.ReasonSooner},
		},
		"staged, and the newest comes in time": {
			apart: 2 * second, now: 2 * second, delay: 9 * second,
			progress: rollout.Progress{Loaded: 1, Staged: 2, Links: brittany},
			want:     rollout.Choice{Version: 2, Ahead: 3, AheadOrigin: true, Reason: rollout.ReasonStaged},
		},
		"staged, and the newest is held": {
			apart: 2 * second, now: 4 * second,
			progress: rollout.Progress{Loaded: 1, Staged: 2, Links: brittany, Supplies: []rollout.Supply{{Version: 3}}},
			want:     rollout.Choice{Version: 3, Load: true, Reason: rollout.ReasonNewest},
		},
		"nearly held while the origin fails": {
			apart: 2 * second, now: 4 * second,
			progress: rollout.Progress{
				Loaded: 1, Links: away(oberland, 2*second), Supplies: []rollout.Supply{{Version: 2, Missing: 9}, {Version: 3, Missing: 80, Absent: 80}},
			},
			want: rollout.Choice{Version: 2, Load: true, Ahead: 3, AheadOrigin: true, Reason: rollout.ReasonSooner},
		},
		"two thirds held when the next becomes wanted": {
			apart: 2 * second, now: 2 * second, delay: 9 * second,
			progress: rollout.Progress{Loaded: 1, Links: brittany, Supplies: []rollout.Supply{{Version: 2, Missing: 16, Absent: 10}}},
			want:     rollout.Choice{Version: 2, Reason: rollout.ReasonHeadStart},
		},
		"hardly begun": {
			apart: second / 2, now: second / 2,
			progress: rollout.Progress{Loaded: 1, Links: oberland, Supplies: []rollout.Supply{{Version: 2, Missing: 90, Absent: 80}}},
			want:     rollout.Choice{Version: 3, Load: true, Reason: rollout.ReasonNewest},
		},
		"no longer permitted": {
			apart: 2 * second, now: 8500 * time.Millisecond,
			progress: rollout.Progress{Loaded: 1, Staged: 2, Links: away(oberland, 6*second)},
			want:     rollout.Choice{Version: 3, Load: true, Reason: rollout.ReasonNewest},
		},
		"loaded": {
			apart: 2 * second, now: 3 * second,
			progress: rollout.Progress{Loaded: 2, Staged: 2, Links: oberland},
			want:     rollout.Choice{Version: 3, Load: true, Reason: rollout.ReasonNewest},
		},
	} {
		t.Run(name, func(t *testing.T) {
			wanted := fleet.Wanted{{Version: 2, Since: wantedAt}, {Version: 3, Since: wantedAt.Add(test.apart)}}
			cfg := config()
			if test.delay > 0 {
				cfg.ActivationDelay = test.delay
			}
			got := rollout.NextVersion(cfg, wantedAt.Add(test.now), wanted, test.progress)
			got.Gain = 0
			require.Equal(t, test.want, got)
		})
	}
}

func away(links rollout.Links, since time.Duration) rollout.Links {
	links.OriginAwayFor = since
	return links
}

// TestLastPiecesDecideNotATimer reproduces version 2 abandoned at 3.5 s although the origin had failed and 9 pieces were missing that
// peers hold: no replica could serve until the origin was back and had sent all of version 3.
func TestLastPiecesDecideNotATimer(t *testing.T) {
	wanted := fleet.Wanted{{Version: 2, Since: wantedAt}, {Version: 3, Since: wantedAt.Add(2 * time.Second)}}
	progress := rollout.Progress{
		Loaded: 1, Links: away(oberland, 1500*time.Millisecond), Supplies: []rollout.Supply{{Version: 2, Missing: 9}},
	}
	now := wantedAt.Add(4 * time.Second)
	require.False(t, fetchContinuesUntilTimer(now, wanted), "the earlier decision abandons it")
	require.EqualValues(t, 2, rollout.NextVersion(config(), now, wanted, progress).Version)
}

// TestChoiceIsWantedAndNotOlderThanLoaded guards against a choice of a version that is not wanted, that is older than the loaded one, or
// that is fetched ahead although it is the chosen one, for any news.
func TestChoiceIsWantedAndNotOlderThanLoaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := func(name string) time.Time {
			return wantedAt.Add(time.Duration(rapid.Int64Range(0, 20e9).Draw(t, name)))
		}
		var wanted fleet.Wanted
		for version := int64(2); version < 5; version++ {
			wanted = wanted.With(fleet.WantedVersion{Version: version, Since: at("since")})
		}
		progress := rollout.Progress{
			Loaded: rapid.Int64Range(0, 4).Draw(t, "loaded"), Staged: rapid.Int64Range(0, 4).Draw(t, "staged"),
			Links: away(oberland, time.Duration(rapid.Int64Range(0, 9e9).Draw(t, "away"))),
		}
		for version := int64(2); version < 5; version++ {
			missing := rapid.IntRange(0, 96).Draw(t, "missing")
			progress.Supplies = append(progress.Supplies, rollout.Supply{Version: version, Missing: missing, Absent: missing / 2})
		}
		choice := rollout.NextVersion(config(), at("now"), wanted, progress)
		require.True(t, choice.Version == 4 || choice.Version > progress.Loaded && choice.Version >= 2)
		require.True(t, choice.Ahead == 0 || choice.Ahead > choice.Version)
	})
}

// TestThirdVersionDoesNotTakeThePlaceOfTheSecond guards against fetching only the newest of three versions ahead: the second of them is
// nearly held, and may serve for longer than the first.
func TestThirdVersionDoesNotTakeThePlaceOfTheSecond(t *testing.T) {
	wanted := fleet.Wanted{
		{Version: 2, Since: wantedAt}, {Version: 3, Since: wantedAt.Add(2 * time.Second)}, {Version: 4, Since: wantedAt.Add(4 * time.Second)},
	}
	progress := rollout.Progress{Loaded: 1, Staged: 2, Links: brittany, Supplies: []rollout.Supply{{Version: 3, Missing: 30, Absent: 10}}}
	cfg := config()
	cfg.ActivationDelay = 9 * time.Second
	choice := rollout.NextVersion(cfg, wantedAt.Add(4100*time.Millisecond), wanted, progress)
	require.EqualValues(t, 2, choice.Version)
	require.EqualValues(t, 3, choice.Ahead)
}
