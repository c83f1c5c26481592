package ingress_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// TestUnsafeRequestGoesWhereItIsInTime guards against a placement that doesn't know that a request may run only once, or its objective.
func TestUnsafeRequestGoesWhereItIsInTime(t *testing.T) {
	route := unsafeRoute()
	route.Objective = 150 * time.Millisecond
	safe := safeRoute()
	safe.Objective = route.Objective
	h := newHarness(t, route, safe)
	for _, id := range []fleet.ReplicaID{"r1", "r2"} {
		h.startReplica(id, "orders", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			respondStamped("ok")(w, r)
		})
	}
	require.Equal(t, "ok", h.call(http.MethodPost, "/unsafe/", "", nil).body)
	for path, id := range map[string]fleet.ReplicaID{"/unsafe/": "r2", "/safe/": "r1"} {
		h.router.RecordLoad("r1", dispatch.Report{Slots: 8, CurrentPace: 1.7})
		h.router.RecordLoad("r2", dispatch.Report{Running: 5, Slots: 8, CurrentPace: 1})
		require.Equal(t, "ok", h.call(http.MethodPost, path, "", nil).body)
		requests := h.received()
		require.Equal(t, id, requests[len(requests)-1].replica, path)
	}
}
