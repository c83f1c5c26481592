// Package headers names the HTTP headers that a deployment uses between callers, the system and its back ends.
package headers

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Names holds the header names of a deployment in canonical form.
type Names struct {
	RequestID string
	// Deadline carries the milliseconds that the caller still waits.
	Deadline string
	// Stamp marks an answer of a back end.
	Stamp         string
	Team          string
	ExpectReplica string
	ExpectVersion string
	// Load carries running requests, waiting requests and slots of a back end.
	Load string
	// NotRun marks a refusal of a back end that did not run the request.
	NotRun  string
	Replica string
	// ColdRemaining carries the milliseconds for which a back end stays cold.
	ColdRemaining string
	Model         string
	Priority      string
}

// Canonical returns the names in canonical form.
func (n Names) Canonical() Names {
	for _, name := range []*string{
		&n.RequestID, &n.Deadline, &n.Stamp, &n.Team, &n.ExpectReplica, &n.ExpectVersion, &n.Load, &n.NotRun, &n.Replica,
		&n.ColdRemaining, &n.Model, &n.Priority,
	} {
		*name = textproto.CanonicalMIMEHeaderKey(*name)
	}
	return n
}

// Standard headers that Last-Event-ID needs beside those of net/http.
const (
	// LastEventID carries the id of the last event of a stream that the caller has.
	LastEventID = "Last-Event-Id"
	// EventStream is the media type of a stream of events.
	EventStream = "text/event-stream"
)

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the headers that concern one connection only, those named by Connection included.
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
