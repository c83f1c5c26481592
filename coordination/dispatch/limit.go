package dispatch

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// limitReportDelay bounds the time by which a load report may lag behind a response of the same replica.
const limitReportDelay = 500 * time.Millisecond

// LimitSource is where a host has learned of a change of a replica's request limit.
type LimitSource string

// Sources of a request limit.
const (
	LimitFromResponse LimitSource = "response"
	LimitFromReport   LimitSource = "report"
)

// LimitChange is a change of what a host knows of a replica's request limit, for logs.
type LimitChange struct {
	Replica fleet.ReplicaID
	Limit   fleet.RequestLimit
	Source  LimitSource
	// Known is the time for which the host has known of a limit, Chosen the number of requests for which it has chosen the replica
	// meanwhile.
	Known  time.Duration
	Chosen int
}

// statedLimit is the request limit of a replica's process.
type statedLimit struct {
	born      int64
	perSecond float64
	since     time.Time
	// statedAt is the time at which the replica was last heard to state the limit.
	statedAt time.Time
	// reported is true if load reports have stated the limit too, so that one without it shows the end.
	reported bool
	chosen   int
}

// RecordLimit records what a response says about the replica's request limit. sentAt is the time at which its request was sent. It
// returns nil if nothing has changed.
func (b *Balancer) RecordLimit(now time.Time, choice Choice, sentAt time.Time, limit fleet.RequestLimit) *LimitChange {
	current := b.statedLimit(choice.ID, choice.born)
	switch {
	case limit.Malformed:
		return nil
	case limit.Stated:
		perSecond := limit.PerSecond
		if current != nil && sentAt.Before(current.statedAt) {
			// It is not known which of the two was stated last.
			perSecond = min(perSecond, current.perSecond)
		}
		return b.setLimit(now, choice.ID, choice.born, perSecond, LimitFromResponse)
	case current == nil || !sentAt.After(current.statedAt):
		return nil
	}
	return b.endLimit(now, choice.ID, LimitFromResponse)
}

// recordReportedLimit records what a load report of an agent says about the replica's request limit.
func (b *Balancer) recordReportedLimit(now time.Time, r *replica, limit fleet.RequestLimit) *LimitChange {
	id, born := r.member.ID, r.member.Born
	if limit.Stated {
		change := b.setLimit(now, id, born, limit.PerSecond, LimitFromReport)
		b.notices[id].limit.reported = true
		return change
	}
	current := b.statedLimit(id, born)
	if limit.Malformed || current == nil || !current.reported || now.Sub(current.statedAt) < limitReportDelay {
		return nil
	}
	return b.endLimit(now, id, LimitFromReport)
}

// setLimit records a limit of the replica's process that was born at a time, unless there is one of a later process.
func (b *Balancer) setLimit(now time.Time, id fleet.ReplicaID, born int64, perSecond float64, source LimitSource) *LimitChange {
	n := b.noticeOf(now, id)
	if n.limit != nil && n.limit.born > born {
		return nil
	}
	known := n.limit != nil && n.limit.born == born
	if !known {
		n.limit = &statedLimit{born: born, since: now}
	}
	same := known && n.limit.perSecond == perSecond
	n.limit.perSecond, n.limit.statedAt = perSecond, now
	if same {
		return nil
	}
	return n.limit.change(now, id, source)
}

func (b *Balancer) endLimit(now time.Time, id fleet.ReplicaID, source LimitSource) *LimitChange {
	n := b.noticeOf(now, id)
	change := n.limit.change(now, id, source)
	change.Limit = fleet.RequestLimit{}
	n.limit = nil
	return change
}

func (l *statedLimit) change(now time.Time, id fleet.ReplicaID, source LimitSource) *LimitChange {
	return &LimitChange{
		Replica: id, Limit: fleet.RequestLimit{Stated: true, PerSecond: l.perSecond}, Source: source,
		Known: now.Sub(l.since), Chosen: l.chosen,
	}
}

// statedLimit returns the request limit of a replica's process, or nil if it states none.
func (b *Balancer) statedLimit(id fleet.ReplicaID, born int64) *statedLimit {
	n := b.notices[id]
	if n == nil || n.limit == nil || n.limit.born != born {
		return nil
	}
	return n.limit
}
