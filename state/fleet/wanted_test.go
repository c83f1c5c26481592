package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const activationDelay = 7 * time.Second

// TestNewerVersionDoesNotHideOlderOneThatIsDue guards against requests served with a version that two newer ones should have
// replaced: setting the second must not restart the activation delay of the first.
func TestNewerVersionDoesNotHideOlderOneThatIsDue(t *testing.T) {
	wanted := fleet.Wanted{}.
		With(fleet.WantedVersion{Version: 2, Since: start}).
		With(fleet.WantedVersion{Version: 3, Since: start.Add(2 * time.Second)})
	require.EqualValues(t, 0, wanted.Due(start.Add(6*time.Second), activationDelay))
	require.EqualValues(t, 2, wanted.Due(start.Add(8*time.Second), activationDelay))
	require.EqualValues(t, 3, wanted.Due(start.Add(9*time.Second), activationDelay))
	require.EqualValues(t, 3, wanted.Newest())
}

// TestVersionOfUnknownTimeIsDue guards against requests served with an old version by a process that started after the
// target was set.
func TestVersionOfUnknownTimeIsDue(t *testing.T) {
	wanted := fleet.Wanted{}.With(fleet.WantedVersion{Version: 3})
	require.EqualValues(t, 3, wanted.Due(start, activationDelay))
}

// TestRestartedProcessLearnsEarlierVersions guards against version 1 staying allowed in a process that saw only version 3 and
// so does not know that version 2 is due.
func TestRestartedProcessLearnsEarlierVersions(t *testing.T) {
	wanted := fleet.Wanted{}.With(fleet.WantedVersion{Version: 3})
	wanted, changed := wanted.WithSince(3, start.Add(3*time.Second))
	require.True(t, changed)
	wanted, changed = wanted.WithSince(2, start)
	require.True(t, changed)
	require.EqualValues(t, 2, wanted.Due(start.Add(8*time.Second), activationDelay))

	_, changed = wanted.WithSince(2, start.Add(time.Second))
	require.False(t, changed, "a known time is not replaced")
	_, changed = wanted.WithSince(4, start)
	require.False(t, changed, "a version that the store has not listed is not added")
}

// TestOlderTargetDoesNotReplaceNewer guards against a late, older target that replaces a newer one.
func TestOlderTargetDoesNotReplaceNewer(t *testing.T) {
	wanted := fleet.Wanted{}.With(fleet.WantedVersion{Version: 3, Since: start}).With(fleet.WantedVersion{Version: 2, Since: start})
	require.EqualValues(t, 3, wanted.Newest())
	pending, ok := wanted.Pending(1)
	require.True(t, ok)
	require.EqualValues(t, 3, pending.Version)
}

// TestStoreOutageRestartsActivationDelay guards against a version that is due before any host could load it: it is set shortly
// before the store is unavailable for 8 s, so the older version must go on serving after the recovery. A host that alone
// could not reach the store must not wait again.
func TestStoreOutageRestartsActivationDelay(t *testing.T) {
	for shared, want := range map[bool]int64{true: 0, false: 2} {
		table := fleet.NewTable()
		table.SetWanted(start, fleet.WeightTarget{Model: "m", Version: 2})
		table.StoreRecovered(start.Add(8*time.Second), shared)
		require.EqualValues(t, want, table.View().Wanted["m"].Due(start.Add(9*time.Second), activationDelay))
		require.EqualValues(t, 2, table.View().Wanted["m"].Due(start.Add(15*time.Second), activationDelay))
	}
}
