// Package caller sends requests as a client and checks that each response is complete and belongs to its request.
package caller

import (
	"time"

	"github.com/guavatrestle/guavatrestle/protocol/api"
)

// Kind classifies how a request ended.
type Kind string

// Kinds of outcomes.
const (
	// Succeeded means a complete response that belongs to the request.
	Succeeded Kind = "succeeded"
	// Refused means an error response which states that the request did not run (not_run).
	Refused Kind = "refused"
	// Failed means an error response after which the request may have run.
	Failed Kind = "failed"
	// CutOff means that the connection ended after the request was sent and before the response was complete.
	CutOff Kind = "cut_off"
	// Invalid means a response with status 200 that ended regularly but is incomplete or belongs to another request.
	Invalid Kind = "short"
	// Unsent means that the request was not written to a connection.
	Unsent Kind = "unsent"
)

// Outcome describes how a request ended.
type Outcome struct {
	Kind    Kind
	Status  int
	Refusal api.Refusal
	// RetryAfter is the value of the Retry-After header.
	RetryAfter string
	// Digest is the digest of the model version that produced the response.
	Digest string
	// FirstByte and Latency are the times from when the request was due to the response headers and to the end of the
	// body.
	FirstByte time.Duration
	Latency   time.Duration
	// MaxTokenGap is the longest time between two reads of an event stream; 0 for other responses.
	MaxTokenGap time.Duration
	// Detail describes the error.
	Detail string
}
