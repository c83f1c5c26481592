package hosted

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/hostdelay"
)

// TestHostThatFallsBehindSaysSoForAMoment guards against a host whose readiness does not follow the delay of its timers.
func TestHostThatFallsBehindSaysSoForAMoment(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	w := newDelayWatch(rand.New(rand.NewPCG(1, 1)), logrus.NewEntry(logger))
	now := time.Unix(1000, 0)
	feed := func(d time.Duration, delay time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(hostdelay.SampleInterval) {
			w.record(now, delay)
		}
	}
	feed(time.Second, time.Millisecond)
	require.False(t, w.behind.Load())
	before := varFallenBehind.Value()
	feed(time.Second, 200*time.Millisecond)
	require.True(t, w.behind.Load())
	require.Equal(t, before+1, varFallenBehind.Value())
	feed(3*time.Second, time.Millisecond)
	require.False(t, w.behind.Load())
}
