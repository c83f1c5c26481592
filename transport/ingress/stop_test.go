package ingress_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/api"
)

// TestRequestThatOutlastsTheStopIsRefused guards against a request that arrives on a kept connection long after the signal to stop, is
// sent to a replica and is cut off in the middle when the process exits.
func TestRequestThatOutlastsTheStopIsRefused(t *testing.T) {
	h := newHarness(t, streamRoute())
	h.startReplica("r1", "llm", serveStream)
	h.leaving.Store(true)
	require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/stream/x", "", nil).status, "new connections are still taken")
	stopsAt := time.Now().Add(time.Second)
	h.stopsAt.Store(&stopsAt)
	response := h.call(http.MethodPost, "/stream/x", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, response.status)
	require.Contains(t, response.body, api.CodeLeaving)
	require.Contains(t, response.body, string(api.RunNotRun))
	require.NotEmpty(t, response.header.Get("Retry-After"))
	require.Len(t, h.received(), 1)
	short := func(header http.Header) { header.Set(names.Deadline, "300") }
	require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/stream/x", "", short).status, "it ends before the stop")
}
