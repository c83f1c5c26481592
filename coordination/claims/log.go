package claims

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination"
)

// Outcome is what a request learns about its key.
type Outcome string

// Outcomes.
const (
	// Free means that the key may be claimed.
	Free Outcome = "free"
	// Granted means that the request holds the claim.
	Granted Outcome = "granted"
	// InProgress means that another request holds the claim and may still run.
	InProgress Outcome = "in_progress"
	// Done means that the call ran; its result is recorded.
	Done Outcome = "done"
	// Unknown means that the call may have run.
	Unknown Outcome = "unknown"
	// Mismatch means that the key is claimed for a request with another content.
	Mismatch Outcome = "mismatch"
)

// entry is the state of one key. Its op is that of the last record that counted.
type entry struct {
	op       Op
	claim    Record
	result   Result
	released Nonce
}

// Log is the state of a shard after the segments applied so far.
//
// Log is not safe for concurrent use.
type Log struct {
	ttl     time.Duration
	next    uint64
	last    Nonce
	entries map[Key]entry
}

// NewLog returns the state before the first segment; claims expire after ttl.
func NewLog(ttl time.Duration) *Log {
	return &Log{ttl: ttl, entries: make(map[Key]entry)}
}

// Chain returns the segments that form the log: the newest one and those before it that are linked to it without a gap.
// A segment that a writer with an outdated view created where older ones were deleted is not linked, so it is left out.
func Chain(segments []Segment) []Segment {
	sorted := slices.Clone(segments)
	slices.SortFunc(sorted, func(a, b Segment) int { return cmp.Compare(a.Sequence, b.Sequence) })
	start := len(sorted)
	for start > 0 && (start == len(sorted) || linked(sorted[start-1], sorted[start])) {
		start--
	}
	return sorted[start:]
}

func linked(before, after Segment) bool {
	return before.Sequence+1 == after.Sequence && before.Nonce == after.Previous
}

// Rebuild returns the state after the chain of the segments of a whole listing.
func Rebuild(ttl time.Duration, segments []Segment) *Log {
	log := NewLog(ttl)
	for i, segment := range Chain(segments) {
		if i == 0 {
			log.next, log.last = segment.Sequence, segment.Previous
		}
		log.apply(segment)
	}
	return log
}

// Next returns the sequence of the segment to create and the nonce of the one before it.
func (l *Log) Next() (sequence uint64, previous Nonce) { return l.next, l.last }

// Apply takes the next segment; one that does not follow is an error.
func (l *Log) Apply(segment Segment) error {
	if segment.Sequence != l.next || segment.Previous != l.last {
		return coordination.Errorf(coordination.CodeConflict, "segment %d does not follow the log, which ends before %d", segment.Sequence, l.next)
	}
	l.apply(segment)
	return nil
}

func (l *Log) apply(segment Segment) {
	for _, r := range segment.Records {
		l.applyRecord(r)
	}
	l.next++
	l.last = segment.Nonce
}

func (l *Log) applyRecord(r Record) {
	held, ok := l.entries[r.Key]
	if r.Op == OpClaim {
		if !ok || l.claimable(held, r) {
			l.entries[r.Key] = entry{op: OpClaim, claim: r, released: held.released}
		}
		return
	}
	if !ok || held.op != OpClaim || held.claim.Nonce != r.Nonce {
		return
	}
	held.op = r.Op
	switch r.Op {
	case OpDone:
		if r.Result != nil {
			held.result = *r.Result
		}
	case OpRelease:
		held.released = r.Nonce
	}
	l.entries[r.Key] = held
}

// claimable reports whether a claim takes over a key. The copy of a claim that was released must not: its holder has
// already told the caller that the call did not run.
func (l *Log) claimable(held entry, claim Record) bool {
	if held.released == claim.Nonce {
		return false
	}
	return held.op == OpRelease || l.expired(held, claim.At)
}

func (l *Log) expired(held entry, at int64) bool {
	return at-held.claim.At > l.ttl.Milliseconds()
}

// Lookup returns what a request with this claim record learns about its key.
func (l *Log) Lookup(claim Record, now time.Time) (Outcome, Result) {
	held, ok := l.entries[claim.Key]
	switch {
	case !ok || held.op == OpRelease:
		return Free, Result{}
	case held.claim.Nonce == claim.Nonce && held.op == OpClaim:
		return Granted, Result{}
	case l.expired(held, claim.At):
		return Free, Result{}
	case held.claim.Fingerprint != claim.Fingerprint:
		return Mismatch, Result{}
	case held.op == OpDone:
		return Done, held.result
	case held.op == OpUnknown || now.UnixMilli() > held.claim.Deadline+UnsettledGrace.Milliseconds():
		return Unknown, Result{}
	}
	return InProgress, Result{}
}

// Holds reports whether a claim is the one that holds its key and is not settled.
func (l *Log) Holds(key Key, nonce Nonce) bool {
	held, ok := l.entries[key]
	return ok && held.op == OpClaim && held.claim.Nonce == nonce
}

// Prune forgets claims that expired so long ago that their segments may be deleted.
func (l *Log) Prune(now time.Time) {
	for key, held := range l.entries {
		if now.UnixMilli() > held.claim.At+(l.ttl+DeleteSlack).Milliseconds() {
			delete(l.entries, key)
		}
	}
}
