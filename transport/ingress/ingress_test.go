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
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRequestReachesReplicaUnchanged guards against a changed path, query, body or model, a key that is passed on, a team
// that the caller names itself, and a missing deadline.
func TestRequestReachesReplicaUnchanged(t *testing.T) {
	w := newWorld(t, unsafeRoute())
	w.replica("r1", "orders", stamped("done"))
	got := w.call(http.MethodPost, "/unsafe/a%2Fb/../c?q=%20x", "payload", func(h http.Header) { h.Set(names.Team, "red") })
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "done", got.body)
	require.Equal(t, "s", got.header.Get(names.Stamp))

	seen := w.seen()
	require.Len(t, seen, 1)
	require.Equal(t, "/unsafe/a%2Fb/../c?q=%20x", seen[0].target)
	require.Equal(t, "payload", seen[0].body)
	require.Equal(t, "m", seen[0].header.Get(names.Model))
	require.Equal(t, "blue", seen[0].header.Get(names.Team))
	require.Equal(t, "r1", seen[0].header.Get(names.ExpectReplica))
	require.Empty(t, seen[0].header.Get("Authorization"))
	require.NotEmpty(t, seen[0].header.Get(names.Deadline))
}

// TestUnsafeRequestRunsAtMostOnce guards against a second run after a failure that leaves open whether the first ran, and
// against a refusal that claims it did not.
func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	for name, failing := range map[string]http.HandlerFunc{
		"connection broken":      reset,
		"no stamp":               status(http.StatusOK, ""),
		"unmarked refusal":       status(http.StatusServiceUnavailable, ""),
		"failure of its own":     status(http.StatusInternalServerError, names.Stamp),
		"deadline at the server": status(http.StatusGatewayTimeout, names.Stamp),
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, unsafeRoute())
			w.replica("r1", "orders", failing)
			w.replica("r2", "orders", failing)
			got := w.call(http.MethodPost, "/unsafe/x", "payload", nil)
			require.Len(t, w.seen(), 1)
			require.Contains(t, []int{http.StatusBadGateway, http.StatusInternalServerError, http.StatusGatewayTimeout}, got.status)
		})
	}
}

// TestMarkedRefusalGoesToAnotherReplica guards against giving up a request that certainly did not run.
func TestMarkedRefusalGoesToAnotherReplica(t *testing.T) {
	w := newWorld(t, unsafeRoute())
	w.replica("r1", "orders", status(http.StatusServiceUnavailable, names.NotRun))
	w.replica("r2", "orders", status(http.StatusServiceUnavailable, names.NotRun))
	got := w.call(http.MethodPost, "/unsafe/x", "payload", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Contains(t, got.body, "not_run")
	require.Len(t, w.seen(), 2, "no more replicas than attempts")
}

// TestSafeRequestGoesToAnotherReplicaAfterFailure guards against a failure that a second replica could have mended.
func TestSafeRequestGoesToAnotherReplicaAfterFailure(t *testing.T) {
	w := newWorld(t, safeRoute())
	failed := false
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if !failed {
			failed = true
			status(http.StatusInternalServerError, names.Stamp)(rw, r)
			return
		}
		stamped("ok")(rw, r)
	}
	w.replica("r1", "orders", serve)
	w.replica("r2", "orders", serve)
	got := w.call(http.MethodGet, "/safe/x", "", nil)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "ok", got.body)
}

// TestReplicasOwnFailureIsPassedOnWhereNothingBetterComes guards against a changed status of a replica's answer.
func TestReplicasOwnFailureIsPassedOnWhereNothingBetterComes(t *testing.T) {
	w := newWorld(t, safeRoute())
	w.replica("r1", "orders", status(http.StatusInternalServerError, names.Stamp))
	got := w.call(http.MethodGet, "/safe/x", "", nil)
	require.Equal(t, http.StatusInternalServerError, got.status)
	require.Equal(t, "1", got.header.Get(names.Stamp))
}

// TestMovedAddressIsNotUsedAgain guards against a request that another upstream's replica runs.
func TestMovedAddressIsNotUsedAgain(t *testing.T) {
	w := newWorld(t, unsafeRoute())
	w.replica("r1", "orders", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(names.Replica, "other")
		rw.WriteHeader(http.StatusMisdirectedRequest)
	})
	got := w.call(http.MethodPost, "/unsafe/x", "payload", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	w.call(http.MethodPost, "/unsafe/x", "payload", nil)
	require.Len(t, w.seen(), 1)
}

// TestKeysAreNotTrustedWithoutTheStore guards against requests whose key was revoked while the store was out of reach.
func TestKeysAreNotTrustedWithoutTheStore(t *testing.T) {
	w := newWorld(t, safeRoute())
	w.replica("r1", "orders", stamped("ok"))
	w.age.Store(int64(5 * time.Second))
	got := w.call(http.MethodGet, "/safe/x", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Empty(t, w.seen())
}

// TestUnknownKeyAndRouteAreRefused guards against requests that no configuration allows.
func TestUnknownKeyAndRouteAreRefused(t *testing.T) {
	w := newWorld(t, safeRoute())
	w.replica("r1", "orders", stamped("ok"))
	wrong := func(h http.Header) { h.Set("Authorization", "Bearer key-2") }
	require.Equal(t, http.StatusUnauthorized, w.call(http.MethodGet, "/safe/x", "", wrong).status)
	require.Equal(t, http.StatusNotFound, w.call(http.MethodGet, "/other/x", "", nil).status)
	require.Empty(t, w.seen())
}

// TestProcessWithoutConfigurationRefusesForNow guards against a final refusal by a process that knows nothing yet.
func TestProcessWithoutConfigurationRefusesForNow(t *testing.T) {
	w := newWorld(t, safeRoute())
	w.view.Store(nil)
	require.Equal(t, http.StatusServiceUnavailable, w.call(http.MethodGet, "/safe/x", "", nil).status)
}

// TestFullUpstreamIsRefusedAtOnce guards against a request that is held although it cannot be served.
func TestFullUpstreamIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, safeRoute())
	got := w.call(http.MethodGet, "/safe/x", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, "not_run")
	require.NotEmpty(t, got.header.Get("Retry-After"))
}

// events writes numbered events from first to last; with cut it breaks off inside the event after the last.
func events(first, last int, cut bool) http.HandlerFunc {
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

// resuming serves events 0 to 4: the first arrival breaks off after event 1, a resumed one goes on after the caller's last.
func resuming(w http.ResponseWriter, r *http.Request) {
	switch r.Header.Get("Last-Event-Id") {
	case "":
		events(0, 1, true)(w, r)
	case "1":
		events(2, 4, false)(w, r)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// TestBrokenStreamGoesOnAtAnotherReplica guards against missing, doubled or torn events in a resumed stream, and against a
// head that changes on the way.
func TestBrokenStreamGoesOnAtAnotherReplica(t *testing.T) {
	w := newWorld(t, streamRoute())
	w.replica("r1", "llm", resuming)
	w.replica("r2", "llm", resuming)
	got := w.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.NoError(t, got.err)
	var want strings.Builder
	for id := range 5 {
		fmt.Fprintf(&want, "id: %d\ndata: x\n\n", id)
	}
	require.Equal(t, want.String(), got.body)
	require.Equal(t, "stamp-0", got.header.Get(names.Stamp))
	require.Len(t, w.seen(), 2)
}

// TestStreamThatCannotGoOnDoesNotLookComplete guards against a cut stream with a proper end.
func TestStreamThatCannotGoOnDoesNotLookComplete(t *testing.T) {
	route := streamRoute()
	route.Resumable = false
	w := newWorld(t, route)
	w.replica("r1", "llm", resuming)
	w.replica("r2", "llm", resuming)
	got := w.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.Error(t, got.err)
	require.NotContains(t, got.body, "id: 2")
	require.Len(t, w.seen(), 1)
}

// TestEventsThatTheCallerHasAreNotRepeated guards against a replica that starts a resumed stream too early.
func TestEventsThatTheCallerHasAreNotRepeated(t *testing.T) {
	w := newWorld(t, streamRoute())
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			events(0, 2, true)(rw, r)
			return
		}
		events(1, 3, false)(rw, r)
	}
	w.replica("r1", "llm", serve)
	w.replica("r2", "llm", serve)
	got := w.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.NoError(t, got.err)
	require.Equal(t, 4, strings.Count(got.body, "id:"))
}

// TestSilentReplicaIsReplacedBeforeTheFirstEvent guards against a stream that waits for a replica that hangs.
func TestSilentReplicaIsReplacedBeforeTheFirstEvent(t *testing.T) {
	w := newWorld(t, streamRoute())
	serve := func(rw http.ResponseWriter, r *http.Request) {
		if len(w.seen()) == 1 {
			<-r.Context().Done()
			return
		}
		events(0, 2, false)(rw, r)
	}
	w.replica("r1", "llm", serve)
	w.replica("r2", "llm", serve)
	got := w.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.NoError(t, got.err)
	require.Equal(t, 3, strings.Count(got.body, "id:"))
	require.NotEqual(t, w.seen()[0].replica, w.seen()[1].replica)
}

// TestOldVersionIsNotAskedOnceTheNewerIsDue guards against a request that begins on replaced weights, also where the replica
// has changed since it was last heard of.
func TestOldVersionIsNotAskedOnceTheNewerIsDue(t *testing.T) {
	w := newWorld(t, streamRoute())
	w.replica("r1", "llm", events(0, 1, false))
	w.table.SetWanted(time.Time{}, fleet.WeightTarget{Model: "m", Version: 1})
	w.publish()
	require.Equal(t, http.StatusOK, w.call(http.MethodPost, "/stream/x", "prompt", nil).status)
	require.Equal(t, "1", w.seen()[0].header.Get(names.ExpectVersion))

	w.table.SetWanted(time.Time{}, fleet.WeightTarget{Model: "m", Version: 2})
	w.publish()
	require.Equal(t, http.StatusServiceUnavailable, w.call(http.MethodPost, "/stream/x", "prompt", nil).status)
	require.Len(t, w.seen(), 1)
}

// TestRequestThatWaitsTooLongForAnOldVersionIsTakenBack replays a large fleet 6.1 s after the naming of a version: 23 entries
// sent to the same idle replica at once, and requests began on the old version 1.9 s later, after its time.
func TestRequestThatWaitsTooLongForAnOldVersionIsTakenBack(t *testing.T) {
	w := newWorld(t, streamRoute())
	w.replica("r1", "llm", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	w.table.SetWanted(time.Now().Add(-29*time.Second), fleet.WeightTarget{Model: "m", Version: 2})
	w.publish()
	got := w.call(http.MethodPost, "/stream/x", "prompt", nil)
	require.Equal(t, http.StatusBadGateway, got.status, "the deadline of 2 s has not passed")
}

// TestReplicaChosenInPlaceOfASilentOneHasTheVersionDueByThen replays a request that was moved from a silent replica 7.6 s after
// a naming, by a choice made with the versions that were due when the request came.
func TestReplicaChosenInPlaceOfASilentOneHasTheVersionDueByThen(t *testing.T) {
	w := newWorld(t, streamRoute())
	serve := func(_ http.ResponseWriter, r *http.Request) {
		w.table.SetWanted(time.Time{}, fleet.WeightTarget{Model: "m", Version: 2})
		w.publish()
		<-r.Context().Done()
	}
	w.replica("r1", "llm", serve)
	w.replica("r2", "llm", serve)
	got := w.call(http.MethodPost, "/stream/x", "prompt", func(h http.Header) { h.Set(names.Deadline, "400") })
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Len(t, w.seen(), 1)
}

// TestLeavingEntryServesAndSendsCallersElsewhere guards against a planned stop that cuts off requests.
func TestLeavingEntryServesAndSendsCallersElsewhere(t *testing.T) {
	w := newWorld(t, safeRoute())
	w.replica("r1", "orders", stamped("ok"))
	w.leaving.Store(true)
	got := w.call(http.MethodGet, "/safe/x", "", nil)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "ok", got.body)
}
