package follow_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/transport/follow"
)

// TestReplicaIsRemovedWhenItsRecordNoLongerDecodes checks that a replica leaves the view when another writer replaces its
// record by one that does not decode, so that it gets no further requests.
func TestReplicaIsRemovedWhenItsRecordNoLongerDecodes(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	s.put(feed.KindReplicas, replica("r1"))
	follower := startFollower(t, s)
	eventually(t, func() bool { return follower.View().Ready() && len(follower.View().Members) == 1 })
	s.put(feed.KindReplicas, feed.Record{Name: "r1", Err: io.ErrUnexpectedEOF})
	eventually(t, func() bool { return len(follower.View().Members) == 0 })
}

// TestUnreadableEvacuationIsInForce guards against requests to a failure domain whose evacuation can't be decoded, by a watch or a list.
func TestUnreadableEvacuationIsInForce(t *testing.T) {
	for name, listed := range map[string]bool{"watched": false, "listed": true} {
		t.Run(name, func(t *testing.T) {
			s := newSource()
			s.put(feed.KindConfiguration, configuration(1))
			s.put(feed.KindReplicas, replica("r1"))
			odd := feed.Record{Name: "a", Err: io.ErrUnexpectedEOF}
			if listed {
				s.put(feed.KindEvacuations, odd)
			}
			follower := startFollower(t, s)
			eventually(t, func() bool { return follower.View().Ready() && len(follower.View().Members) == 1 })
			s.put(feed.KindEvacuations, odd)
			eventually(t, func() bool { return follower.View().Members[0].Evacuated })
			s.put(feed.KindEvacuations, feed.Record{Name: "a", Removed: true})
			eventually(t, func() bool { return !follower.View().Members[0].Evacuated })
		})
	}
}

// TestOddRecordIsLoggedOnceForEachRevision guards against a log that fills with the same line because lists return the record each time.
func TestOddRecordIsLoggedOnceForEachRevision(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	s.put(feed.KindReplicas, feed.Record{Name: "odd", Err: io.ErrUnexpectedEOF})
	logger, lines := logrustest.NewNullLogger()
	kinds := []follow.Kind{{Kind: feed.KindConfiguration}, {Kind: feed.KindReplicas, RefreshInterval: time.Millisecond}}
	follower := follow.New(s, follow.Config{Kinds: kinds, ProbeWait: time.Second}, rand.New(rand.NewPCG(1, 1)), logrus.NewEntry(logger))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	defer running.Wait()
	defer cancel()
	awaitLists := func(count int) {
		eventually(t, func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.lists[feed.KindReplicas] >= count
		})
	}
	awaitLists(10)
	s.put(feed.KindReplicas, feed.Record{Name: "odd", Err: io.ErrUnexpectedEOF})
	awaitLists(20)
	count := 0
	for _, line := range lines.AllEntries() {
		if line.Message == "skip record" {
			count++
		}
	}
	require.Equal(t, 2, count)
}
