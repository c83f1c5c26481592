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

// at returns a version whose time is known exactly.
func at(version int64, since time.Time) fleet.WantedVersion {
	return fleet.WantedVersion{Version: version, Since: since, Until: since}
}

// TestRestartedProcessLearnsEarlierVersions guards against version 1 staying allowed in a process that saw only version 3 and
// so does not know that version 2 is due.
func TestRestartedProcessLearnsEarlierVersions(t *testing.T) {
	wanted := fleet.Wanted{}.With(fleet.WantedVersion{Version: 3})
	wanted, changed := wanted.WithTime(at(3, start.Add(3*time.Second)))
	require.True(t, changed)
	wanted, changed = wanted.WithTime(at(2, start))
	require.True(t, changed)
	require.EqualValues(t, 2, wanted.Due(start.Add(8*time.Second), activationDelay))

	_, changed = wanted.WithTime(at(2, start.Add(time.Second)))
	require.False(t, changed, "a known time is not replaced by a later one")
	_, changed = wanted.WithTime(at(4, start))
	require.False(t, changed, "a version that the store has not listed is not added")
}

// TestVersionTimeHeardFirstDoesNotWin guards against the time of a version that depends on which host is heard first: all orders of the
// same news must give the same time, also if one of them is wrong.
func TestVersionTimeHeardFirstDoesNotWin(t *testing.T) {
	second := func(n float64) time.Time { return start.Add(time.Duration(n * float64(time.Second))) }
	between := func(since, until float64) fleet.WantedVersion {
		return fleet.WantedVersion{Version: 3, Since: second(since), Until: second(until)}
	}
	for name, news := range map[string][]fleet.WantedVersion{
		"uncertain":        {between(-3, 4), between(0, 0.2), between(-2, 0.5)},
		"too late":         {between(3, 3.1), between(0, 0.2), between(-2, 0.5)},
		"too late, chains": {between(5, 5.5), between(3, 3.1), between(0, 0.2)},
	} {
		for _, order := range [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
			wanted := fleet.Wanted{{Version: 3, Until: second(6)}}
			for _, i := range order {
				wanted, _ = wanted.WithTime(news[i])
			}
			require.Equal(t, second(0), wanted[0].Since, "%s, order %v", name, order)
			require.False(t, wanted.LacksTime(3), "%s, order %v", name, order)
		}
	}
}

// TestOutageNoticedHereIsNotForgotten guards against service that is lost after an outage of the store, because a host that did not notice
// it tells the time before it.
func TestOutageNoticedHereIsNotForgotten(t *testing.T) {
	wanted := fleet.Wanted{at(3, start)}.ClampSince(start.Add(9 * time.Second))
	wanted, changed := wanted.WithTime(at(3, start))
	require.False(t, changed)
	require.Equal(t, start.Add(9*time.Second), wanted[0].Since)
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
		table.StoreRecovered(start.Add(8 * time.Second))
		if shared {
			table.RestartActivation(start.Add(8 * time.Second))
		}
		require.EqualValues(t, want, table.View().Wanted["m"].Due(start.Add(9*time.Second), activationDelay))
		require.EqualValues(t, 2, table.View().Wanted["m"].Due(start.Add(15*time.Second), activationDelay))
	}
}

// TestManyVersionsInSuccessionKeepTheirTimes guards against requests that begin on an old version too late while newer ones become wanted
// quickly: the first of more than eight was forgotten with its time before it was due.
func TestManyVersionsInSuccessionKeepTheirTimes(t *testing.T) {
	table := fleet.NewTable()
	const between = 300 * time.Millisecond
	for i := range 30 {
		table.SetWanted(start.Add(time.Duration(i)*between), fleet.WeightTarget{Model: "m", Version: int64(2 + i)})
	}
	wanted := table.View().Wanted["m"]
	require.EqualValues(t, 2, wanted.Due(start.Add(activationDelay), activationDelay))
	require.EqualValues(t, 3, wanted.Due(start.Add(activationDelay+between), activationDelay))
}
