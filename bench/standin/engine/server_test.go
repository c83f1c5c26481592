package engine_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/standin/engine"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const waitTimeout = 10 * time.Second

func load(t *testing.T, s *engine.Server, body []byte, token string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL()+"/engine/load", bytes.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Engine-Digest", "v1")
	request.Header.Set("Engine-Content", string(core.DigestOf(body)))
	request.Header.Set("Engine-Fencing-Token", token)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

func call(ctx context.Context, s *engine.Server) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL()+"/v1/completions", http.NoBody)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// TestColdEngineFailsAboveItsLimit guards against a stand-in that serves load above its cold limit or does not count it,
// which would hide overload from experiments.
func TestColdEngineFailsAboveItsLimit(t *testing.T) {
	s := engine.New(engine.Config{TokenDelay: time.Hour, ColdLimit: 1, WarmupCompletions: 1})
	defer s.Close()
	require.Equal(t, http.StatusOK, load(t, s, []byte("weights"), "1"))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _, _ = call(ctx, s) })
	require.Eventually(t, func() bool { return s.Status().InFlight == 1 }, waitTimeout, time.Millisecond)
	status, err := call(ctx, s)
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, status)
	require.Equal(t, 1, s.Counts().ColdOverload)
}

// TestRestartCutsRequestsAndStartsCold guards against requests, an in-flight count or a boot ID that outlives a restart.
func TestRestartCutsRequestsAndStartsCold(t *testing.T) {
	s := engine.New(engine.Config{TokenDelay: time.Hour, ColdLimit: 1, WarmupCompletions: 1, KeepsWeights: true})
	defer s.Close()
	require.Equal(t, http.StatusOK, load(t, s, []byte("weights"), "1"))
	before := s.Status().BootID
	failed := make(chan error, 1)
	go func() {
		_, err := call(t.Context(), s)
		failed <- err
	}()
	require.Eventually(t, func() bool { return s.Status().InFlight == 1 }, waitTimeout, time.Millisecond)
	s.Restart()
	require.Error(t, <-failed)
	require.NotEqual(t, before, s.Status().BootID)
	require.Zero(t, s.Status().InFlight)
	require.True(t, s.Status().Complete)
}

// TestMixedBytesAreCounted guards against a load order that mixes two versions and counts as a correct one.
func TestMixedBytesAreCounted(t *testing.T) {
	s := engine.New(engine.Config{ChecksFencing: true})
	defer s.Close()
	s.ExpectContent("v1", core.DigestOf([]byte("weights")))
	require.Equal(t, http.StatusOK, load(t, s, []byte("weights"), "2"))
	require.Zero(t, s.Counts().Mixed)
	require.Equal(t, http.StatusOK, load(t, s, []byte("other weights"), "2"))
	require.Equal(t, 1, s.Counts().Mixed)
	require.Equal(t, http.StatusConflict, load(t, s, []byte("weights"), "1"))
	require.Equal(t, 1, s.Counts().OldToken)
}

// TestStalledConnectionsHang guards against a stalled connection that still gets responses, or a new connection that gets
// none.
func TestStalledConnectionsHang(t *testing.T) {
	s := engine.New(engine.Config{})
	defer s.Close()
	require.Equal(t, http.StatusOK, load(t, s, []byte("weights"), "1"))
	s.StallConnections()
	shortCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := call(shortCtx, s)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	http.DefaultClient.CloseIdleConnections()
	status, err := call(t.Context(), s)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}
