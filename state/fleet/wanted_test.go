package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const activate = 7 * time.Second

// TestNewerVersionDoesNotHideOlderOneThatIsDue guards against requests on a version that two newer ones should have
// replaced: naming the second must not restart the time of the first.
func TestNewerVersionDoesNotHideOlderOneThatIsDue(t *testing.T) {
	wanted := fleet.Wanted{}.
		With(fleet.WantedVersion{Version: 2, Since: start}).
		With(fleet.WantedVersion{Version: 3, Since: start.Add(2 * time.Second)})
	require.EqualValues(t, 0, wanted.Due(start.Add(6*time.Second), activate))
	require.EqualValues(t, 2, wanted.Due(start.Add(8*time.Second), activate))
	require.EqualValues(t, 3, wanted.Due(start.Add(9*time.Second), activate))
	require.EqualValues(t, 3, wanted.Newest())
}

// TestVersionOfUnknownTimeIsDue guards against requests on an old version at a process that started after the naming.
func TestVersionOfUnknownTimeIsDue(t *testing.T) {
	wanted := fleet.Wanted{}.With(fleet.WantedVersion{Version: 3})
	require.EqualValues(t, 3, wanted.Due(start, activate))
}

// TestRestartedProcessLearnsEarlierVersions guards against version 1 staying allowed at a process that saw only version 3.
func TestRestartedProcessLearnsEarlierVersions(t *testing.T) {
	wanted := fleet.Wanted{}.With(fleet.WantedVersion{Version: 3})
	wanted, learned := wanted.WithSince(3, start.Add(3*time.Second))
	require.True(t, learned)
	wanted, learned = wanted.WithSince(2, start)
	require.True(t, learned)
	require.EqualValues(t, 2, wanted.Due(start.Add(8*time.Second), activate))

	_, learned = wanted.WithSince(2, start.Add(time.Second))
	require.False(t, learned, "a known time is not replaced")
	_, learned = wanted.WithSince(4, start)
	require.False(t, learned, "a version that the store has not told of is not taken")
}

// TestVersionsDoNotGoBack guards against an older naming that arrives late.
func TestVersionsDoNotGoBack(t *testing.T) {
	wanted := fleet.Wanted{}.With(fleet.WantedVersion{Version: 3, Since: start}).With(fleet.WantedVersion{Version: 2, Since: start})
	require.EqualValues(t, 3, wanted.Newest())
	pending, ok := wanted.Pending(1)
	require.True(t, ok)
	require.EqualValues(t, 3, pending.Version)
}

// TestOutageOfTheStoreGivesVersionsTheirTimeAgain replays a version named shortly before the store was away for 8 s: no host
// could learn of it, so the older one must go on serving after the return. A host that was cut off alone must not wait.
func TestOutageOfTheStoreGivesVersionsTheirTimeAgain(t *testing.T) {
	for shared, want := range map[bool]int64{true: 0, false: 2} {
		table := fleet.NewTable()
		table.SetWanted(start, fleet.WeightTarget{Model: "m", Version: 2})
		table.StoreRecovered(start.Add(8*time.Second), shared)
		require.EqualValues(t, want, table.View().Wanted["m"].Due(start.Add(9*time.Second), activate))
		require.EqualValues(t, 2, table.View().Wanted["m"].Due(start.Add(15*time.Second), activate))
	}
}
