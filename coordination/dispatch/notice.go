package dispatch

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// maxHoldOff bounds the time for which a replica may ask to get no requests.
	maxHoldOff = 10 * time.Minute
	// noticeRetention is the time for which the notice of a replica without a registration is kept.
	noticeRetention = 10 * time.Minute
	// maxUnregisteredNotices is the number of notices beyond which those older than noticeRetention are dropped.
	maxUnregisteredNotices = 256
)

// notice is what a replica itself has said about the requests that it wants. It outlives the replica's registration, which may
// be missing from the store for a while.
type notice struct {
	// born is the process that is leaving.
	born    int64
	leaving bool
	// holdUntil is the end of the time for which the replica wants no requests.
	holdUntil time.Time
	// limit is the replica's request limit, nil if it states none.
	limit     *statedLimit
	changedAt time.Time
}

// MarkLeaving records that a replica's process is about to leave and wants no new requests.
func (b *Balancer) MarkLeaving(now time.Time, choice Choice) {
	b.markLeaving(now, choice.ID, choice.born)
}

func (b *Balancer) markLeaving(now time.Time, id fleet.ReplicaID, born int64) {
	n := b.noticeOf(now, id)
	n.leaving, n.born = true, born
}

// HoldOff records that a replica wants no requests for a time. It holds for a restarted replica with the same ID too.
func (b *Balancer) HoldOff(now time.Time, id fleet.ReplicaID, wait time.Duration) {
	n := b.noticeOf(now, id)
	n.holdUntil = later(n.holdUntil, now.Add(min(wait, maxHoldOff)))
}

// noticeOf returns the notice of a replica for a change, and creates it if there is none.
func (b *Balancer) noticeOf(now time.Time, id fleet.ReplicaID) *notice {
	n := b.notices[id]
	if n == nil {
		b.dropOldNotices(now)
		n = &notice{}
		b.notices[id] = n
	}
	n.changedAt = now
	return n
}

func (b *Balancer) dropOldNotices(now time.Time) {
	if len(b.notices) <= len(b.replicas)+maxUnregisteredNotices {
		return
	}
	for id, n := range b.notices {
		if b.replicas[id] == nil && now.Sub(n.changedAt) > noticeRetention {
			delete(b.notices, id)
		}
	}
}

// isLeaving reports whether the replica's present process has said that it is about to leave.
func (b *Balancer) isLeaving(r *replica) bool {
	n := b.notices[r.member.ID]
	return n != nil && n.leaving && n.born == r.member.Born
}

// heldUntil returns the time until which the replica wants no requests, or zero if it has not said so.
func (b *Balancer) heldUntil(r *replica) time.Time {
	if n := b.notices[r.member.ID]; n != nil {
		return n.holdUntil
	}
	return time.Time{}
}

// MaySend reports whether a request that Pick assigned may still be sent to its replica.
func (b *Balancer) MaySend(now time.Time, choice Choice) bool {
	r := b.replicas[choice.ID]
	return r != nil && r.member.Born == choice.born && r.member.Address == choice.Address && r.member.Usable() &&
		!b.isLeaving(r) && !now.Before(b.heldUntil(r)) && b.permitHolds(now, r, choice)
}

// permitHolds reports whether the replica takes requests at any rate, or the request has a permit that is not too old.
func (b *Balancer) permitHolds(now time.Time, r *replica, choice Choice) bool {
	if _, limited := b.allowance(now, r); !limited {
		return true
	}
	return now.Before(choice.sendBefore)
}
