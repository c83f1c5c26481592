package dispatch

import (
	"math"
	"slices"
	"time"
)

// Reason is why a replica takes no request now.
type Reason string

// Reasons. The first ones mean that the replica may not serve the request at all.
const (
	ReasonNotUsable Reason = "not_usable"
	// ReasonMoved means that another replica responded at the address.
	ReasonMoved   Reason = "address_moved"
	ReasonLeaving Reason = "leaving"
	// ReasonOutside means that this host gets no load reports of the replica and uses it only if the others are full.
	ReasonOutside Reason = "outside_subset"
	// ReasonExcluded means that the request was sent there before, or may go to another replica only.
	ReasonExcluded Reason = "excluded"
	ReasonRegion   Reason = "region"
	// ReasonNotLoaded means that the replica has no complete version of the model.
	ReasonNotLoaded  Reason = "not_loaded"
	ReasonOldVersion Reason = "old_version"

	ReasonHeldOff Reason = "held_off"
	ReasonSilent  Reason = "silent"
	// ReasonEjected means that the replica failed or refused requests a short time ago.
	ReasonEjected Reason = "ejected"
	ReasonLoading Reason = "loading"
	ReasonFull    Reason = "full"
	// ReasonReserved means that the remaining slots are left to more urgent requests or to those that are not late.
	ReasonReserved Reason = "reserved"
	// ReasonTooSlow means that a request that may run only once would not end before its deadline.
	ReasonTooSlow Reason = "too_slow"
	// ReasonShareUsed means that this host has used its share of the free slots.
	ReasonShareUsed Reason = "share_used"
	// ReasonVersionEnds means that the request would start after its version is outdated.
	ReasonVersionEnds Reason = "version_ends"
	ReasonCold        Reason = "cold"
	ReasonLimited     Reason = "limited"
	// ReasonQueue means that the request would only lengthen the replica's queue.
	ReasonQueue Reason = "queue"
)

// obstacle is why a replica can't take a request; the reason is empty if it can.
type obstacle struct {
	reason  Reason
	verdict Verdict
	// until is the known end of the obstacle, or zero.
	until time.Time
}

// obstacleOf returns what keeps a replica from taking a request now. The verdict is VerdictNoCandidate if it may not serve the request.
func (b *Balancer) obstacleOf(now time.Time, request *Request, r *replica, avoidSilent bool) obstacle {
	if reason := b.ineligible(now, request, r); reason != "" {
		return obstacle{reason: reason, verdict: VerdictNoCandidate}
	}
	if until := b.heldUntil(r); now.Before(until) {
		return obstacle{reason: ReasonHeldOff, verdict: VerdictHeldOff, until: until}
	}
	if avoidSilent && b.silent(now, r) {
		return obstacle{reason: ReasonSilent, verdict: VerdictFull}
	}
	if reason := b.lacksCapacity(now, request, r); reason != "" {
		return obstacle{reason: reason, verdict: VerdictFull}
	}
	if !b.startsInTime(now, request, r) {
		return obstacle{reason: ReasonVersionEnds, verdict: VerdictFull}
	}
	if !b.hasPermit(now, r) {
		return b.withoutPermit(now, r)
	}
	return obstacle{}
}

// withoutPermit returns why a replica without a permit is not chosen.
func (b *Balancer) withoutPermit(now time.Time, r *replica) obstacle {
	until := r.permits.next(now)
	if b.statedLimit(r.member.ID, r.member.Born) != nil {
		return obstacle{reason: ReasonLimited, verdict: VerdictLimited, until: until}
	}
	return obstacle{reason: ReasonCold, verdict: VerdictFull, until: until}
}

// eligible reports whether a replica may serve a request, regardless of its current capacity.
func (b *Balancer) eligible(now time.Time, request *Request, r *replica) bool {
	return b.ineligible(now, request, r) == ""
}

// ineligible returns why a replica may not serve a request, regardless of its current capacity; empty if it may.
func (b *Balancer) ineligible(now time.Time, request *Request, r *replica) Reason {
	switch {
	case !r.member.Usable():
		return ReasonNotUsable
	case r.addressMoved:
		return ReasonMoved
	case b.isLeaving(r):
		return ReasonLeaving
	case request.inside && b.outside[r.member.ID]:
		return ReasonOutside
	case slices.Contains(request.Exclude, r.member.ID), request.Only != "" && request.Only != r.member.ID:
		return ReasonExcluded
	case !b.inAllowedRegion(request.RouteRegions, r), !b.inAllowedRegion(request.TeamRegions, r):
		return ReasonRegion
	case request.Model == "":
		return ""
	}
	version, ok := r.loadedVersion(&b.cfg, now, request)
	switch {
	case !ok:
		return ReasonNotLoaded
	case version < request.MinVersion:
		return ReasonOldVersion
	}
	return ""
}

func (b *Balancer) hasCapacity(now time.Time, request *Request, r *replica) bool {
	return b.lacksCapacity(now, request, r) == ""
}

// lacksCapacity returns why a replica has no capacity for a request; empty if it has.
func (b *Balancer) lacksCapacity(now time.Time, request *Request, r *replica) Reason {
	limit := r.slots() + r.overcommit(&b.cfg)
	reserved, ranked := b.reservedSlots(now, request, r)
	unreserved := limit
	switch {
	case r.refusesWhenFull():
		// The check below counts what may have ended since; knownFull is exact.
		limit = math.MaxInt
	case ranked:
		unreserved = r.slots() + max(r.overcommit(&b.cfg), b.cfg.RankedOvercommit)
		limit = unreserved - reserved
	case request.Moved:
		limit += b.cfg.MovedOvercommit
	case request.Late && b.specs[r.member.Upstream].Engine != nil:
		limit = int(math.Ceil(float64(r.slots()) * (1 - b.cfg.LateReserve)))
	}
	load := r.load(&b.cfg, now)
	switch {
	case now.Before(r.excludedUntil), r.probing(&b.cfg):
		return ReasonEjected
	case r.report.Loading && r.hasFreshReport(&b.cfg, now):
		return ReasonLoading
	case load >= limit && load < unreserved:
		return ReasonReserved
	case load >= limit, r.knownFull(&b.cfg, now):
		return ReasonFull
	case !r.endsInTime(now, request):
		return ReasonTooSlow
	case request.Moved || !r.headroomUsed(&b.cfg, now, reserved, ranked):
		return ""
	case !r.headroomUsed(&b.cfg, now, 0, ranked):
		return ReasonReserved
	}
	return ReasonShareUsed
}
