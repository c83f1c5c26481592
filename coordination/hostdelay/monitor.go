// Package hostdelay decides from the delays of a process's own timers whether its host falls behind with its work, so that callers are
// sent to other hosts before they notice.
package hostdelay

import "time"

// Config holds the settings of a Monitor.
type Config struct {
	// BehindAbove is the average delay from which the host is behind, RecoveredBelow the one below which it has caught up.
	BehindAbove, RecoveredBelow time.Duration
	// MinBehind is the shortest time for which the host is behind, so that the platform's readiness checks notice it. MaxBehind bounds it.
	MinBehind, MaxBehind time.Duration
	// MinReady is the shortest time between two such times. If all hosts are behind, most of them are ready at any time.
	MinReady time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		// A fifth of the shortest objective of a stream, 400 ms. The timers of an idle process are at most a few ms late.
		BehindAbove:    80 * time.Millisecond,
		RecoveredBelow: 20 * time.Millisecond,
		// Two checks of the platform take 2.6 s.
		MinBehind: 2600 * time.Millisecond,
		MaxBehind: 3 * time.Second,
		// With 12 s a host that is 8 % too slow was late for most of that time; with less, half of an overloaded fleet was not ready.
		MinReady: 4 * time.Second,
	}
}

const (
	// SampleInterval is the time between two measurements of the delay.
	SampleInterval = 50 * time.Millisecond
	// delayGain is the weight of the newest measurement in the average.
	delayGain = 0.2
	// maxSample bounds a measurement, so that a single pause, such as a suspension of the process, doesn't exceed BehindAbove.
	maxSample = 300 * time.Millisecond
)

// Monitor keeps the average delay of timers. It is not safe for concurrent use.
type Monitor struct {
	cfg     Config
	average time.Duration
	behind  bool
	// changedAt is the time of the last change of behind, zero before the first.
	changedAt time.Time
	// spread scales MinReady between 1 and 1.5, so that hosts which are behind at the same time take turns.
	spread float64
}

// NewMonitor returns a Monitor of a host that keeps up. random, in [0, 1), differs between hosts.
func NewMonitor(cfg Config, random float64) *Monitor { return &Monitor{cfg: cfg, spread: 1 + random/2} }

// Record adds the delay of a timer that fired at now. It reports whether Behind has changed.
func (m *Monitor) Record(now time.Time, delay time.Duration) bool {
	m.average += time.Duration(delayGain * float64(min(max(delay, 0), maxSample)-m.average))
	since := now.Sub(m.changedAt)
	change := false
	switch {
	case m.behind:
		change = since >= m.cfg.MaxBehind || since >= m.cfg.MinBehind && m.average <= m.cfg.RecoveredBelow
	case m.average >= m.cfg.BehindAbove:
		change = m.changedAt.IsZero() || float64(since) >= m.spread*float64(m.cfg.MinReady)
	}
	if change {
		m.behind, m.changedAt = !m.behind, now
	}
	return change
}

// Behind reports whether the host should get no new callers for a moment.
func (m *Monitor) Behind() bool { return m.behind }

// Delay returns the average delay.
func (m *Monitor) Delay() time.Duration { return m.average }
