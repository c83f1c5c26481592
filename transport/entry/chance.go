package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/retry"
)

// chance holds the retry budget and the random source of its pauses for concurrent requests.
type chance struct {
	mu     sync.Mutex
	cfg    retry.Config
	budget *retry.Budget
	random *rand.Rand
}

func newChance(cfg retry.Config, random *rand.Rand) *chance {
	return &chance{cfg: cfg, budget: retry.NewBudget(cfg), random: random}
}

// request adds a request's share to the budget.
func (c *chance) request() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Request()
}

// retry takes retry n from the budget and returns the pause before it.
func (c *chance) retry(n int) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.budget.Retry() {
		return 0, false
	}
	return retry.Backoff(c.cfg, n, c.random), true
}
