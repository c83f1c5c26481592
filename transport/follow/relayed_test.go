package follow_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// relayedSource is a source behind a relay that holds each watch for a while and was last confirmed by the store some time before.
type relayedSource struct {
	*source
	hold, age time.Duration
}

func (s *relayedSource) List(ctx context.Context, kind feed.Kind, stale bool) (feed.Batch, error) {
	batch, err := s.source.List(ctx, kind, stale)
	batch.Relayed, batch.CompleteAfter = true, -s.age
	return batch, err
}

func (s *relayedSource) Watch(ctx context.Context, kind feed.Kind, since int64, wait time.Duration) (feed.Batch, error) {
	begin := bootclock.Now()
	batch, err := s.source.Watch(ctx, kind, since, min(wait, s.hold))
	batch.Relayed, batch.HeldFor = true, bootclock.Since(begin)
	batch.CompleteAfter = batch.HeldFor - s.age
	return batch, err
}

// TestAgeOfTheConfigurationCountsFromTheStore guards against API keys that are accepted for longer because the relay, and not the store,
// has answered.
func TestAgeOfTheConfigurationCountsFromTheStore(t *testing.T) {
	s := &relayedSource{source: newSource(), hold: 5 * time.Millisecond, age: 3 * time.Second}
	s.put(feed.KindConfiguration, configuration(1))
	follower := startWithSource(t, s)
	eventually(t, func() bool { return follower.View().Ready() })
	for range 20 {
		require.GreaterOrEqual(t, follower.Age(), 3*time.Second)
		time.Sleep(time.Millisecond)
	}
}

// TestVersionSeenRightAfterAWatchHasAKnownTime guards against a version that counts as set some seconds ago because a watch at a relay
// had just ended without changes when it was set. Entries then refused requests seconds too early.
func TestVersionSeenRightAfterAWatchHasAKnownTime(t *testing.T) {
	const hold = 2 * time.Second
	s := &relayedSource{source: newSource(), hold: hold, age: time.Second}
	s.put(feed.KindConfiguration, configuration(1))
	follower := startWithSource(t, s)
	eventually(t, func() bool { return follower.View().Ready() })
	// The watches of the versions end without changes every 2 s; the version is set right after such an end.
	readyAt := bootclock.Time()
	eventually(t, func() bool { return bootclock.Time().Sub(readyAt) > hold+hold/20 })
	setAt := bootclock.Time()
	s.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 2}})
	eventually(t, func() bool { return follower.View().Wanted["m"].Newest() == 2 })
	require.WithinRange(t, follower.View().Wanted["m"][0].Since, setAt.Add(-hold/2), bootclock.Time())
}

// datedSource is a relayedSource that tells how old the changes can be.
type datedSource struct {
	*relayedSource
	changed time.Duration
}

func (s *datedSource) Watch(ctx context.Context, kind feed.Kind, since int64, wait time.Duration) (feed.Batch, error) {
	batch, err := s.relayedSource.Watch(ctx, kind, since, wait)
	batch.Dated, batch.ChangedAfter = true, batch.HeldFor-s.changed
	return batch, err
}

// TestVersionFromARelayThatStoodStillHasAnEarlierTime guards against requests that begin on an old version too late at hosts that read the
// store through a relay that stood still while the new one became wanted.
func TestVersionFromARelayThatStoodStillHasAnEarlierTime(t *testing.T) {
	const stood = 600 * time.Millisecond
	s := &datedSource{&relayedSource{source: newSource(), hold: 2 * time.Second, age: 900 * time.Millisecond}, stood}
	s.put(feed.KindConfiguration, configuration(1))
	follower := startWithSource(t, s)
	eventually(t, func() bool { return follower.View().Ready() })
	readyAt := bootclock.Time()
	eventually(t, func() bool { return bootclock.Time().Sub(readyAt) > 700*time.Millisecond })
	toldAt := bootclock.Time()
	s.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 2}})
	eventually(t, func() bool { return follower.View().Wanted["m"].Newest() == 2 })
	require.WithinRange(t, follower.View().Wanted["m"][0].Since, toldAt.Add(-stood-500*time.Millisecond), bootclock.Time().Add(-stood))
}
