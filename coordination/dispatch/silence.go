package dispatch

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Silent reports whether a replica is a model engine that has reported its load before but not for SilentAfter: its host may be
// suspended or cut off, and what is sent to it may never be answered.
func (b *Balancer) Silent(now time.Time, id fleet.ReplicaID) bool {
	r := b.replicas[id]
	return r != nil && b.silent(now, r)
}

func (b *Balancer) silent(now time.Time, r *replica) bool {
	return r.engine && !b.outside[r.member.ID] && !r.reportedAt.IsZero() && now.Sub(r.reportedAt) > b.cfg.SilentAfter
}

// avoidsSilent reports whether silent replicas of an upstream get no requests: at most MaxSilentShare of those that have ever
// reported are silent.
func (b *Balancer) avoidsSilent(now time.Time, upstream core.Upstream) bool {
	reported, silent := 0, 0
	for _, r := range b.groups[upstream] {
		if !r.member.Usable() || r.reportedAt.IsZero() || b.outside[r.member.ID] {
			continue
		}
		reported++
		if b.silent(now, r) {
			silent++
		}
	}
	return float64(silent) <= b.cfg.MaxSilentShare*float64(reported)
}
