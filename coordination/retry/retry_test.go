package retry_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/retry"
	"github.com/guavatrestle/guavatrestle/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// attemptCounts is the oracle: it counts how often a call was run and sent, and the responses whose bytes reached the caller.
type attemptCounts struct {
	ran, sent, responded int
}

// TestNonRepeatableCallNeverRunsTwice guards against running a call that is not repeatable twice, and against sending one
// without an idempotency key twice.
func TestNonRepeatableCallNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		call := retry.Call{Repeatable: rapid.Bool().Draw(t, "repeatable"), Claimed: rapid.Bool().Draw(t, "claimed")}
		var counts attemptCounts
		for range 6 {
			failure, ended := counts.attempt(t)
			if ended || !retry.Allowed(call, failure) {
				break
			}
		}
		if !call.Repeatable {
			require.LessOrEqual(t, counts.ran, 1, "call ran more than once")
		}
		if !call.Repeatable && !call.Claimed {
			require.LessOrEqual(t, counts.sent, 1, "call without a key was sent more than once")
		}
		require.LessOrEqual(t, counts.responded, 1, "caller got bytes of more than one response")
	})
}

func (c *attemptCounts) attempt(t *rapid.T) (retry.Failure, bool) {
	switch rapid.SampledFrom([]string{"no connection", "refused", "lost before", "lost after", "cut", "whole"}).Draw(t, "end") {
	case "no connection":
		return retry.Failure{NotRun: true}, false
	case "refused":
		c.sent++
		return retry.Failure{Sent: true, NotRun: true}, false
	case "lost before":
		c.sent++
		return retry.Failure{Sent: true}, false
	case "lost after":
		c.sent++
		c.ran++
		return retry.Failure{Sent: true}, false
	case "cut":
		c.sent++
		c.ran++
		c.responded++
		return retry.Failure{Sent: true, ResponseStarted: true}, false
	default:
		c.sent++
		c.ran++
		c.responded++
		return retry.Failure{}, true
	}
}

// TestBudgetBoundsRetries guards against retries that multiply the load while all requests fail.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := retry.DefaultConfig()
		cfg.BudgetRatio = rapid.Float64Range(0, 1).Draw(t, "ratio")
		cfg.BudgetBurst = float64(rapid.IntRange(1, 20).Draw(t, "burst"))
		budget := retry.NewBudget(cfg)
		requests, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) { requests++; budget.AddRequest() },
			"retry": func(*rapid.T) {
				if budget.TakeRetry() {
					retries++
				}
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, float64(retries), cfg.BudgetBurst+cfg.BudgetRatio*float64(requests)+1e-6)
			},
		})
	})
}

// TestBackoffStaysWithinBounds guards against a backoff of zero, which synchronizes retries, and against one above the maximum.
func TestBackoffStaysWithinBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	cfg := retry.DefaultConfig()
	for n := range 100 {
		backoff := retry.Backoff(cfg, n, random)
		require.Positive(t, backoff)
		require.LessOrEqual(t, backoff, cfg.BackoffMax)
	}
}
