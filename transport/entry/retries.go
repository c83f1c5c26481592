package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/retry"
)

// retryBudget is a retry budget and backoff that is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	cfg    retry.Config
	budget *retry.Budget
	random *rand.Rand
}

func newRetryBudget(cfg retry.Config, random *rand.Rand) *retryBudget {
	return &retryBudget{cfg: cfg, budget: retry.NewBudget(cfg), random: random}
}

// addRequest adds the share of one request to the budget.
func (b *retryBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.AddRequest()
}

// takeRetry takes one retry from the budget and returns the backoff before retry n, or false if the budget is used up.
func (b *retryBudget) takeRetry(n int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.budget.TakeRetry() {
		return 0, false
	}
	return retry.Backoff(b.cfg, n, b.random), true
}
