package e2e_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/protocol/api"
)

// TestOverloadRefusalIsAccurateAndHasRetryAfter guards against refusals that state not_run although the request ran,
// and against overload refusals without Retry-After.
func TestOverloadRefusalIsAccurateAndHasRetryAfter(t *testing.T) {
	const callers, minSucceeded, queueLength = 40, 200, 2
	tc := newTestCluster(t, clusterSpec{entries: 2, agents: 1, engine: defaultEngine(), queueLength: queueLength})
	refused := collectRefusals(tc, callers, minSucceeded)
	require.NotEmpty(t, refused)
	runs := tc.agents[0].Engine.RunsByRequest()
	for _, out := range refused {
		require.Contains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, out.Status, out.Detail)
		require.NotEmpty(t, out.RetryAfter, out.Detail)
		require.NotEmpty(t, out.Refusal.RequestID, out.Detail)
		require.Equal(t, api.RunNotRun, out.Refusal.Run)
		require.Zero(t, runs[out.Refusal.RequestID], out.Detail)
	}
	requireNoOverload(t, tc.agents)
}

// collectRefusals sends requests from concurrent callers until minSucceeded have succeeded, and returns the refusals.
func collectRefusals(tc *testCluster, callers, minSucceeded int) []caller.Outcome {
	var mu sync.Mutex
	var refused []caller.Outcome
	succeeded := 0
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for tc.ctx.Err() == nil {
				out := tc.caller.Do(tc.ctx, tc.stream(tc.entries[i%len(tc.entries)].URL()))
				mu.Lock()
				if out.Kind == caller.Refused {
					refused = append(refused, out)
				}
				if out.Kind == caller.Succeeded {
					succeeded++
				}
				done := succeeded >= minSucceeded
				mu.Unlock()
				if done {
					return
				}
			}
		})
	}
	wg.Wait()
	return refused
}
