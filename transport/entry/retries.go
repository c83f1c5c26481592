package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/retry"
)

// retryBudget holds the retry budget and the random source of its pauses for concurrent requests.
type retryBudget struct {
	mu     sync.Mutex
	cfg    retry.Config
	budget *retry.Budget
	random *rand.Rand
}

func newRetryBudget(cfg retry.Config, random *rand.Rand) *retryBudget {
	return &retryBudget{cfg: cfg, budget: retry.NewBudget(cfg), random: random}
}

// request adds a request's share to the budget.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.AddRequest()
}

// retry takes retry n from the budget and returns the pause before it.
func (b *retryBudget) retry(n int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.budget.TakeRetry() {
		return 0, false
	}
	return retry.Backoff(b.cfg, n, b.random), true
}
