package follow_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/follow"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// source is an in-memory store for tests.
type source struct {
	mu       sync.Mutex
	records  map[feed.Kind]map[string]feed.Record
	events   map[feed.Kind][]feed.Record
	revision int64
	era      int64
	expired  bool
	// down makes all calls fail; rejected counts them.
	down     bool
	rejected int
	changed  chan struct{}
	// lists counts the list calls and watched the records returned by watches, by kind.
	lists   map[feed.Kind]int
	watched map[feed.Kind]int
}

func newSource() *source {
	return &source{
		records: map[feed.Kind]map[string]feed.Record{}, events: map[feed.Kind][]feed.Record{}, changed: make(chan struct{}),
		lists: map[feed.Kind]int{}, watched: map[feed.Kind]int{},
	}
}

func (s *source) put(kind feed.Kind, record feed.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	record.Revision = s.revision
	if s.records[kind] == nil {
		s.records[kind] = map[string]feed.Record{}
	}
	s.records[kind][record.Name] = record
	if record.Removed {
		delete(s.records[kind], record.Name)
	}
	s.events[kind] = append(s.events[kind], record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes all calls fail, also the pending ones, or answers calls again.
func (s *source) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// dropHistory drops the history and ends the pending watches, so that they fail as expired.
func (s *source) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired = true
	s.events = map[feed.Kind][]feed.Record{}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) List(_ context.Context, kind feed.Kind, _ bool) (feed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists[kind]++
	if s.down {
		s.rejected++
		return feed.Batch{}, protocol.Errorf(protocol.CodeUnavailable, "down")
	}
	batch := feed.Batch{Revision: s.revision, Era: s.era}
	for _, record := range s.records[kind] {
		batch.Records = append(batch.Records, record)
	}
	return batch, nil
}

func (s *source) Watch(ctx context.Context, kind feed.Kind, since int64, wait time.Duration) (feed.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		batch, changed, expired := feed.Batch{Revision: s.revision, Era: s.era}, s.changed, s.expired
		for _, record := range s.events[kind] {
			if record.Revision > since {
				batch.Records = append(batch.Records, record)
			}
		}
		down := s.down
		if down {
			s.rejected++
		}
		s.mu.Unlock()
		if down {
			return feed.Batch{}, protocol.Errorf(protocol.CodeUnavailable, "down")
		}
		if expired && since < batch.Revision {
			return feed.Batch{}, protocol.Errorf(protocol.CodeExpired, "the history has expired")
		}
		if len(batch.Records) > 0 {
			s.mu.Lock()
			s.watched[kind] += len(batch.Records)
			s.mu.Unlock()
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return feed.Batch{}, protocol.Wrap(protocol.CodeUnavailable, ctx.Err(), "watch")
		case <-timer.C:
			return batch, nil
		case <-changed:
		}
	}
}

func startFollower(t *testing.T, s *source) *follow.Follower {
	t.Helper()
	return startWith(t, s, follow.Kind{Kind: feed.KindConfiguration})
}

func startWith(t *testing.T, s *source, first follow.Kind) *follow.Follower {
	t.Helper()
	return startConfigured(t, s, follow.Config{
		Kinds: []follow.Kind{
			first, {Kind: feed.KindReplicas}, {Kind: feed.KindEvacuations}, {Kind: feed.KindWeightTargets},
		},
		ProbeWait: 50 * time.Millisecond,
	})
}

func startWithSource(t *testing.T, s feed.Source) *follow.Follower {
	t.Helper()
	return startConfigured(t, s, follow.Config{
		Kinds: []follow.Kind{{Kind: feed.KindConfiguration}, {Kind: feed.KindWeightTargets}}, ProbeWait: 50 * time.Millisecond,
	})
}

func startConfigured(t *testing.T, s feed.Source, cfg follow.Config) *follow.Follower {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	follower := follow.New(s, cfg, rand.New(rand.NewPCG(1, 1)), logrus.NewEntry(logger))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return follower
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 10*time.Second, time.Millisecond)
}

func configuration(version int64) feed.Record {
	return feed.Record{Name: "main", Value: &fleet.Configuration{Version: version}}
}

func replica(id fleet.ReplicaID) feed.Record {
	return feed.Record{Name: string(id), Value: &fleet.Replica{ID: id, FailureDomain: "a"}}
}

// TestChangesReachTheView checks that records added to and removed from the store show in the view.
func TestChangesReachTheView(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	follower := startFollower(t, s)
	eventually(t, func() bool { return follower.View().Ready() })

	s.put(feed.KindConfiguration, configuration(2))
	s.put(feed.KindReplicas, replica("r1"))
	s.put(feed.KindEvacuations, feed.Record{Name: "a", Value: fleet.Evacuation{FailureDomain: "a"}})
	eventually(t, func() bool {
		view := follower.View()
		return view.Configuration.Version == 2 && len(view.Members) == 1 && view.Members[0].Evacuated
	})
	require.Less(t, follower.Age(), 10*time.Second)
	s.put(feed.KindEvacuations, feed.Record{Name: "a", Removed: true})
	s.put(feed.KindReplicas, feed.Record{Name: "r1", Removed: true})
	eventually(t, func() bool { return len(follower.View().Members) == 0 })
}

// TestLostHistoryIsListedAgain checks that no change is missed when the store drops its history, such as a replica that left
// meanwhile or a failure domain that is back in service.
func TestLostHistoryIsListedAgain(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	s.put(feed.KindReplicas, replica("r1"))
	s.put(feed.KindEvacuations, feed.Record{Name: "a", Value: fleet.Evacuation{FailureDomain: "a"}})
	follower := startFollower(t, s)
	eventually(t, func() bool { return follower.View().Ready() && len(follower.View().Members) == 1 })

	s.mu.Lock()
	delete(s.records[feed.KindReplicas], "r1")
	delete(s.records[feed.KindEvacuations], "a")
	s.records[feed.KindReplicas]["r2"] = replica("r2")
	s.revision += 5
	s.mu.Unlock()
	s.dropHistory()
	eventually(t, func() bool {
		members := follower.View().Members
		return len(members) == 1 && members[0].ID == "r2" && !members[0].Evacuated
	})
}

// TestBurstOfConfigurationsIsCoalesced checks that a burst of configurations is not read version by version. A watch
// returns every version in full, 100 KB each with 260 routes, which can saturate a link, while only the newest is needed.
// A pause of the process between two groups ends the burst, so the test controls the clock.
func TestBurstOfConfigurationsIsCoalesced(t *testing.T) {
	const versions = 40
	synctest.Test(t, func(t *testing.T) {
		s := newSource()
		s.put(feed.KindConfiguration, configuration(1))
		kind := follow.Kind{Kind: feed.KindConfiguration, CoalesceDelay: 50 * time.Millisecond, NewestOnly: true}
		follower := startInBubble(t, s, follow.Config{Kinds: []follow.Kind{kind}, ProbeWait: 50 * time.Millisecond})
		for version := range int64(versions) {
			s.put(feed.KindConfiguration, configuration(version+2))
			if version%4 == 3 {
				awaitVersion(follower, version+2)
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		// Each group of four costs one record from a watch and one from a list, and may cost one more from a watch.
		require.LessOrEqual(t, s.watched[feed.KindConfiguration]+s.lists[feed.KindConfiguration], 3*versions/4+1)
	})
}

// startInBubble starts a follower whose clock is that of the synctest bubble, and waits for its first view.
func startInBubble(t *testing.T, s feed.Source, cfg follow.Config) *follow.Follower {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	cfg.Now = func() bootclock.Instant { return bootclock.Instant(time.Now().UnixNano()) }
	follower := follow.New(s, cfg, rand.New(rand.NewPCG(1, 1)), logrus.NewEntry(logger))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	awaitVersion(follower, 1)
	return follower
}

// awaitVersion waits until a configuration is in the view. Without one the time of the bubble goes on until the test's timeout.
func awaitVersion(follower *follow.Follower, version int64) {
	for view := follower.View(); !view.Ready() || view.Configuration.Version != version; view = follower.View() {
		time.Sleep(time.Millisecond)
	}
}

// TestRefreshedKindIsListedAndNotWatched checks that a kind with a RefreshInterval causes no watches.
func TestRefreshedKindIsListedAndNotWatched(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	follower := startWith(t, s, follow.Kind{Kind: feed.KindConfiguration, RefreshInterval: time.Millisecond})
	eventually(t, func() bool { return follower.View().Ready() })
	s.put(feed.KindConfiguration, configuration(2))
	eventually(t, func() bool { return follower.View().Configuration.Version == 2 })
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Zero(t, s.watched[feed.KindConfiguration])
}

// TestQuietWatchConfirmsUpToTheEndOfItsWait checks that a watch without changes resets the age of the configuration, so that
// API keys stay valid.
func TestQuietWatchConfirmsUpToTheEndOfItsWait(t *testing.T) {
	const wait = 400 * time.Millisecond
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	follower := startConfigured(t, s, follow.Config{Kinds: []follow.Kind{{Kind: feed.KindConfiguration}}, ProbeWait: wait})
	eventually(t, func() bool { return follower.View().Ready() && follower.Age() >= wait })
	eventually(t, func() bool { return follower.Age() < wait/2 })
}

// TestWatchCutOffEarlyConfirmsNothingMore checks that a watch which returns before its wait is over confirms the
// configuration only up to the time at which it was sent, so that its age never becomes negative; otherwise API keys would
// be accepted for too long.
func TestWatchCutOffEarlyConfirmsNothingMore(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	follower := startConfigured(t, &earlySource{source: s}, follow.Config{
		Kinds: []follow.Kind{{Kind: feed.KindConfiguration}}, ProbeWait: time.Hour,
	})
	eventually(t, func() bool { return follower.View().Ready() })
	for range 50 {
		require.GreaterOrEqual(t, follower.Age(), time.Duration(0))
		time.Sleep(time.Millisecond)
	}
}

// earlySource is a source that answers every watch before its wait is over.
type earlySource struct{ *source }

func (s *earlySource) Watch(ctx context.Context, kind feed.Kind, since int64, _ time.Duration) (feed.Batch, error) {
	return s.source.Watch(ctx, kind, since, time.Millisecond)
}

// TestEmptyKindIsListedSeldom checks that an empty kind is listed at its usual interval unless PollWhileEmpty is set.
func TestEmptyKindIsListedSeldom(t *testing.T) {
	s := newSource()
	startConfigured(t, s, follow.Config{Kinds: []follow.Kind{
		{Kind: feed.KindConfiguration, RefreshInterval: time.Minute, PollWhileEmpty: true},
		{Kind: feed.KindWeightTargets, RefreshInterval: time.Minute},
	}, ProbeWait: time.Second})
	eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lists[feed.KindConfiguration] >= 3
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, 1, s.lists[feed.KindWeightTargets])
}

// TestLongListIsReadLessOften checks that the interval between lists grows with their length. 300 hosts that each read
// 3,000 records every 5 s saturated the link between regions, and configurations came into force 10 s late.
func TestLongListIsReadLessOften(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	for number := range 3000 {
		s.put(feed.KindReplicas, replica(fleet.ReplicaID(fmt.Sprint("r", number))))
	}
	startConfigured(t, s, follow.Config{Kinds: []follow.Kind{
		{Kind: feed.KindConfiguration, RefreshInterval: 20 * time.Millisecond},
		{Kind: feed.KindReplicas, RefreshInterval: 20 * time.Millisecond},
	}, ProbeWait: time.Second})
	eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lists[feed.KindConfiguration] >= 30
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	require.LessOrEqual(t, s.lists[feed.KindReplicas], 30/5)
}
