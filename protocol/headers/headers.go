// Package headers defines the HTTP headers between callers, the system and its back ends.
package headers

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Names holds the header names of a deployment in canonical form.
type Names struct {
	RequestID string
	// Deadline carries the remaining time until the caller's deadline in milliseconds.
	Deadline string
	// Stamp marks a response as coming from a back end.
	Stamp         string
	Team          string
	ExpectReplica string
	ExpectVersion string
	// Load carries a back end's numbers of running requests, waiting requests and slots.
	Load string
	// NotRun marks a response of a back end that rejected the request without running it.
	NotRun  string
	Replica string
	// ColdRemaining carries the time for which a back end stays cold in milliseconds.
	ColdRemaining string
	Model         string
	Priority      string
	// Leaving marks, with the value LeavingValue, the responses of a back end that is about to leave and wants no new requests.
	Leaving string
	// RequestLimit carries the request rate per second that a back end in need takes from all hosts together.
	RequestLimit string
	// PromptPrefix lists the parts of a request's prompt; requests share all but the last one.
	PromptPrefix string
	// TokenCounts carries the number of prompt tokens of a request and the maximum of its output tokens.
	TokenCounts string
	// LengthHint carries the caller's estimate of the number of output tokens.
	LengthHint string
	// LayerPath selects the layers that an engine runs. Only the system may send it.
	LayerPath string
}

// LeavingValue is the value of the header Names.Leaving.
const LeavingValue = "1"

// Canonical returns the names in canonical form.
func (n Names) Canonical() Names {
	for _, name := range []*string{
		&n.RequestID, &n.Deadline, &n.Stamp, &n.Team, &n.ExpectReplica, &n.ExpectVersion, &n.Load, &n.NotRun, &n.Replica,
		&n.ColdRemaining, &n.Model, &n.Priority, &n.Leaving,
		&n.RequestLimit, &n.PromptPrefix, &n.TokenCounts, &n.LengthHint, &n.LayerPath,
	} {
		*name = textproto.CanonicalMIMEHeaderKey(*name)
	}
	return n
}

// Header name and media type for server-sent events.
const (
	// LastEventID carries the ID of the last event that the caller has received.
	LastEventID = "Last-Event-Id"
	// EventStream is the media type of a stream of server-sent events.
	EventStream = "text/event-stream"
)

// RetryAfter returns the pause that the Retry-After header asks for in seconds, which may have a fraction. It returns false for
// a header that is missing, malformed or a date.
func RetryAfter(h http.Header) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if err != nil || !(seconds >= 0) {
		return 0, false
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), true
}

// maxRetryAfter bounds the pause that RetryAfter returns.
const maxRetryAfter = 24 * time.Hour

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the hop-by-hop headers, including those that the Connection header lists.
func RemoveHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
