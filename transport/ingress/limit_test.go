package ingress_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
)

// limitingReplica answers with a request limit as long as the value is not empty.
func limitingReplica(limit *atomic.Pointer[string]) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if value := limit.Load(); value != nil {
			w.Header().Set(names.RequestLimit, *value)
		}
		respondStamped("ok")(w, r)
	}
}

// TestChangesOfARequestLimitAreLogged guards against a limit whose begin, value, end or source can't be found in the log.
func TestChangesOfARequestLimitAreLogged(t *testing.T) {
	h := newHarness(t, safeRoute())
	var limit atomic.Pointer[string]
	h.startReplica("r1", "orders", limitingReplica(&limit))
	for _, value := range []string{"1000000.5", "1000000.5", "abc", "2000000", ""} {
		limit.Store(&value)
		if value == "" {
			limit.Store(nil)
		}
		require.Equal(t, "ok", h.call(http.MethodGet, "/safe/", "", nil).body)
	}
	begun := h.logLines("replica limits its requests")
	require.Len(t, begun, 2)
	require.Equal(t, fleet.ReplicaID("r1"), begun[0].Data["replica"])
	require.InDelta(t, 1000000.5, begun[0].Data["requests_per_s"], 0)
	require.Equal(t, dispatch.LimitFromResponse, begun[0].Data["source"])
	require.EqualValues(t, "id-1", begun[0].Data["request_id"])
	require.InDelta(t, 2000000, begun[1].Data["requests_per_s"], 0)
	require.Len(t, h.logLines("replica states a malformed request limit"), 1)
	ended := h.logLines("replica limits its requests no more")
	require.Len(t, ended, 1)
	require.Equal(t, 4, ended[0].Data["chosen"])
}

// TestReplicaGetsNoMoreRequestsThanItsLimit guards against requests beyond the limit that a replica has stated in its responses, and
// against callers that wait for a replica that takes nothing more.
func TestReplicaGetsNoMoreRequestsThanItsLimit(t *testing.T) {
	h := newHarness(t, safeRoute())
	var limit atomic.Pointer[string]
	value := "0.5"
	limit.Store(&value)
	h.startReplica("r1", "orders", limitingReplica(&limit))
	began := time.Now()
	for range 40 {
		if got := h.call(http.MethodGet, "/safe/", "", nil); got.status != http.StatusOK {
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.NotEmpty(t, got.header.Get("Retry-After"))
		}
	}
	require.LessOrEqual(t, float64(len(h.received())), 0.5*1.5*time.Since(began).Seconds()+5)
}

// TestRequestBeyondALimitIsRefusedAtOnce guards against callers that wait for a replica whose limit leaves this host nothing within the
// time for which a request waits.
func TestRequestBeyondALimitIsRefusedAtOnce(t *testing.T) {
	const hosts = 1_000_000
	route := safeRoute()
	route.Objective, route.Timeout = 2*time.Minute, time.Hour
	h := newHarnessWith(t, func(cfg *ingress.Config) {
		cfg.CapacityWaitShare = 0.5
		cfg.Dispatch.DefaultSenders = hosts
	}, route)
	var limit atomic.Pointer[string]
	value := "1"
	limit.Store(&value)
	h.startReplica("r1", "orders", limitingReplica(&limit))
	patient := func(header http.Header) { header.Set(names.Deadline, "100000") }
	require.Equal(t, http.StatusOK, h.call(http.MethodGet, "/safe/", "", patient).status)
	// A request that waits fails by this timeout.
	h.frontend.Client().Timeout = 30 * time.Second
	got := h.call(http.MethodGet, "/safe/", "", patient)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Contains(t, got.body, "limit their requests")
}
