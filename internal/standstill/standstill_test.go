package standstill_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/internal/standstill"
)

// clock is the clock of a monitor.
type clock struct{ now bootclock.Instant }

func (c *clock) read() bootclock.Instant { return c.now }

func (c *clock) advance(d time.Duration) { c.now += bootclock.Instant(d) }

// running lets a process run for a while.
func (c *clock) running(m *standstill.Monitor, d time.Duration) {
	for range d / (100 * time.Millisecond) {
		c.advance(100 * time.Millisecond)
		m.Beat()
	}
}

// TestWhatWasWaitingCountsFromTheStandstill guards against news that counts as new because a process reads it right after it stood still,
// whether the reading goroutine runs before or after the one that beats.
func TestWhatWasWaitingCountsFromTheStandstill(t *testing.T) {
	for name, beatFirst := range map[string]bool{"the beat runs first": true, "the reader runs first": false} {
		c := &clock{now: 1000}
		m := standstill.NewMonitor(c.read)
		c.running(m, time.Second)
		require.Equal(t, c.now, m.ArrivedAfter(), name)
		began := c.now
		c.advance(4 * time.Second)
		if beatFirst {
			require.Equal(t, 4*time.Second, m.Beat(), name)
		}
		require.Equal(t, began, m.ArrivedAfter(), name)
		m.Beat()
		c.running(m, 900*time.Millisecond)
		require.Equal(t, began, m.ArrivedAfter(), "%s: what was waiting may not all be read yet", name)
		c.running(m, 300*time.Millisecond)
		require.Equal(t, c.now, m.ArrivedAfter(), name)
	}
}

// TestStandstillsInARowCountAsOne guards against news that is taken for new because the process stood still again before it read it.
func TestStandstillsInARowCountAsOne(t *testing.T) {
	c := &clock{now: 1000}
	m := standstill.NewMonitor(c.read)
	began := c.now
	for range 3 {
		c.advance(2 * time.Second)
		require.Equal(t, began, m.ArrivedAfter())
		m.Beat()
		c.running(m, 300*time.Millisecond)
	}
	require.Equal(t, began, m.ArrivedAfter())
	c.running(m, time.Second)
	c.advance(2 * time.Second)
	m.Beat()
	require.Greater(t, m.ArrivedAfter(), began, "a standstill long after the last one is another one")
}

// TestShortDelaysAreNoStandstill guards against times that count too early on a host whose processor is busy.
func TestShortDelaysAreNoStandstill(t *testing.T) {
	c := &clock{now: 1000}
	m := standstill.NewMonitor(c.read)
	for range 20 {
		c.advance(200 * time.Millisecond)
		require.Zero(t, m.Beat())
		require.Equal(t, c.now, m.ArrivedAfter())
	}
}
