// Package standstill notices that this process did not run for a while, because it was suspended or got no processor time. What it reads
// after that may have been waiting for it all the while, so its age must not count from the reading.
package standstill

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/internal/bootclock"
)

const (
	// beatInterval is the time between two beats of a process that runs, maxGap the longest one that doesn't count as a standstill. The
	// latter is below the margin of the shortest bound that depends on it, 400 ms for requests on outdated versions.
	beatInterval = 100 * time.Millisecond
	maxGap       = 250 * time.Millisecond
	// maxCatchUp bounds the time in which a process reads what was waiting for it. It takes at most as long as the standstill.
	maxCatchUp = time.Second
	// minLogged is the length of a standstill from which on it is logged. Shorter ones are frequent on a host without spare processor time.
	minLogged = time.Second
)

var varStandstills = expvar.NewInt("process_standstills")

// Monitor knows when this process last stood still. It is safe for concurrent use.
type Monitor struct {
	now func() bootclock.Instant

	mu sync.Mutex
	// beat is the last time at which the process is known to have run.
	beat bootclock.Instant
	// from and until are the beginning and the end of the last standstill. Those that follow each other before the process has caught up
	// count as one.
	from, until bootclock.Instant
}

// NewMonitor returns a Monitor with the given clock. It needs Run, or Beat every 100 ms.
func NewMonitor(now func() bootclock.Instant) *Monitor { return &Monitor{now: now, beat: now()} }

// Run notices standstills until ctx is done.
func (m *Monitor) Run(ctx context.Context, log *logrus.Entry) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if stood := m.Beat(); stood >= minLogged {
			log.WithField("for_ms", stood.Milliseconds()).Warn("process stood still")
		}
	}
}

// Beat records that the process runs. It returns the length of the standstill that has just ended, or 0.
func (m *Monitor) Beat() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	gap := time.Duration(now - m.beat)
	if gap <= maxGap {
		m.beat = now
		return 0
	}
	varStandstills.Add(1)
	m.from, m.until, m.beat = m.waitingSince(m.beat), now, now
	return gap
}

// ArrivedAfter returns a time after which everything has arrived that the process reads now. It is the present unless the process stands
// still or has just done so.
func (m *Monitor) ArrivedAfter() bootclock.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if time.Duration(now-m.beat) > maxGap {
		// The process has just begun to run again, and this goroutine before the one that beats.
		return m.waitingSince(m.beat)
	}
	return m.waitingSince(now)
}

// waitingSince returns the earliest time from which on something may have been waiting that is read at a time after the last standstill;
// the caller holds the lock.
func (m *Monitor) waitingSince(at bootclock.Instant) bootclock.Instant {
	catchUp := min(time.Duration(m.until-m.from), maxCatchUp)
	if m.until != 0 && time.Duration(at-m.until) <= catchUp {
		return m.from
	}
	return at
}
