package ingress_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// TestRequestThatNoEngineCanHoldIsRefused guards against sending an engine a request on which it runs out of memory, and against refusing
// one that just fits or whose engine states no figures.
func TestRequestThatNoEngineCanHoldIsRefused(t *testing.T) {
	h := newHarness(t, streamRoute())
	h.startReplica("r1", "llm", respondStamped("x"))
	send := func(tokens string) callerResponse {
		return h.call(http.MethodPost, "/stream/", "x", func(header http.Header) { header.Set(names.TokenCounts, tokens) })
	}
	require.Equal(t, http.StatusOK, send("900,200").status, "no published figures")
	engine := &fleet.EngineSpec{Layers: 2, Performance: &fleet.EnginePerformance{CacheTokens: 1000}}
	configuration := *h.view.Load().Configuration
	configuration.Version++
	configuration.Upstreams = map[core.Upstream]fleet.UpstreamSpec{"llm": {Name: "llm", Engine: engine}}
	h.table.SetConfiguration(&configuration)
	h.publish()
	require.Equal(t, http.StatusOK, send("800,200").status)
	refused := send("801,200")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Contains(t, refused.body, api.CodeTooManyTokens)
	require.Contains(t, refused.body, `"not_run"`)
	require.Greater(t, refused.header.Get("Retry-After"), "1.5s", "it comes back after its deadline of 2 s")
	require.Len(t, h.received(), 2)
}

// TestCallerCannotChooseTheLayersOfAnEngine guards against passing on a header with which a caller chooses the layers that run.
func TestCallerCannotChooseTheLayersOfAnEngine(t *testing.T) {
	h := newHarness(t, streamRoute(), safeRoute())
	h.startReplica("r1", "llm", respondStamped("x"))
	h.startReplica("r2", "orders", respondStamped("x"))
	for _, path := range []string{"/stream/", "/safe/"} {
		h.call(http.MethodPost, path, "x", func(header http.Header) { header.Set(names.LayerPath, "0-1") })
	}
	require.Empty(t, h.received()[0].header.Get(names.LayerPath))
	require.Equal(t, "0-1", h.received()[1].header.Get(names.LayerPath), "a service is no engine")
}
