package ingress_test

import (
	"expvar"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
)

// lessUrgentRoute is a route of the upstream of streamRoute with another priority.
func lessUrgentRoute() fleet.Route {
	route := streamRoute()
	route.Name, route.PathPrefix, route.Priority = "draft", "/draft/", 2
	return route
}

// TestRequestWaitsInLineForASlot guards against a waiting request that misses a slot that becomes free, and against one that is held until
// its deadline, or refused without a reason in the log, if none does.
func TestRequestWaitsInLineForASlot(t *testing.T) {
	h := newHarnessWith(t, func(cfg *ingress.Config) { cfg.Dispatch.Overcommit = 0 }, streamRoute(), lessUrgentRoute())
	release := make(chan struct{})
	h.startReplica("r1", "llm", func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondStamped("ok")(w, r)
	})
	const slots = 8
	var callers sync.WaitGroup
	defer callers.Wait()
	end := sync.OnceFunc(func() { close(release) })
	defer end()
	for range slots {
		callers.Go(func() { h.call(http.MethodPost, "/draft/x", "body", nil) })
	}
	require.Eventually(t, func() bool { return len(h.received()) == slots }, 5*time.Second, time.Millisecond)

	served := make(chan callerResponse)
	go func() { served <- h.call(http.MethodPost, "/stream/x", "body", nil) }()
	waits := func() bool {
		waiting, _ := expvar.Get("ingress_waiting").(*expvar.Map).Get("0").(*expvar.Int)
		return waiting != nil && waiting.Value() > 0
	}
	require.Eventually(t, waits, 5*time.Second, time.Millisecond)
	release <- struct{}{}
	require.Eventually(t, func() bool { return len(h.received()) == slots+1 }, time.Second, time.Millisecond)
	require.Equal(t, "1", h.received()[slots].header.Get(names.Priority))

	refused := h.call(http.MethodPost, "/draft/x", "body", nil)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.Len(t, h.logLines("request refused"), 1)
	fields := h.logLines("request refused")[0].Data
	for _, name := range []string{"wait_reason", "rank", "work", "forecast_ms", "report_age_ms"} {
		require.Contains(t, fields, name)
	}
	require.Equal(t, 2, fields["rank"])
	require.Less(t, fields["after_ms"].(int64), int64(1500), "of 2 s")
	end()
	require.Equal(t, http.StatusOK, (<-served).status)
}
