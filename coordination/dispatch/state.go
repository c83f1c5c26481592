package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// State is the state of one replica for debug dumps.
type State struct {
	ID       fleet.ReplicaID
	Upstream core.Upstream
	InFlight int
	Load     int
	// Failing is the moving average of the share of failed requests.
	Failing float64
	// Latency is the moving average of the time to the response or its first event, in seconds.
	Latency float64
	// ForecastMedian and ForecastP95 are quantiles of the relative errors of the last forecasts for the replica, and ForecastFactor is
	// their correction.
	ForecastMedian, ForecastP95, ForecastFactor float64
	// OutUntil is the end of the current ejection or shed backoff.
	OutUntil time.Time
	// Moved is true if another replica responded at the address.
	Moved    bool
	Report   Report
	Reported time.Time
	// RequestLimit is the replica's request limit, LimitedSince the time since which this host knows it.
	RequestLimit fleet.RequestLimit
	LimitedSince time.Time
}

// States returns the state of every replica, sorted by ID.
func (b *Balancer) States(now time.Time) []State {
	var states []State
	for _, id := range slices.Sorted(maps.Keys(b.replicas)) {
		r := b.replicas[id]
		state := State{
			ID:       id,
			Upstream: r.member.Upstream,
			InFlight: r.inFlight,
			Load:     r.load(&b.cfg, now),
			Failing:  r.failureRate,
			Latency:  r.avgLatency,
			OutUntil: r.excludedUntil,
			Moved:    r.addressMoved,
			Report:   r.report,
			Reported: r.reportedAt,
		}
		state.ForecastMedian, state.ForecastP95 = r.errors.Quantiles()
		state.ForecastFactor = r.errors.Factor()
		if limit := b.statedLimit(id, r.member.Born); limit != nil {
			state.RequestLimit = fleet.RequestLimit{Stated: true, PerSecond: limit.perSecond}
			state.LimitedSince = limit.since
		}
		states = append(states, state)
	}
	return states
}
