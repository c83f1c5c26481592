package e2e_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/protocol/api"
)

// TestOverloadRefusalIsTrueAndSaysWhenToComeBack guards against refusals that say not_run of a request that ran, and
// against refusals without Retry-After where asking again makes sense.
func TestOverloadRefusalIsTrueAndSaysWhenToComeBack(t *testing.T) {
	const callers, wanted, queued = 40, 200, 2
	w := newWorld(t, worldSpec{entries: 2, agents: 1, engine: defaultEngine(), queueLength: queued})
	refused := collectRefusals(w, callers, wanted)
	require.NotEmpty(t, refused)
	runs := w.agents[0].Engine.RunsByRequest()
	for _, out := range refused {
		require.Contains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, out.Status, out.Detail)
		require.NotEmpty(t, out.RetryAfter, out.Detail)
		require.NotEmpty(t, out.Refusal.RequestID, out.Detail)
		require.Equal(t, api.RunNotRun, out.Refusal.Run)
		require.Zero(t, runs[out.Refusal.RequestID], out.Detail)
	}
	requireNoOverload(t, w.agents)
}

// collectRefusals sends requests from many callers until enough succeeded, and returns the refusals.
func collectRefusals(w *world, callers, wanted int) []caller.Outcome {
	var mu sync.Mutex
	var refused []caller.Outcome
	succeeded := 0
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for w.ctx.Err() == nil {
				out := w.caller.Do(w.ctx, w.stream(w.entries[i%len(w.entries)].URL()))
				mu.Lock()
				if out.Kind == caller.Refused {
					refused = append(refused, out)
				}
				if out.Kind == caller.Succeeded {
					succeeded++
				}
				done := succeeded >= wanted
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
