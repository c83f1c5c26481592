package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/transport/relay"
)

// heldStore is a store that answers watches after a while.
type heldStore struct {
	*store
	hold time.Duration
}

func (s *heldStore) Watch(ctx context.Context, kind feed.Kind, since int64, wait time.Duration) (feed.Batch, error) {
	time.Sleep(s.hold)
	return s.store.Watch(ctx, kind, since, wait)
}

// TestRelayThatStoodStillDatesChangesEarlier guards against changes that count as new at the readers of a relay that stood still while they
// were made. Requests began on an old version too late at hosts that were never disturbed.
func TestRelayThatStoodStillDatesChangesEarlier(t *testing.T) {
	const stood = 300 * time.Millisecond
	for name, stands := range map[string]bool{"the relay stood still": true, "the relay ran": false} {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			s.put("a", false)
			list := hosts(t, s, "127.0.21.1", "127.0.21.2")
			first, second := list[0], list[1]
			// The watches of the relay wait for longer than a change that was made before takes.
			var stoodFrom atomic.Int64
			first.Source = relay.NewSource(relay.Config{
				Store: &heldStore{s, feed.PromptResponseLimit + time.Second}, Cache: first.cache, Self: first.addr,
				ArrivedAfter: func() bootclock.Instant {
					if stands {
						return bootclock.Instant(stoodFrom.Load())
					}
					return bootclock.Now()
				},
			})
			first.SkipPatience()
			read := first.readAll(t)
			second.SetRelay(first.addr)
			listed, err := second.List(t.Context(), kind, false)
			require.NoError(t, err)

			pending := make(chan error, 1)
			go func() {
				_, err := first.Watch(t.Context(), kind, read.Revision, time.Minute)
				pending <- err
			}()
			time.Sleep(stood)
			changedAt := bootclock.Now()
			s.put("b", false)
			stoodFrom.Store(int64(changedAt) - int64(stood/2))
			sent := bootclock.Now()
			batch, err := second.Watch(t.Context(), kind, listed.Revision, time.Minute)
			require.NoError(t, err)
			require.NoError(t, <-pending)
			require.Equal(t, []string{"b"}, names(batch))
			require.True(t, batch.Relayed && batch.Dated)
			earliest := sent + bootclock.Instant(batch.ChangedAfter)
			if stands {
				require.LessOrEqual(t, earliest, bootclock.Instant(stoodFrom.Load()))
				require.Greater(t, earliest, bootclock.Instant(stoodFrom.Load())-bootclock.Instant(time.Second))
				return
			}
			require.Greater(t, earliest, changedAt, "the change has ended the wait of the watch of a relay that ran")
		})
	}
}
