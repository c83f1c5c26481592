package follow_test

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/follow"
)

// told returns a version that became wanted an exactly known time ago.
func told(version int64, age time.Duration) fleet.WantedVersion {
	since := bootclock.Time().Add(-age)
	return fleet.WantedVersion{Version: version, Since: since, Until: since}
}

// TestVersionFoundAtStartHasNoKnownTime checks that a process does not take its own start for the time at which a version
// became the target, and that it takes that time from a peer.
func TestVersionFoundAtStartHasNoKnownTime(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	s.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 3}})
	follower := startFollower(t, s)
	eventually(t, func() bool { return follower.View().Ready() })
	require.True(t, follower.View().Wanted["m"][0].Since.IsZero())

	follower.LearnTargetTime(netip.Addr{}, "m", told(3, 2*time.Second))
	follower.LearnTargetTime(netip.Addr{}, "m", told(2, 6*time.Second))
	wanted := follower.View().Wanted["m"]
	require.Len(t, wanted, 2)
	require.EqualValues(t, 2, wanted[0].Version)
	require.False(t, wanted[1].Since.IsZero())
}

// TestVersionSetAfterLostHistoryHasAKnownTime guards against a version that counts as long due because the watch that would have
// shown it failed: the store had dropped the history while it waited. An entry then refused all requests of a model for 8 s.
func TestVersionSetAfterLostHistoryHasAKnownTime(t *testing.T) {
	const quiet = 1500 * time.Millisecond
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	follower := startConfigured(t, s, follow.Config{
		Kinds: []follow.Kind{
			{Kind: feed.KindConfiguration}, {Kind: feed.KindWeightTargets, WatchWait: quiet / 4},
		},
		ProbeWait: 50 * time.Millisecond,
	})
	eventually(t, func() bool { return follower.View().Ready() })
	readyAt := bootclock.Time()
	s.dropHistory()
	eventually(t, func() bool { return bootclock.Time().Sub(readyAt) > quiet })
	setAt := bootclock.Time()
	s.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 2}})
	eventually(t, func() bool { return follower.View().Wanted["m"].Newest() == 2 })
	require.WithinRange(t, follower.View().Wanted["m"][0].Since, setAt.Add(-quiet/2), bootclock.Time())
}

// TestVersionSetDuringAnOutageCountsFromItsEnd guards against a version that counts as due as soon as the store answers again, because
// it was set some time during the outage. All requests of a model were refused for 5 s then, until the first replica had loaded it.
func TestVersionSetDuringAnOutageCountsFromItsEnd(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	follower := startFollower(t, s)
	eventually(t, func() bool { return follower.View().Ready() })
	s.setDown(true)
	s.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 2}})
	eventually(t, follower.StoreUnresponsive)
	follower.RecordPeerReachability(10, 10)
	endAt := bootclock.Time()
	s.setDown(false)
	eventually(t, func() bool { return follower.View().Wanted["m"].Newest() == 2 })
	require.False(t, follower.View().Wanted["m"][0].Since.Before(endAt))
}

// TestOutageEndNoticedLateRestartsVersionsEarlier guards against requests that begin on an old version too late at a host that stood still
// while an outage ended: it restarted the activation delay when it woke.
func TestOutageEndNoticedLateRestartsVersionsEarlier(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	s.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 2}})
	var stoodFrom atomic.Int64
	cfg := follow.Config{
		Kinds: []follow.Kind{{Kind: feed.KindConfiguration}, {Kind: feed.KindWeightTargets}}, ProbeWait: 50 * time.Millisecond,
		ArrivedAfter: func() bootclock.Instant {
			if from := stoodFrom.Load(); from != 0 {
				return bootclock.Instant(from)
			}
			return bootclock.Now()
		},
	}
	follower := startConfigured(t, s, cfg)
	eventually(t, func() bool { return follower.View().Ready() })
	follower.LearnTargetTime(netip.Addr{}, "m", told(2, time.Minute))
	s.setDown(true)
	eventually(t, follower.StoreUnresponsive)
	follower.RecordPeerReachability(10, 10)
	// The process stood still for 1 s and has just begun to run again.
	from := bootclock.Time().Add(-time.Second)
	stoodFrom.Store(from.UnixNano())
	s.put(feed.KindWeightTargets, feed.Record{Name: "n", Value: fleet.WeightTarget{Model: "n", Version: 3}})
	s.setDown(false)
	eventually(t, func() bool { return follower.View().Wanted["n"].Newest() == 3 })
	for model, wanted := range follower.View().Wanted {
		require.Equal(t, from, wanted[0].Since, "model %s", model)
	}
}

// TestVersionReportedByPeerBecomesTargetAtOnce checks that a new version reported by a peer becomes the target at once, and
// not only with the next stale list.
func TestVersionReportedByPeerBecomesTargetAtOnce(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	s.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 3}})
	follower := startFollower(t, s)
	eventually(t, func() bool { return follower.View().Ready() })
	follower.ApplyPeerTarget(netip.Addr{}, "m", told(4, time.Second))
	wanted := follower.View().Wanted["m"]
	require.EqualValues(t, 4, wanted.Newest())
	require.False(t, wanted[len(wanted)-1].Since.IsZero())
	follower.ApplyPeerTarget(netip.Addr{}, "m", told(3, 2*time.Second))
	require.EqualValues(t, 4, follower.View().Wanted["m"].Newest())
}

// TestVersionReportedByPeerWithoutTimeBecomesTarget guards against an agent that loads an outdated version from a list that is seconds
// old, although entry hosts know the newest one.
func TestVersionReportedByPeerWithoutTimeBecomesTarget(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	s.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 3}})
	follower := startFollower(t, s)
	eventually(t, func() bool { return follower.View().Ready() })
	follower.ApplyPeerVersion("m", 4)
	wanted := follower.View().Wanted["m"]
	require.EqualValues(t, 4, wanted.Newest())
	require.True(t, wanted[len(wanted)-1].Since.IsZero())
	follower.ApplyPeerVersion("m", 3)
	require.EqualValues(t, 4, follower.View().Wanted["m"].Newest())
}

// TestStaleListDoesNotSetTargetTime checks that the time at which a version became the target is not taken from a stale
// list, which may show the version much later.
func TestStaleListDoesNotSetTargetTime(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	follower := startConfigured(t, s, follow.Config{Kinds: []follow.Kind{
		{Kind: feed.KindWeightTargets, RefreshInterval: 10 * time.Millisecond}, {Kind: feed.KindConfiguration},
	}, ProbeWait: time.Second})
	eventually(t, func() bool { return follower.View().Ready() })
	s.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 3}})
	eventually(t, func() bool { return follower.View().Wanted["m"].Newest() == 3 })
	require.True(t, follower.View().Wanted["m"][0].Since.IsZero())
}

// TestVersionReadLateHasAnEarlierTime guards against requests that begin on an old version too late at a host that stood still while the
// new one became wanted: the answer of the store was waiting for it, and the version counted from its reading.
func TestVersionReadLateHasAnEarlierTime(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	var stoodFrom atomic.Int64
	cfg := follow.Config{
		Kinds:     []follow.Kind{{Kind: feed.KindConfiguration}, {Kind: feed.KindWeightTargets}},
		ProbeWait: 50 * time.Millisecond,
		ArrivedAfter: func() bootclock.Instant {
			if from := stoodFrom.Load(); from != 0 {
				return bootclock.Instant(from)
			}
			return bootclock.Now()
		},
	}
	follower := startConfigured(t, s, cfg)
	eventually(t, func() bool { return follower.View().Ready() })
	const longWatch = time.Second
	readyAt := bootclock.Time()
	eventually(t, func() bool { return bootclock.Time().Sub(readyAt) > longWatch })
	// The process stood still for 0.4 s and has just begun to run again.
	stoodFrom.Store(int64(bootclock.Now()) - int64(400*time.Millisecond))
	s.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 2}})
	eventually(t, func() bool { return follower.View().Wanted["m"].Newest() == 2 })
	wanted := follower.View().Wanted["m"][0]
	require.False(t, wanted.Since.After(time.Unix(0, stoodFrom.Load())), "the version may have become wanted at any time since")
	require.False(t, wanted.Until.Before(wanted.Since.Add(400*time.Millisecond)))
}
