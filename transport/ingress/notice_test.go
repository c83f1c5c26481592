package ingress_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// TestReplicaThatSaysItIsLeavingGetsNoFurtherRequests guards against requests to a replica that has announced in a response that
// it leaves, while the store still lists it as ready.
func TestReplicaThatSaysItIsLeavingGetsNoFurtherRequests(t *testing.T) {
	h := newHarness(t, safeRoute())
	h.startReplica("r1", "orders", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.Leaving, "1")
		respondStamped("last")(w, r)
	})
	require.Equal(t, "last", h.call(http.MethodGet, "/safe/", "", nil).body)
	got := h.call(http.MethodGet, "/safe/", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Len(t, h.received(), 1)

	h.startReplica("r2", "orders", respondStamped("next"))
	require.Equal(t, "next", h.call(http.MethodGet, "/safe/", "", nil).body)
}

// TestReplicaIsNotAskedBeforeItsRetryAfter guards against requests to a replica that has asked for a pause, and against callers that
// are told to come back before any replica takes requests.
func TestReplicaIsNotAskedBeforeItsRetryAfter(t *testing.T) {
	h := newHarness(t, safeRoute())
	h.startReplica("r1", "orders", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.NotRun, "1")
		w.Header().Set("Retry-After", "7.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	require.Equal(t, http.StatusServiceUnavailable, h.call(http.MethodGet, "/safe/", "", nil).status)
	got := h.call(http.MethodGet, "/safe/", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Len(t, h.received(), 1)
	wait, err := time.ParseDuration(got.header.Get("Retry-After"))
	require.NoError(t, err)
	require.InDelta(t, 7.5, wait.Seconds(), 2)
}

// TestKeyThatRanOutIsNotUsedForTheNextAttempt guards against a process that acts on an API key whose confirmation ran out between
// two attempts, as after a pause.
func TestKeyThatRanOutIsNotUsedForTheNextAttempt(t *testing.T) {
	h := newHarness(t, safeRoute())
	for _, id := range []fleet.ReplicaID{"r1", "r2"} {
		h.startReplica(id, "orders", func(w http.ResponseWriter, r *http.Request) {
			h.age.Store(int64(10 * time.Second))
			resetConnection(w, r)
		})
	}
	require.Equal(t, http.StatusBadGateway, h.call(http.MethodGet, "/safe/", "", nil).status)
	require.Len(t, h.received(), 1)
}

// TestResponseWithoutTheRequestsIDIsNotDelivered guards against passing on the response to another request.
func TestResponseWithoutTheRequestsIDIsNotDelivered(t *testing.T) {
	h := newHarness(t, unsafeRoute())
	h.startReplica("r1", "orders", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Del(names.RequestID)
		respondStamped("of another")(w, r)
	})
	require.Equal(t, http.StatusBadGateway, h.call(http.MethodPost, "/unsafe/", "x", nil).status)
}

// TestBodyWithoutEndIsCutOff guards against memory that grows with a response without end, of any status.
func TestBodyWithoutEndIsCutOff(t *testing.T) {
	for name, status := range map[string]int{"success": http.StatusOK, "refusal": http.StatusServiceUnavailable} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, unsafeRoute())
			var sent atomic.Int64
			ended := make(chan struct{})
			h.startReplica("r1", "orders", func(w http.ResponseWriter, _ *http.Request) {
				defer close(ended)
				w.Header().Set(names.Stamp, "s")
				if status != http.StatusOK {
					w.Header().Set(names.NotRun, "1")
				}
				w.WriteHeader(status)
				block := strings.Repeat("x", 64<<10)
				for {
					n, err := io.WriteString(w, block)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			got := h.call(http.MethodPost, "/unsafe/", "x", nil)
			require.GreaterOrEqual(t, got.status, http.StatusBadGateway)
			<-ended
			require.Less(t, sent.Load(), int64(64<<20))
		})
	}
}
