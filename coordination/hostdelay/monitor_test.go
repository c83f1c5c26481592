package hostdelay_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/hostdelay"
	"github.com/guavatrestle/guavatrestle/internal/virtualtime"
)

var start = time.Unix(1000, 0)

// late returns the share of requests that wait longer than 200 ms for the processor of their entry. The last entry handles a request in
// slow, the others in 4 ms. Callers use any ready entry.
func late(entries int, perSecond float64, slow time.Duration, monitored bool) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	clock := virtualtime.NewQueue(start)
	busyUntil := make([]time.Time, entries)
	monitors := make([]*hostdelay.Monitor, entries)
	for i := range entries {
		monitors[i] = hostdelay.NewMonitor(hostdelay.DefaultConfig(), random.Float64())
		var sample func()
		sample = func() {
			delay := max(busyUntil[i].Sub(clock.Now()), 0)
			monitors[i].Record(clock.Now(), delay)
			clock.After(hostdelay.SampleInterval+delay, sample)
		}
		clock.After(hostdelay.SampleInterval, sample)
	}
	total, tooLate := 0, 0
	var arrive func()
	arrive = func() {
		entry := random.IntN(entries)
		for range 20 {
			if !monitored || !monitors[entry].Behind() {
				break
			}
			entry = random.IntN(entries)
		}
		handling := 4 * time.Millisecond
		if entry == entries-1 {
			handling = slow
		}
		begin := clock.Now()
		if busyUntil[entry].After(begin) {
			begin = busyUntil[entry]
		}
		busyUntil[entry] = begin.Add(handling)
		total++
		if begin.Sub(clock.Now()) > 200*time.Millisecond {
			tooLate++
		}
		clock.After(time.Duration(random.ExpFloat64()/perSecond*1e9), arrive)
	}
	arrive()
	clock.Run(start.Add(time.Minute))
	return float64(tooLate) / float64(total)
}

// TestCallersLeaveAHostThatFallsBehind guards against callers that wait for the processor of a small host while others are idle.
func TestCallersLeaveAHostThatFallsBehind(t *testing.T) {
	with, without := late(6, 360, 18*time.Millisecond, true), late(6, 360, 18*time.Millisecond, false)
	t.Logf("late with the monitor %.3f, without %.3f", with, without)
	require.Less(t, with, without*2/3)
}

// TestMostHostsStayReadyWhenAllAreBehind guards against a fleet of which no host is ready because all are overloaded.
func TestMostHostsStayReadyWhenAllAreBehind(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	var monitors []*hostdelay.Monitor
	for range 20 {
		monitors = append(monitors, hostdelay.NewMonitor(hostdelay.DefaultConfig(), random.Float64()))
	}
	behindTime := 0
	const samples = 1200
	for i := range samples {
		for _, m := range monitors {
			m.Record(start.Add(time.Duration(i)*hostdelay.SampleInterval), 200*time.Millisecond)
			if m.Behind() {
				behindTime++
			}
		}
	}
	require.Less(t, float64(behindTime)/float64(samples*len(monitors)), 0.5)
}

// TestSinglePauseIsNoFallingBehind guards against a host that is taken out because of one suspension or garbage collection.
func TestSinglePauseIsNoFallingBehind(t *testing.T) {
	m := hostdelay.NewMonitor(hostdelay.DefaultConfig(), 0)
	for i := range 100 {
		delay := time.Millisecond
		if i%20 == 10 {
			delay = 3 * time.Second
		}
		m.Record(start.Add(time.Duration(i)*hostdelay.SampleInterval), delay)
		require.False(t, m.Behind())
	}
}

// TestBehindEndsWithHysteresis guards against a host that changes its readiness with every measurement.
func TestBehindEndsWithHysteresis(t *testing.T) {
	m := hostdelay.NewMonitor(hostdelay.DefaultConfig(), 0)
	changes := 0
	for i := range 1200 {
		delay := time.Duration(0)
		if i/10%2 == 0 {
			delay = 250 * time.Millisecond
		}
		if m.Record(start.Add(time.Duration(i)*hostdelay.SampleInterval), delay) {
			changes++
		}
	}
	require.LessOrEqual(t, changes, 2*60/6, "in a minute")
	require.Positive(t, changes)
}
