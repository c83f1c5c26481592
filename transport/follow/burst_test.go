package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/transport/follow"
)

// narrowSource is a source behind a link that carries no watch with more than three configurations in time.
type narrowSource struct{ *source }

func (s narrowSource) Watch(ctx context.Context, kind feed.Kind, since int64, wait time.Duration) (feed.Batch, error) {
	batch, err := s.source.Watch(ctx, kind, since, wait)
	if err == nil && len(batch.Records) > 3 {
		<-ctx.Done()
		return feed.Batch{}, protocol.Wrap(protocol.CodeUnavailable, ctx.Err(), "watch")
	}
	return batch, err
}

// TestChangesBeyondTheLinkAreListed guards against a watch that is sent again forever, because it returns more versions than the link
// carries in time. The kind that is read version by version is the earlier decision.
func TestChangesBeyondTheLinkAreListed(t *testing.T) {
	inForce := func(newestOnly bool, earlier int64) (took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			s := newSource()
			s.put(feed.KindConfiguration, configuration(1))
			kind := follow.Kind{Kind: feed.KindConfiguration, CoalesceDelay: 700 * time.Millisecond, NewestOnly: newestOnly}
			kinds := []follow.Kind{kind}
			if earlier == 0 {
				kinds = append(kinds, follow.Kind{Kind: feed.KindReplicas, WatchWait: 2 * time.Second})
			}
			follower := startInBubble(t, narrowSource{s}, follow.Config{Kinds: kinds, ProbeWait: 1600 * time.Millisecond})
			for version := int64(2); version < earlier+2; version++ {
				s.put(feed.KindConfiguration, configuration(version))
				awaitVersion(follower, version)
			}
			changed := time.Now()
			for version := earlier + 2; version < earlier+12; version++ {
				s.put(feed.KindConfiguration, configuration(version))
			}
			for follower.View().Configuration.Version < earlier+11 && time.Since(changed) < time.Minute {
				time.Sleep(time.Millisecond)
			}
			took = time.Since(changed)
		})
		return took
	}
	require.GreaterOrEqual(t, inForce(false, 1), time.Minute)
	require.Less(t, inForce(true, 1), 3*time.Second, "during a burst")
	require.Less(t, inForce(true, 0), 4*time.Second, "after a time in which the host was cut off")
}
