// Package retry decides whether a failed attempt may be retried, and bounds the number of retries.
package retry

import (
	"math/rand/v2"
	"time"
)

// Config holds the retry settings.
type Config struct {
	// MaxAttempts bounds the attempts of one request, including the first.
	MaxAttempts int `yaml:"max_attempts"`
	// BudgetRatio is the number of retries that each request adds to the budget. It bounds the share of retries in the
	// long run.
	BudgetRatio float64 `yaml:"budget_ratio"`
	// BudgetBurst is the capacity of the budget. Higher values allow more retries in a short outage.
	BudgetBurst float64 `yaml:"budget_burst"`
	// BackoffBase is the upper bound of the random backoff before the first retry. It doubles with each further retry.
	BackoffBase time.Duration `yaml:"backoff_base"`
	// BackoffMax is the upper bound of the backoff before any retry.
	BackoffMax time.Duration `yaml:"backoff_max"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		MaxAttempts: 4,
		BudgetRatio: 0.2,
		BudgetBurst: 20,
		BackoffBase: 10 * time.Millisecond,
		BackoffMax:  200 * time.Millisecond,
	}
}

// Call holds the properties of a call that determine whether it may be retried.
type Call struct {
	// Repeatable is true if running the call twice is harmless.
	Repeatable bool
	// Claimed is true if an idempotency key has been claimed for the call.
	Claimed bool
}

// Failure describes how an attempt failed.
type Failure struct {
	// Sent is true if a byte of the request may have left the entry.
	Sent bool
	// NotRun is true if the call certainly did not run.
	NotRun bool
	// ResponseStarted is true if a byte of the response has been sent to the caller.
	ResponseStarted bool
}

// Allowed reports whether a call may be retried after a failure.
//
// A call that is neither repeatable nor claimed is never sent twice: it is retried only if no byte of it left the entry.
func Allowed(call Call, failure Failure) bool {
	switch {
	case failure.ResponseStarted:
		return false
	case !failure.Sent:
		return true
	case call.Repeatable:
		return true
	default:
		return call.Claimed && failure.NotRun
	}
}

// Budget is a token bucket that bounds retries to a share of the requests, so that failures do not multiply the load.
//
// Budget is not safe for concurrent use.
type Budget struct {
	cfg    Config
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(cfg Config) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.BudgetBurst}
}

// SetBurst changes the capacity of the budget. What it holds beyond a smaller one is lost.
func (b *Budget) SetBurst(burst float64) {
	b.cfg.BudgetBurst = burst
	b.tokens = min(b.tokens, burst)
}

// AddRequest adds BudgetRatio retries to the budget for one new request.
func (b *Budget) AddRequest() {
	b.tokens = min(b.tokens+b.cfg.BudgetRatio, b.cfg.BudgetBurst)
}

// TakeRetry subtracts one retry from the budget. It reports false if none is left.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the time to wait before retry number n, counted from 0. It is drawn uniformly from (0, bound], where bound
// is BackoffBase doubled n times but at most BackoffMax.
func Backoff(cfg Config, n int, random *rand.Rand) time.Duration {
	bound := cfg.BackoffBase
	for range n {
		bound = min(2*bound, cfg.BackoffMax)
	}
	bound = min(bound, cfg.BackoffMax)
	if bound <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(bound))) + 1
}
