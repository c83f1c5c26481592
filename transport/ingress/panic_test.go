package ingress_test

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/api"
)

// TestPanicEndsOnlyItsRequest guards against a panic in the handling of one request whose caller gets no answer, or which keeps the slot
// of its replica or a lock, so that later requests find no capacity or wait for ever.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	const panics = 20
	h := newHarness(t, unsafeRoute())
	h.startReplica("r1", "orders", respondStamped("whole"))
	before := expvar.Get("ingress_panics").(*expvar.Int).Value()
	for range panics {
		var calls atomic.Int64
		// The second call is made right before the request is sent, after its replica was chosen.
		onAge := func() {
			if calls.Add(1) == 2 {
				panic("injected by the test")
			}
		}
		h.onAge.Store(&onAge)
		got := h.call(http.MethodPost, "/unsafe/", "x", nil)
		require.Equal(t, http.StatusBadGateway, got.status)
		var refusal api.Refusal
		require.NoError(t, json.Unmarshal([]byte(got.body), &refusal))
		require.Equal(t, api.RunUnknown, refusal.Run)
	}
	h.onAge.Store(nil)
	require.EqualValues(t, panics, expvar.Get("ingress_panics").(*expvar.Int).Value()-before)
	for _, state := range h.router.State() {
		require.Zero(t, state.InFlight, "the slot of the replica was not released")
	}
	require.Equal(t, "whole", h.call(http.MethodPost, "/unsafe/", "x", nil).body)
}
