package follow_test

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/follow"
)

// backup is a copy of the records of a source.
type backup struct {
	records  map[feed.Kind]map[string]feed.Record
	revision int64
}

func (s *source) backUp() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := backup{records: map[feed.Kind]map[string]feed.Record{}, revision: s.revision}
	for kind, records := range s.records {
		copied.records[kind] = maps.Clone(records)
	}
	return copied
}

// restore replaces the records by those of a backup, with its revision, and begins the next era. Pending watches are answered.
func (s *source) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.records, s.revision = b.records, b.revision
	s.events = map[feed.Kind][]feed.Record{}
	close(s.changed)
	s.changed = make(chan struct{})
}

func evacuation(domain string) feed.Record {
	return feed.Record{Name: domain, Value: fleet.Evacuation{FailureDomain: "a"}}
}

// TestRestoredStoreDoesNotRevertTheView guards against a view that goes back to an older copy of the store: an older
// configuration and wanted version in force, an evacuation forgotten, a live replica dropped and a draining one used again.
func TestRestoredStoreDoesNotRevertTheView(t *testing.T) {
	s := newSource()
	s.era = 3
	s.put(feed.KindConfiguration, configuration(1))
	s.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 1}})
	s.put(feed.KindReplicas, replica("draining"))
	older := s.backUp()
	follower := startFollower(t, s)
	s.put(feed.KindConfiguration, configuration(2))
	s.put(feed.KindWeightTargets, feed.Record{Name: "m", Value: fleet.WeightTarget{Model: "m", Version: 2}})
	s.put(feed.KindEvacuations, evacuation("a"))
	s.put(feed.KindReplicas, replica("new"))
	s.put(feed.KindReplicas, feed.Record{
		Name: "draining", Value: &fleet.Replica{ID: "draining", FailureDomain: "a", Draining: true},
	})
	isNewest := func() bool {
		view := follower.View()
		return view.Ready() && view.Configuration.Version == 2 && view.Wanted["m"].Newest() == 2 && len(view.Members) == 2 &&
			view.Members[0].Draining && view.Members[1].Evacuated
	}
	eventually(t, isNewest)

	s.mu.Lock()
	listsBefore := s.lists[feed.KindReplicas]
	s.mu.Unlock()
	s.restore(older)
	for _, kind := range []feed.Kind{feed.KindReplicas, feed.KindEvacuations} {
		eventually(t, func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.lists[kind] > listsBefore
		})
	}
	require.True(t, isNewest(), "%+v", follower.View())
}

// TestRevisionsOfTwoErasAreNotCompared guards against missed changes after the store came back from an older copy and gave out
// again the revisions that the view was read at.
func TestRevisionsOfTwoErasAreNotCompared(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	s.put(feed.KindReplicas, replica("r1"))
	older := s.backUp()
	for range 10 {
		s.put(feed.KindReplicas, replica("r1"))
	}
	follower := startFollower(t, s)
	eventually(t, func() bool { return follower.View().Ready() })
	s.restore(older)
	// All of these have revisions that the earlier era had too.
	s.put(feed.KindReplicas, replica("r2"))
	s.put(feed.KindReplicas, feed.Record{
		Name: "r1", Value: &fleet.Replica{ID: "r1", FailureDomain: "a", Draining: true},
	})
	eventually(t, func() bool {
		members := follower.View().Members
		return len(members) == 2 && members[0].Draining && members[1].ID == "r2"
	})
}

// TestRestoredStoreDoesNotConfirmTheConfigurationAtOnce guards against keys that stay valid because a store that lost the newest
// configuration confirms an older one.
func TestRestoredStoreDoesNotConfirmTheConfigurationAtOnce(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	older := s.backUp()
	follower := startConfigured(t, s, follow.Config{Kinds: []follow.Kind{{Kind: feed.KindConfiguration}}, ProbeWait: 20 * time.Millisecond})
	eventually(t, func() bool { return follower.View().Ready() })
	s.restore(older)
	eventually(t, func() bool { return follower.Age() >= time.Second })
	eventually(t, func() bool { return follower.Age() < time.Second })
}
