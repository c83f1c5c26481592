// Package caller sends callers' requests and judges whether each response is whole and the caller's own.
package caller

import (
	"time"

	"github.com/guavatrestle/guavatrestle/protocol/api"
)

// Kind classifies how a request ended.
type Kind string

// Kinds of outcomes.
const (
	// Succeeded means a whole response to the caller's own request.
	Succeeded Kind = "succeeded"
	// Refused means a refusal that says not_run.
	Refused Kind = "refused"
	// Failed means a clear error after which the request may have run.
	Failed Kind = "failed"
	// CutOff means that the connection ended after the request was sent and before the response was whole.
	CutOff Kind = "cut_off"
	// Invalid means a response that ended in order but is not whole, or belongs to another request.
	Invalid Kind = "short"
	// Unsent means that no connection took the request.
	Unsent Kind = "unsent"
)

// Outcome is how one request ended.
type Outcome struct {
	Kind    Kind
	Status  int
	Refusal api.Refusal
	// RetryAfter is the header of a refusal.
	RetryAfter string
	// Digest is the version that answered.
	Digest string
	// FirstByte and Latency are times since the request was due.
	FirstByte time.Duration
	Latency   time.Duration
	// MaxTokenGap is the longest time between two reads of an event stream; 0 for other responses.
	MaxTokenGap time.Duration
	// Detail says what was wrong.
	Detail string
}
