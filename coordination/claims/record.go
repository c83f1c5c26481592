// Package claims decides which request may run a call that must run at most once.
//
// The claims of a shard form a log of segments. Each segment refers to the one before it, and a writer creates segment n only
// after it has read all earlier segments; the object API lets only one writer succeed. All readers that apply the same
// segments reach the same state, so a claim is granted if it is the first for its key in the log.
//
// Expiry in the log depends only on the times in the records, so that all readers agree on it.
package claims

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// Shards is the number of logs over which claims are distributed. All entries must use the same number.
	Shards = 32
	// DefaultTTL is the time for which a claim is kept.
	DefaultTTL = 24 * time.Hour
	// DeleteSlack is the time after a claim's expiry before its segment may be deleted. It allows for clock skew and for
	// writers with an outdated view.
	DeleteSlack = time.Hour
	// UnsettledGrace is the time after the holder's deadline during which an unsettled call still counts as in progress.
	UnsettledGrace = 10 * time.Second
	// MaxResultBytes bounds the body of a recorded result.
	MaxResultBytes = 64 << 10
)

// Op is the kind of a record.
type Op string

// Kinds of record.
const (
	// OpClaim claims a key.
	OpClaim Op = "claim"
	// OpDone records the result of a claimed call.
	OpDone Op = "done"
	// OpUnknown records that a claimed call may have run.
	OpUnknown Op = "unknown"
	// OpRelease releases a key whose call did not run.
	OpRelease Op = "release"
)

// Key identifies a team, upstream and idempotency key by their hash.
type Key string

// Nonce identifies one claim of a key, or one segment.
type Nonce string

// Result is the recorded response of a call.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted is true if the body was larger than MaxResultBytes.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// Bounded returns the result, without its body if that is larger than MaxResultBytes.
func (r Result) Bounded() Result {
	if len(r.Body) > MaxResultBytes {
		r.Body, r.BodyOmitted = nil, true
	}
	return r
}

// Record is one entry of a segment.
type Record struct {
	Op    Op    `json:"op"`
	Key   Key   `json:"key"`
	Nonce Nonce `json:"nonce"`
	// At is the time of the record in milliseconds since the Unix epoch.
	At int64 `json:"at"`
	// Fingerprint, Holder and Deadline are set for OpClaim. Deadline is in milliseconds since the Unix epoch.
	Fingerprint string      `json:"fingerprint,omitempty"`
	Holder      core.HostID `json:"holder,omitempty"`
	Deadline    int64       `json:"deadline,omitempty"`
	Result      *Result     `json:"result,omitempty"`
}

// Segment is one stored object of a shard's log.
type Segment struct {
	Sequence uint64 `json:"sequence"`
	// Nonce identifies this segment, so that its writer can tell whether a write without a response took effect.
	Nonce Nonce `json:"nonce"`
	// Previous is the nonce of the segment before this one; empty for the first.
	Previous Nonce    `json:"previous,omitempty"`
	Records  []Record `json:"records"`
}

// NewestAt returns the time of the newest record in milliseconds since the Unix epoch.
func (s Segment) NewestAt() int64 {
	newest := int64(0)
	for _, r := range s.Records {
		newest = max(newest, r.At)
	}
	return newest
}

// Deletable reports whether all claims to which the records of the segment belong expired at least DeleteSlack ago.
func (s Segment) Deletable(now time.Time, ttl time.Duration) bool {
	return now.UnixMilli() > s.NewestAt()+(ttl+DeleteSlack).Milliseconds()
}
