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

// world is a fleet in which each try ends in a drawn way; it counts what really happened.
type world struct {
	ran, sent, answered int
}

// TestNonRepeatableCallNeverRunsTwice guards against a second run of a call that may not be repeated, and against a
// second send of one that has no key.
func TestNonRepeatableCallNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		call := retry.Call{Repeatable: rapid.Bool().Draw(t, "repeatable"), Claimed: rapid.Bool().Draw(t, "claimed")}
		var w world
		for range 6 {
			failure, ended := w.try(t)
			if ended || !retry.Allowed(call, failure) {
				break
			}
		}
		if !call.Repeatable {
			require.LessOrEqual(t, w.ran, 1, "call ran more than once")
		}
		if !call.Repeatable && !call.Claimed {
			require.LessOrEqual(t, w.sent, 1, "call without a key was sent more than once")
		}
		require.LessOrEqual(t, w.answered, 1, "caller got bytes of more than one response")
	})
}

func (w *world) try(t *rapid.T) (retry.Failure, bool) {
	switch rapid.SampledFrom([]string{"no connection", "refused", "lost before", "lost after", "cut", "whole"}).Draw(t, "end") {
	case "no connection":
		return retry.Failure{NotRun: true}, false
	case "refused":
		w.sent++
		return retry.Failure{Sent: true, NotRun: true}, false
	case "lost before":
		w.sent++
		return retry.Failure{Sent: true}, false
	case "lost after":
		w.sent++
		w.ran++
		return retry.Failure{Sent: true}, false
	case "cut":
		w.sent++
		w.ran++
		w.answered++
		return retry.Failure{Sent: true, ResponseStarted: true}, false
	default:
		w.sent++
		w.ran++
		w.answered++
		return retry.Failure{}, true
	}
}

// TestBudgetBoundsRetries guards against retries that multiply the load while everything fails.
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

// TestBackoffStaysWithinBounds guards against a pause of zero, which synchronises retries, and against one past the cap.
func TestBackoffStaysWithinBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	cfg := retry.DefaultConfig()
	for n := range 100 {
		pause := retry.Backoff(cfg, n, random)
		require.Positive(t, pause)
		require.LessOrEqual(t, pause, cfg.BackoffMax)
	}
}
