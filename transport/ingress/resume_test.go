package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// wrongResumptions are responses of a replica to the rest of a stream of which the caller has the events 0 and 1.
var wrongResumptions = map[string]http.HandlerFunc{
	"error with text": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Stamp, "s")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "wrong-text")
	},
	"error as a stream": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(names.Stamp, "s")
		w.WriteHeader(http.StatusBadGateway)
		_, _ = io.WriteString(w, "id: 2\ndata: wrong-text\n\n")
	},
	"error that ends early": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Stamp, "s")
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "wrong-text")
	},
	"refusal": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "wrong-text")
	},
	"misdirected": respondStatus(http.StatusMisdirectedRequest, ""),
	"no stream":   respondStamped("wrong-text"),
	"stream without the stamp": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 2\ndata: wrong-text\n\n")
	},
	"head only": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(names.Stamp, "s")
		w.Header().Set("Content-Length", "0")
	},
	"comment only": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(names.Stamp, "s")
		_, _ = io.WriteString(w, ": comment\n\n")
	},
	"error as an event": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(names.Stamp, "s")
		_, _ = io.WriteString(w, "event: error\ndata: wrong-text\n\n")
	},
	"error inside the stream": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(names.Stamp, "s")
		_, _ = io.WriteString(w, "HTTP/1.1 500 wrong-text\r\nContent-Length: 0\r\n\r\n")
	},
	"earlier events only": serveEvents(0, 0, false),
	"connection reset":    resetConnection,
}

// TestErrorInPlaceOfTheRestOfAStreamIsNotPassedOn guards against callers that find an error's text or head in the middle of their stream,
// or a stream that ends as if it were complete, because the replica that should go on with it answers with something else.
func TestErrorInPlaceOfTheRestOfAStreamIsNotPassedOn(t *testing.T) {
	for name, respond := range wrongResumptions {
		for _, attempts := range []int{2, 3} {
			t.Run(fmt.Sprintf("%s, %d attempts", name, attempts), func(t *testing.T) {
				route := streamRoute()
				route.Attempts = attempts
				h := newHarness(t, route)
				serve := func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Last-Event-Id") == "" {
						serveEvents(0, 1, true)(w, r)
						return
					}
					respond(w, r)
				}
				for replica := range 3 {
					h.startReplica(fleet.ReplicaID(fmt.Sprint("r", replica)), "llm", serve)
				}
				got := h.call(http.MethodPost, "/stream/x", "prompt", nil)
				require.Error(t, got.err, "the stream must not end as complete")
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "id: 0\ndata: x\n\nid: 1\ndata: x\n\n", got.body)
			})
		}
	}
}

// TestStreamThatBrokeAfterItsLastEventIsComplete guards against a stream that counts as broken although the replica that goes on with it
// repeats its last event and ends.
func TestStreamThatBrokeAfterItsLastEventIsComplete(t *testing.T) {
	h := newHarness(t, streamRoute())
	serve := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			serveEvents(0, 1, true)(w, r)
			return
		}
		serveEvents(0, 1, false)(w, r)
	}
	h.startReplica("r1", "llm", serve)
	h.startReplica("r2", "llm", serve)
	got := h.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.NoError(t, got.err)
	require.Equal(t, 2, strings.Count(got.body, "id:"))
}

// TestStreamWithoutIDsIsNotBegunAgain guards against callers that get the first events of a stream twice because the stream broke before
// an event with an ID, so that no replica can go on with it.
func TestStreamWithoutIDsIsNotBegunAgain(t *testing.T) {
	h := newHarness(t, streamRoute())
	serve := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(names.Stamp, "s")
		_, _ = io.WriteString(w, "data: x\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	h.startReplica("r1", "llm", serve)
	h.startReplica("r2", "llm", serve)
	got := h.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.Error(t, got.err)
	require.Equal(t, "data: x\n\n", got.body)
	require.Len(t, h.received(), 1)
}
