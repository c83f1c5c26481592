package ingress_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
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

// patient lets a request wait longer than any stop in these tests.
func patient(header http.Header) { header.Set(names.Deadline, "100000") }

// stopSoon makes the host stop before the deadline of a patient request.
func (h *harness) stopSoon() {
	stopsAt := time.Now().Add(10 * time.Second)
	h.stopsAt.Store(&stopsAt)
}

// requireLeaving checks that a request was refused as not run because the host stops.
func requireLeaving(t *testing.T, response callerResponse) {
	t.Helper()
	require.Equal(t, http.StatusServiceUnavailable, response.status)
	require.Contains(t, response.body, api.CodeLeaving)
	require.Contains(t, response.body, string(api.RunNotRun))
	require.NotEmpty(t, response.header.Get("Retry-After"))
}

// hookedBody is a request body that calls first before its first byte is read.
type hookedBody struct {
	io.Reader
	first func()
	once  sync.Once
}

func (b *hookedBody) Read(p []byte) (int, error) {
	b.once.Do(b.first)
	return b.Reader.Read(p)
}

// callAfterContinue sends a request whose body is sent once the host has begun to read it.
func (h *harness) callAfterContinue(first func(), answered ...func()) callerResponse {
	h.t.Helper()
	request, err := http.NewRequest(http.MethodPost, h.frontend.URL+"/unsafe/", &hookedBody{Reader: strings.NewReader("body"), first: first})
	require.NoError(h.t, err)
	request.Host = "a.example"
	request.Header.Set("Authorization", "Bearer key-1")
	request.Header.Set("Expect", "100-continue")
	patient(request.Header)
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Hour, DisableKeepAlives: true}}
	response, err := client.Do(request)
	for _, call := range answered {
		call()
	}
	require.NoError(h.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(content), err}
}

// TestRequestWhoseBodyEndsAfterTheStopBeganIsRefused guards against a request that is sent to a replica late in a planned stop, and cut
// off at its end, because only its head came before the stop.
func TestRequestWhoseBodyEndsAfterTheStopBeganIsRefused(t *testing.T) {
	route := unsafeRoute()
	route.Timeout = time.Hour
	h := newHarness(t, route)
	h.startReplica("r1", "orders", respondStamped("ok"))
	requireLeaving(t, h.callAfterContinue(h.stopSoon))
	require.Empty(t, h.received())
}

// TestRequestWhoseBodyIsCutOffByTheStopIsRefusedAsNotRun guards against telling a caller that its body was too slow, which is no reason
// to come back, when the host stops.
func TestRequestWhoseBodyIsCutOffByTheStopIsRefusedAsNotRun(t *testing.T) {
	route := unsafeRoute()
	route.Timeout = time.Hour
	h := newHarness(t, route)
	h.startReplica("r1", "orders", respondStamped("ok"))
	answered := make(chan struct{})
	response := h.callAfterContinue(func() {
		h.stopSoon()
		h.close()
		<-answered
	}, func() { close(answered) })
	requireLeaving(t, response)
	require.Empty(t, h.received())
}

// TestRequestThatWaitsUntilTheStopIsRefused guards against a request that is sent late in a planned stop because it came before and waited
// for a replica with capacity.
func TestRequestThatWaitsUntilTheStopIsRefused(t *testing.T) {
	route := streamRoute()
	route.Timeout, route.Objective = time.Hour, time.Hour
	h := newHarnessWith(t, func(cfg *ingress.Config) { cfg.CapacityWaitShare = 1 }, route)
	var polls atomic.Int64
	h.viewWasRead = func() {
		if polls.Add(1) == 5 {
			h.stopSoon()
			h.startReplica("r1", "llm", serveStream)
		}
	}
	requireLeaving(t, h.call(http.MethodPost, "/stream/x", "", patient))
	require.Empty(t, h.received())
}

// TestRequestIsNotTriedAgainAfterTheStopBegan guards against a second try that is sent late in a planned stop and cut off at its end.
func TestRequestIsNotTriedAgainAfterTheStopBegan(t *testing.T) {
	route := unsafeRoute()
	route.Timeout = time.Hour
	h := newHarness(t, route)
	for _, id := range []fleet.ReplicaID{"r1", "r2"} {
		h.startReplica(id, "orders", func(w http.ResponseWriter, _ *http.Request) {
			h.stopSoon()
			w.Header().Set(names.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	requireLeaving(t, h.call(http.MethodPost, "/unsafe/", "x", patient))
	require.Len(t, h.received(), 1)
}

// TestRequestWhoseConnectionOpensAfterTheStopBeganIsRefused guards against a request that is sent late in a planned stop because the
// connection to its replica took long to open.
func TestRequestWhoseConnectionOpensAfterTheStopBeganIsRefused(t *testing.T) {
	route := unsafeRoute()
	route.Timeout = time.Hour
	h := newHarness(t, route)
	h.startReplica("r1", "orders", respondStamped("ok"))
	// The age is asked for when the request arrives, and again right before it is sent.
	var asked atomic.Int64
	stop := func() {
		if asked.Add(1) == 2 {
			h.stopSoon()
		}
	}
	h.onAge.Store(&stop)
	requireLeaving(t, h.call(http.MethodPost, "/unsafe/", "x", patient))
	require.Empty(t, h.received())
}
