package ingress

import (
	"math"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/workload"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// demand is the rate of requests of this host's callers for an upstream, whether they are served or not.
type demand struct {
	// count is the number of requests since measuredAt.
	count      int
	measuredAt time.Time
	// perSecond is a moving average.
	perSecond float64
	// levels has the same by the level of the requests' priority.
	levels [workload.Levels]struct {
		count     int
		perSecond float64
	}
}

const (
	// demandGain is the weight of the newest measurement in the average.
	demandGain = 0.5
	// minDemand is the least demand in requests per second, so that a host whose callers have just arrived has a share.
	minDemand = 0.5
	// minLevelDemand is the demand of a priority in requests per second below which it counts as none.
	minLevelDemand = 0.05
)

func (r *Router) demandOf(upstream core.Upstream) *demand {
	d := r.demand[upstream]
	if d == nil {
		d = &demand{measuredAt: r.now()}
		r.demand[upstream] = d
	}
	return d
}

// MeasureDemand returns the demand of an upstream in requests per second. It is called at regular intervals.
func (r *Router) MeasureDemand(upstream core.Upstream) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, now := r.demandOf(upstream), r.now()
	if elapsed := now.Sub(d.measuredAt).Seconds(); elapsed > 0 {
		d.perSecond += demandGain * (float64(d.count)/elapsed - d.perSecond)
		for i := range d.levels {
			level := &d.levels[i]
			level.perSecond += demandGain * (float64(level.count)/elapsed - level.perSecond)
			level.count = 0
		}
		d.count, d.measuredAt = 0, now
	}
	return max(d.perSecond, minDemand)
}

// PriorityDemand returns the demand of an upstream by the level of the requests' priority, as of the last measurement. It is nil if the
// routes of the upstream have only one priority.
func (r *Router) PriorityDemand(upstream core.Upstream) []float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ranked[upstream] == nil {
		return nil
	}
	var list []float64
	for i, level := range r.demandOf(upstream).levels {
		if level.perSecond < minLevelDemand {
			continue
		}
		for len(list) <= i {
			list = append(list, 0)
		}
		list[i] = math.Round(level.perSecond*10) / 10
	}
	return list
}
