package claims

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination"
)

// Outcome is the result of looking up a key for a request.
type Outcome string

// Outcomes.
const (
	// Free means that the key may be claimed.
	Free Outcome = "free"
	// Granted means that the request holds the claim.
	Granted Outcome = "granted"
	// InProgress means that another request holds the claim and may still be running.
	InProgress Outcome = "in_progress"
	// Done means that the call ran and its result is recorded.
	Done Outcome = "done"
	// Unknown means that the call may or may not have run.
	Unknown Outcome = "unknown"
	// Mismatch means that the key is claimed for a request with different content.
	Mismatch Outcome = "mismatch"
)

// keyState is the state of one key. op is the kind of the last record that took effect.
type keyState struct {
	op     Op
	claim  Record
	result Result
	// released is the nonce of the last released claim.
	released Nonce
}

// Log is the state of a shard after applying its segments in order.
//
// Log is not safe for concurrent use.
type Log struct {
	ttl          time.Duration
	nextSequence uint64
	lastNonce    Nonce
	keys         map[Key]keyState
}

// NewLog returns the state before the first segment. Claims expire after ttl.
func NewLog(ttl time.Duration) *Log {
	return &Log{ttl: ttl, keys: make(map[Key]keyState)}
}

// Chain returns the segments that form the log, in order: the newest one and those before it that are linked to it without
// a gap. It omits a segment that a writer with an outdated view created in the place of a deleted one, as it is not linked.
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

// Rebuild returns the state after the chain of segments in a complete listing.
func Rebuild(ttl time.Duration, segments []Segment) *Log {
	log := NewLog(ttl)
	for i, segment := range Chain(segments) {
		if i == 0 {
			log.nextSequence, log.lastNonce = segment.Sequence, segment.Previous
		}
		log.apply(segment)
	}
	return log
}

// Next returns the sequence number of the segment to create next and the nonce of the segment before it.
func (l *Log) Next() (sequence uint64, previous Nonce) { return l.nextSequence, l.lastNonce }

// Apply applies the next segment. It returns an error if the segment does not follow the last one.
func (l *Log) Apply(segment Segment) error {
	if segment.Sequence != l.nextSequence || segment.Previous != l.lastNonce {
		return coordination.Errorf(coordination.CodeConflict, "segment %d does not continue the log: want sequence %d and the nonce of the last segment as predecessor", segment.Sequence, l.nextSequence)
	}
	l.apply(segment)
	return nil
}

func (l *Log) apply(segment Segment) {
	for _, r := range segment.Records {
		l.applyRecord(r)
	}
	l.nextSequence++
	l.lastNonce = segment.Nonce
}

func (l *Log) applyRecord(r Record) {
	state, ok := l.keys[r.Key]
	if r.Op == OpClaim {
		if !ok || l.claimable(state, r) {
			l.keys[r.Key] = keyState{op: OpClaim, claim: r, released: state.released}
		}
		return
	}
	if !ok || state.op != OpClaim || state.claim.Nonce != r.Nonce {
		return
	}
	state.op = r.Op
	switch r.Op {
	case OpDone:
		if r.Result != nil {
			state.result = *r.Result
		}
	case OpRelease:
		state.released = r.Nonce
	}
	l.keys[r.Key] = state
}

// claimable reports whether a claim takes effect on a key that already has state. A duplicate record of a released claim must
// not, because its holder has already told the caller that the call did not run.
func (l *Log) claimable(state keyState, claim Record) bool {
	if state.released == claim.Nonce {
		return false
	}
	return state.op == OpRelease || l.expired(state, claim.At)
}

func (l *Log) expired(state keyState, at int64) bool {
	return at-state.claim.At > l.ttl.Milliseconds()
}

// Lookup returns the outcome for a request with this claim record, and the result if the outcome is Done.
func (l *Log) Lookup(claim Record, now time.Time) (Outcome, Result) {
	state, ok := l.keys[claim.Key]
	switch {
	case !ok || state.op == OpRelease:
		return Free, Result{}
	case state.claim.Nonce == claim.Nonce && state.op == OpClaim:
		return Granted, Result{}
	case l.expired(state, claim.At):
		return Free, Result{}
	case state.claim.Fingerprint != claim.Fingerprint:
		return Mismatch, Result{}
	case state.op == OpDone:
		return Done, state.result
	case state.op == OpUnknown || now.UnixMilli() > state.claim.Deadline+UnsettledGrace.Milliseconds():
		return Unknown, Result{}
	}
	return InProgress, Result{}
}

// Holds reports whether the claim with this nonce holds the key and is not settled.
func (l *Log) Holds(key Key, nonce Nonce) bool {
	state, ok := l.keys[key]
	return ok && state.op == OpClaim && state.claim.Nonce == nonce
}

// Prune removes claims that expired so long ago that their segments may be deleted.
func (l *Log) Prune(now time.Time) {
	for key, state := range l.keys {
		if now.UnixMilli() > state.claim.At+(l.ttl+DeleteSlack).Milliseconds() {
			delete(l.keys, key)
		}
	}
}
