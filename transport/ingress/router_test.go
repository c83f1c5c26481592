package ingress

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
)

// TestHostsShareTheBurstOfRetries guards against retry budgets that are each within bounds but not together: 52 hosts with a burst of 8
// may send 416 retries at once, and the platform allows 270.
func TestHostsShareTheBurstOfRetries(t *testing.T) {
	cfg := DefaultConfig()
	cfg.RetryBurstTotal = 150
	retries := func(hosts int) int {
		router := NewRouter(cfg, rand.New(rand.NewPCG(1, 1)), time.Now)
		router.countRequest("llm", 0)
		router.RecordLoad("r1", dispatch.Report{Senders: hosts})
		count := 0
		for router.takeRetry("llm") {
			count++
		}
		return count
	}
	require.Equal(t, 8, retries(12))
	require.Equal(t, 2, retries(52))
	require.Equal(t, 1, retries(2500))
	cfg.RetryBurstTotal = 0
	require.Equal(t, 1, retries(12), "no burst is not the same as no bound")
	cfg.RetryBurstTotal = DefaultConfig().RetryBurstTotal
	require.Equal(t, 8, retries(2500))
}
