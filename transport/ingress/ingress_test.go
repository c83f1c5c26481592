package ingress_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRequestReachesReplicaUnchanged checks that path, query, body and model arrive unchanged, that the API key is not
// forwarded, that the team comes from the key and not from the caller's header, and that a deadline is set.
func TestRequestReachesReplicaUnchanged(t *testing.T) {
	h := newHarness(t, unsafeRoute())
	h.startReplica("r1", "orders", respondStamped("done"))
	got := h.call(http.MethodPost, "/unsafe/a%2Fb/../c?q=%20x", "payload", func(header http.Header) { header.Set(names.Team, "red") })
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "done", got.body)
	require.Equal(t, "s", got.header.Get(names.Stamp))

	received := h.received()
	require.Len(t, received, 1)
	require.Equal(t, "/unsafe/a%2Fb/../c?q=%20x", received[0].target)
	require.Equal(t, "payload", received[0].body)
	require.Equal(t, "m", received[0].header.Get(names.Model))
	require.Equal(t, "blue", received[0].header.Get(names.Team))
	require.Equal(t, "r1", received[0].header.Get(names.ExpectReplica))
	require.Empty(t, received[0].header.Get("Authorization"))
	require.NotEmpty(t, received[0].header.Get(names.Deadline))
}

// TestUnsafeRequestRunsAtMostOnce checks that an unsafe request is not sent again after a failure which leaves open whether
// it ran, and that the response to the caller does not claim that it did not run.
func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	for name, failing := range map[string]http.HandlerFunc{
		"connection broken":      resetConnection,
		"no stamp":               respondStatus(http.StatusOK, ""),
		"unmarked refusal":       respondStatus(http.StatusServiceUnavailable, ""),
		"failure of its own":     respondStatus(http.StatusInternalServerError, names.Stamp),
		"deadline at the server": respondStatus(http.StatusGatewayTimeout, names.Stamp),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, unsafeRoute())
			h.startReplica("r1", "orders", failing)
			h.startReplica("r2", "orders", failing)
			got := h.call(http.MethodPost, "/unsafe/x", "payload", nil)
			require.Len(t, h.received(), 1)
			require.Contains(t, []int{http.StatusBadGateway, http.StatusInternalServerError, http.StatusGatewayTimeout}, got.status)
		})
	}
}

// TestMarkedRefusalGoesToAnotherReplica checks that a request is sent to another replica if the first one marks its refusal
// as not run, and that the attempts are limited.
func TestMarkedRefusalGoesToAnotherReplica(t *testing.T) {
	h := newHarness(t, unsafeRoute())
	h.startReplica("r1", "orders", respondStatus(http.StatusServiceUnavailable, names.NotRun))
	h.startReplica("r2", "orders", respondStatus(http.StatusServiceUnavailable, names.NotRun))
	got := h.call(http.MethodPost, "/unsafe/x", "payload", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Contains(t, got.body, "not_run")
	require.Len(t, h.received(), 2, "no more replicas than attempts")
}

// TestSafeRequestGoesToAnotherReplicaAfterFailure checks that a safe request is retried at a second replica after a 500.
func TestSafeRequestGoesToAnotherReplicaAfterFailure(t *testing.T) {
	h := newHarness(t, safeRoute())
	failed := false
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if !failed {
			failed = true
			respondStatus(http.StatusInternalServerError, names.Stamp)(rw, r)
			return
		}
		respondStamped("ok")(rw, r)
	}
	h.startReplica("r1", "orders", serve)
	h.startReplica("r2", "orders", serve)
	got := h.call(http.MethodGet, "/safe/x", "", nil)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "ok", got.body)
}

// TestReplicaErrorResponseIsForwardedIfNoRetrySucceeds checks that a replica's error response reaches the caller
// unchanged if no retry succeeds.
func TestReplicaErrorResponseIsForwardedIfNoRetrySucceeds(t *testing.T) {
	h := newHarness(t, safeRoute())
	h.startReplica("r1", "orders", respondStatus(http.StatusInternalServerError, names.Stamp))
	got := h.call(http.MethodGet, "/safe/x", "", nil)
	require.Equal(t, http.StatusInternalServerError, got.status)
	require.Equal(t, "1", got.header.Get(names.Stamp))
}

// TestMovedAddressIsNotUsedAgain checks that an address at which another replica answers gets no further requests; it may
// belong to another upstream by now.
func TestMovedAddressIsNotUsedAgain(t *testing.T) {
	h := newHarness(t, unsafeRoute())
	h.startReplica("r1", "orders", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(names.Replica, "other")
		rw.WriteHeader(http.StatusMisdirectedRequest)
	})
	got := h.call(http.MethodPost, "/unsafe/x", "payload", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	h.call(http.MethodPost, "/unsafe/x", "payload", nil)
	require.Len(t, h.received(), 1)
}

// TestKeysAreNotTrustedWithoutTheStore checks that requests are rejected once the configuration is too old to check API keys,
// since a key may have been revoked while the store was unreachable.
func TestKeysAreNotTrustedWithoutTheStore(t *testing.T) {
	h := newHarness(t, safeRoute())
	h.startReplica("r1", "orders", respondStamped("ok"))
	h.age.Store(int64(5 * time.Second))
	got := h.call(http.MethodGet, "/safe/x", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Empty(t, h.received())
}

// TestUnknownKeyAndRouteAreRefused checks that requests with an unknown key or without a route reach no replica.
func TestUnknownKeyAndRouteAreRefused(t *testing.T) {
	h := newHarness(t, safeRoute())
	h.startReplica("r1", "orders", respondStamped("ok"))
	wrong := func(header http.Header) { header.Set("Authorization", "Bearer key-2") }
	require.Equal(t, http.StatusUnauthorized, h.call(http.MethodGet, "/safe/x", "", wrong).status)
	require.Equal(t, http.StatusNotFound, h.call(http.MethodGet, "/other/x", "", nil).status)
	require.Empty(t, h.received())
}

// TestProcessWithoutConfigurationReturns503 checks that a process without a configuration responds with 503, which callers
// retry, and not 404.
func TestProcessWithoutConfigurationReturns503(t *testing.T) {
	h := newHarness(t, safeRoute())
	h.view.Store(nil)
	require.Equal(t, http.StatusServiceUnavailable, h.call(http.MethodGet, "/safe/x", "", nil).status)
}

// TestRequestWithoutCandidateReplicaIsRefused checks that a request to an upstream without replicas is rejected with a
// Retry-After and as not run.
func TestRequestWithoutCandidateReplicaIsRefused(t *testing.T) {
	h := newHarness(t, safeRoute())
	got := h.call(http.MethodGet, "/safe/x", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, "not_run")
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// serveEvents writes numbered events from first to last; with cut it then aborts the response inside the next event.
func serveEvents(first, last int, cut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(names.Stamp, fmt.Sprint("stamp-", first))
		for id := first; id <= last; id++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
		}
		if cut {
			_, _ = io.WriteString(w, fmt.Sprintf("id: %d\nda", last+1))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// serveResumable serves events 0 to 4. The first request is aborted after event 1; a resumed one continues with event 2.
func serveResumable(w http.ResponseWriter, r *http.Request) {
	switch r.Header.Get("Last-Event-Id") {
	case "":
		serveEvents(0, 1, true)(w, r)
	case "1":
		serveEvents(2, 4, false)(w, r)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// TestBrokenStreamIsResumedAtAnotherReplica checks that a resumed stream has no missing, duplicate or partial events and
// keeps the response header of the first replica.
func TestBrokenStreamIsResumedAtAnotherReplica(t *testing.T) {
	h := newHarness(t, streamRoute())
	h.startReplica("r1", "llm", serveResumable)
	h.startReplica("r2", "llm", serveResumable)
	got := h.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.NoError(t, got.err)
	var want strings.Builder
	for id := range 5 {
		fmt.Fprintf(&want, "id: %d\ndata: x\n\n", id)
	}
	require.Equal(t, want.String(), got.body)
	require.Equal(t, "stamp-0", got.header.Get(names.Stamp))
	require.Len(t, h.received(), 2)
}

// TestStreamThatCannotBeResumedEndsWithError checks that the caller sees an error if a stream breaks and cannot be resumed.
func TestStreamThatCannotBeResumedEndsWithError(t *testing.T) {
	route := streamRoute()
	route.Resumable = false
	h := newHarness(t, route)
	h.startReplica("r1", "llm", serveResumable)
	h.startReplica("r2", "llm", serveResumable)
	got := h.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.Error(t, got.err)
	require.NotContains(t, got.body, "id: 2")
	require.Len(t, h.received(), 1)
}

// TestEventsThatTheCallerHasAreNotRepeated checks that events are dropped if a replica resumes a stream too early and repeats
// them.
func TestEventsThatTheCallerHasAreNotRepeated(t *testing.T) {
	h := newHarness(t, streamRoute())
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			serveEvents(0, 2, true)(rw, r)
			return
		}
		serveEvents(1, 3, false)(rw, r)
	}
	h.startReplica("r1", "llm", serve)
	h.startReplica("r2", "llm", serve)
	got := h.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.NoError(t, got.err)
	require.Equal(t, 4, strings.Count(got.body, "id:"))
}

// TestSilentReplicaIsReplacedBeforeTheFirstEvent checks that a stream moves to another replica if the first one hangs.
func TestSilentReplicaIsReplacedBeforeTheFirstEvent(t *testing.T) {
	h := newHarness(t, streamRoute())
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if len(h.received()) == 1 {
			<-r.Context().Done()
			return
		}
		serveEvents(0, 2, false)(rw, r)
	}
	h.startReplica("r1", "llm", serve)
	h.startReplica("r2", "llm", serve)
	got := h.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.NoError(t, got.err)
	require.Equal(t, 3, strings.Count(got.body, "id:"))
	require.NotEqual(t, h.received()[0].replica, h.received()[1].replica)
}

// TestReplicaWithOutdatedVersionGetsNoRequest checks that a replica with an older version gets no requests once a newer one
// is due, and that requests carry the expected version, so that a replica that has changed since its last report rejects
// them.
func TestReplicaWithOutdatedVersionGetsNoRequest(t *testing.T) {
	h := newHarness(t, streamRoute())
	h.startReplica("r1", "llm", serveEvents(0, 1, false))
	h.table.SetWanted(time.Time{}, fleet.WeightTarget{Model: "m", Version: 1})
	h.publish()
	require.Equal(t, http.StatusOK, h.call(http.MethodPost, "/stream/x", "prompt", nil).status)
	require.Equal(t, "1", h.received()[0].header.Get(names.ExpectVersion))

	h.table.SetWanted(time.Time{}, fleet.WeightTarget{Model: "m", Version: 2})
	h.publish()
	require.Equal(t, http.StatusServiceUnavailable, h.call(http.MethodPost, "/stream/x", "prompt", nil).status)
	require.Len(t, h.received(), 1)
}

// TestRequestWaitingForOutdatedVersionIsCanceled checks that a request is canceled if it waits at a replica with an
// outdated version. In a large fleet, 23 entries sent requests to the same idle replica 6.1 s after a new version became
// the target; some started on the old version 1.9 s later, past its limit.
func TestRequestWaitingForOutdatedVersionIsCanceled(t *testing.T) {
	h := newHarness(t, streamRoute())
	h.startReplica("r1", "llm", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	h.table.SetWanted(time.Now().Add(-29*time.Second), fleet.WeightTarget{Model: "m", Version: 2})
	h.publish()
	got := h.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.Equal(t, http.StatusBadGateway, got.status, "the deadline of 2 s has not passed")
}

// TestRequestIsCanceledForAVersionWantedAfterItWasSent guards against a request that waits at a replica with an old version until that is
// outdated, because no newer version was wanted when it was sent.
func TestRequestIsCanceledForAVersionWantedAfterItWasSent(t *testing.T) {
	h := newHarnessWith(t, func(cfg *ingress.Config) { cfg.OldVersionCancelAfter = 200 * time.Millisecond }, streamRoute())
	h.startReplica("r1", "llm", func(_ http.ResponseWriter, r *http.Request) {
		h.table.SetWanted(time.Now(), fleet.WeightTarget{Model: "m", Version: 2})
		h.publish()
		<-r.Context().Done()
	})
	got := h.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.Equal(t, http.StatusBadGateway, got.status, "the deadline of 2 s has not passed")
}

// TestReplacementOfSilentReplicaUsesCurrentMinVersion checks that the replacement of a silent replica is chosen with
// the versions that are due at that moment. A request was moved 7.6 s after a new version became the target, to a replica
// chosen with the versions that were due when the request arrived.
func TestReplacementOfSilentReplicaUsesCurrentMinVersion(t *testing.T) {
	h := newHarness(t, streamRoute())
	serve := func(_ http.ResponseWriter, r *http.Request) {
		h.table.SetWanted(time.Time{}, fleet.WeightTarget{Model: "m", Version: 2})
		h.publish()
		<-r.Context().Done()
	}
	h.startReplica("r1", "llm", serve)
	h.startReplica("r2", "llm", serve)
	got := h.call(http.MethodPost, "/stream/x", "prompt", func(header http.Header) { header.Set(names.Deadline, "400") })
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Len(t, h.received(), 1)
}

// TestLeavingEntryStillServesRequests checks that requests are still served during a planned shutdown.
func TestLeavingEntryStillServesRequests(t *testing.T) {
	h := newHarness(t, safeRoute())
	h.startReplica("r1", "orders", respondStamped("ok"))
	h.leaving.Store(true)
	got := h.call(http.MethodGet, "/safe/x", "", nil)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "ok", got.body)
}

// TestKeyIsCheckedAgainstTheConfigurationThatWasConfirmed guards against a key that was taken away and is accepted because the
// configuration that arrives while the request is checked is recent.
func TestKeyIsCheckedAgainstTheConfigurationThatWasConfirmed(t *testing.T) {
	h := newHarness(t, safeRoute())
	h.startReplica("r1", "orders", respondStamped("ok"))
	h.age.Store(int64(time.Minute))
	h.viewWasRead = func() {
		h.table.SetConfiguration(&fleet.Configuration{Version: 2, Routes: []fleet.Route{safeRoute()}, Teams: []fleet.Team{{Name: "blue"}}})
		h.publish()
		h.age.Store(0)
	}
	require.Equal(t, http.StatusServiceUnavailable, h.call(http.MethodGet, "/safe/x", "", nil).status)
	h.viewWasRead = nil
	require.Equal(t, http.StatusUnauthorized, h.call(http.MethodGet, "/safe/x", "", nil).status)
	require.Empty(t, h.received())
}
