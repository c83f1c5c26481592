package dispatch

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// SetOutside sets the replicas from which this host requests no load reports. They get requests only if the others are full or can't serve
// the request, and never count as silent. The last reports of those that are added again are too old to use.
func (b *Balancer) SetOutside(outside map[fleet.ReplicaID]bool) {
	for id := range b.outside {
		if r := b.replicas[id]; r != nil && !outside[id] {
			r.reportedAt, r.derived = time.Time{}, derived{}
		}
	}
	b.outside = outside
}

// allowsSpill reports whether a request for which this is the verdict of the replicas with reports may be sent to one without.
func (v Verdict) allowsSpill() bool { return v == VerdictFull || v == VerdictHeldOff }

// spills reports whether a request that no replica with reports takes may be sent to one without. Those replicas may be full, too, and
// other hosts do the same: each host has so few requests at them that all hosts together have about one at each. While a replica with
// reports has a free slot of which this host has used its share, the next report shows whether it is still free.
func (b *Balancer) spills(now time.Time, request *Request) bool {
	spilled, outside := 0, 0
	for _, r := range b.groups[request.Upstream] {
		if b.outside[r.member.ID] {
			spilled, outside = spilled+r.inFlight, outside+1
			continue
		}
		if now.Before(b.heldUntil(r)) {
			continue
		}
		moved := *request
		moved.Moved = true
		if b.eligible(now, request, r) && r.load(&b.cfg, now) < r.slots()+b.cfg.Overcommit && b.hasCapacity(now, &moved, r) {
			return false
		}
	}
	return request.Moved || spilled < max(1, outside/max(b.senders, 1))
}
