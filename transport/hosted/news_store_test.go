package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
)

// newsStore is a stand-in for the platform's store whose watches may hear nothing, and whose calls may fail, hang or be slow.
type newsStore struct {
	mu        sync.Mutex
	revision  int64
	records   map[feed.Kind]map[string]feed.Record
	events    map[feed.Kind][]feed.Record
	compacted int64
	changed   chan struct{}
	// withhold makes watches hear nothing. cut is closed and replaced to reset the watches that wait.
	withhold bool
	cut      chan struct{}
	// epoch counts how often all connections went silent; a call of an earlier epoch gets no answer.
	epoch int
	// muted counts, by kind, how often the watches that wait went silent; a watch of an earlier count gets no answer.
	muted map[feed.Kind]int
	// failing and hanging hold for all calls.
	failing, hanging, slow bool
}

func newNewsStore() *newsStore {
	return &newsStore{
		records: map[feed.Kind]map[string]feed.Record{}, events: map[feed.Kind][]feed.Record{}, changed: make(chan struct{}),
		cut: make(chan struct{}), muted: map[feed.Kind]int{},
	}
}

func (s *newsStore) put(kind feed.Kind, record feed.Record) {
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
	s.wake()
}

// change changes the state under the lock and wakes the watches that wait.
func (s *newsStore) change(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
	s.wake()
}

func (s *newsStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// resetWatches resets the connections of the watches that wait; the caller holds the lock.
func (s *newsStore) resetWatches() {
	close(s.cut)
	s.cut = make(chan struct{})
}

// dropHistory drops the events without a word to the watches that wait; the caller holds the lock.
func (s *newsStore) dropHistory() {
	s.events = map[feed.Kind][]feed.Record{}
	s.compacted = s.revision
}

// begin makes the time that a call takes pass, and fails it if the store is down or silent.
func (s *newsStore) begin(ctx context.Context) error {
	s.mu.Lock()
	failing, hanging, delay := s.failing, s.hanging, answerTime
	if s.slow {
		delay = slowAnswer
	}
	s.mu.Unlock()
	if hanging {
		<-ctx.Done()
	} else {
		sleepUntilDone(ctx, delay)
	}
	if ctx.Err() != nil {
		return protocol.Wrap(protocol.CodeUnavailable, ctx.Err(), "call the store")
	}
	if failing {
		return protocol.Errorf(protocol.CodeUnavailable, "the store is down")
	}
	return nil
}

func sleepUntilDone(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *newsStore) List(ctx context.Context, kind feed.Kind, _ bool) (feed.Batch, error) {
	if err := s.begin(ctx); err != nil {
		return feed.Batch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := feed.Batch{Revision: s.revision}
	for _, record := range s.records[kind] {
		batch.Records = append(batch.Records, record)
	}
	return batch, nil
}

func (s *newsStore) Watch(ctx context.Context, kind feed.Kind, since int64, wait time.Duration) (feed.Batch, error) {
	if err := s.begin(ctx); err != nil {
		return feed.Batch{}, err
	}
	s.mu.Lock()
	if since < s.compacted {
		s.mu.Unlock()
		return feed.Batch{}, protocol.Errorf(protocol.CodeExpired, "the history is gone")
	}
	epoch, muteCount, cut := s.epoch, s.muted[kind], s.cut
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		batch, changed := feed.Batch{Revision: s.revision}, s.changed
		for _, record := range s.events[kind] {
			if record.Revision > since {
				batch.Records = append(batch.Records, record)
			}
		}
		silent := s.withhold || s.epoch != epoch || s.muted[kind] != muteCount
		expired := since < s.compacted && (over || len(batch.Records) > 0)
		s.mu.Unlock()
		switch {
		case silent:
		case expired:
			return feed.Batch{}, protocol.Errorf(protocol.CodeExpired, "the history is gone")
		case len(batch.Records) > 0 || over:
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return feed.Batch{}, protocol.Wrap(protocol.CodeUnavailable, ctx.Err(), "watch")
		case <-cut:
			return feed.Batch{}, protocol.Errorf(protocol.CodeUnavailable, "connection reset")
		case <-timer.C:
			over = true
		case <-changed:
		}
	}
}
