package load_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/bench/caller"
	"github.com/guavatrestle/guavatrestle/bench/load"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRequestsCountFromTheirOwnDueTime guards against requests that get the due time of the next request, because they
// share a loop variable, which makes latencies too short.
func TestRequestsCountFromTheirOwnDueTime(t *testing.T) {
	const requests = 200
	early := make(chan bool, 100*requests)
	send := func(_ context.Context, n int, due time.Time) caller.Outcome {
		early <- due.After(time.Now())
		return caller.Outcome{Kind: caller.Succeeded}
	}
	runner := load.Start(t.Context(), load.Config{Rate: 2000, Seed: 1, Send: send}, "measure")
	for range requests {
		require.False(t, <-early, "a request was sent before it was due")
	}
	runner.Stop()
}
