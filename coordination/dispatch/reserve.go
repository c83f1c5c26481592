package dispatch

import (
	"math"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// negligibleReserve is the part of a slot that is not reserved. Without it any rare urgent request would reserve a slot of each replica.
const negligibleReserve = 0.1

// reservedSlots returns the number of slots of a replica that a request leaves free for more urgent ones, as many as arrive there within
// ReserveTime by the demand of all hosts. A late request leaves them to those of its own priority too. It returns false if the
// upstream has only one priority or the demand is not known.
func (b *Balancer) reservedSlots(now time.Time, request *Request, r *replica) (int, bool) {
	upstream := r.member.Upstream
	if b.ranked[upstream] == nil || request.Moved || len(r.report.Demand) == 0 || !r.hasFreshReport(&b.cfg, now) {
		return 0, false
	}
	if request.Guaranteed {
		return 0, true
	}
	levels, share := request.Priority, b.cfg.PriorityReserve
	if request.Late {
		levels, share = levels+1, max(share, b.cfg.LateReserve)
	}
	urgent := 0.0
	for _, perSecond := range r.report.Demand[:min(max(levels, 0), len(r.report.Demand))] {
		urgent += perSecond
	}
	arrivals := urgent * b.cfg.ReserveTime.Seconds() / float64(len(b.groups[upstream]))
	limit := math.Floor(share * float64(r.slots()))
	return int(min(math.Ceil(max(arrivals-negligibleReserve, 0)), limit)), true
}

// ReportAge returns the age of the newest load report of an upstream's replicas, 0 if there is none.
func (b *Balancer) ReportAge(now time.Time, upstream core.Upstream) time.Duration {
	var newest time.Time
	for _, r := range b.groups[upstream] {
		newest = later(newest, r.reportedAt)
	}
	if newest.IsZero() {
		return 0
	}
	return now.Sub(newest)
}
