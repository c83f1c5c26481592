package follow_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/protocol/feed"
	"github.com/guavatrestle/guavatrestle/transport/follow"
)

// logHook calls a function with every log entry, in the goroutine that writes it.
type logHook func()

func (logHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h logHook) Fire(*logrus.Entry) error {
	h()
	return nil
}

// TestNewConfirmationDoesNotVouchForTheOldView guards against API keys that were taken away and are accepted again while a later
// configuration is being applied, because the age is already that of the later one.
func TestNewConfirmationDoesNotVouchForTheOldView(t *testing.T) {
	s := newSource()
	s.put(feed.KindConfiguration, configuration(1))
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	follower := follow.New(s, follow.Config{
		Kinds: []follow.Kind{{Kind: feed.KindConfiguration}}, ProbeWait: 20 * time.Millisecond,
	}, rand.New(rand.NewPCG(1, 1)), logrus.NewEntry(logger))
	var replacedAt, checks atomic.Int64
	var wrong atomic.Bool
	// The new configuration is logged while it is applied.
	logger.AddHook(logHook(func() {
		view, at := follower.View(), replacedAt.Load()
		if !view.Ready() || at == 0 {
			return
		}
		confirmedAt := bootclock.Now() - bootclock.Instant(follower.Age())
		if view.Configuration.Version == 1 && int64(confirmedAt) > at {
			wrong.Store(true)
		}
		checks.Add(1)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	defer running.Wait()
	defer cancel()
	eventually(t, func() bool { return follower.View().Ready() })

	s.setDown(true)
	// The next watch is sent after the change.
	eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.rejected > 0
	})
	s.put(feed.KindConfiguration, configuration(2))
	replacedAt.Store(int64(bootclock.Now()))
	s.setDown(false)
	eventually(t, func() bool { return follower.View().Configuration.Version == 2 })
	require.Positive(t, checks.Load())
	require.False(t, wrong.Load(), "the view of version 1 counts as confirmed after version 2 was acknowledged")
}
