// Package retry decides whether a failed try may be followed by another, and bounds how many are.
package retry

import (
	"math/rand/v2"
	"time"
)

// Config holds the settings of retries.
type Config struct {
	// MaxAttempts bounds the tries of one request.
	MaxAttempts int `yaml:"max_attempts"`
	// BudgetRatio is the number of retries that each request adds to the budget.
	BudgetRatio float64 `yaml:"budget_ratio"`
	// BudgetBurst bounds the retries saved up.
	BudgetBurst float64 `yaml:"budget_burst"`
	// BackoffBase bounds the pause before the first retry; each further retry doubles it.
	BackoffBase time.Duration `yaml:"backoff_base"`
	// BackoffMax bounds every pause.
	BackoffMax time.Duration `yaml:"backoff_max"`
}

// DefaultConfig returns the settings used unless others are given.
func DefaultConfig() Config {
	return Config{
		MaxAttempts: 4,
		BudgetRatio: 0.2,
		BudgetBurst: 20,
		BackoffBase: 10 * time.Millisecond,
		BackoffMax:  200 * time.Millisecond,
	}
}

// Call is what decides about the retries of a request.
type Call struct {
	// Repeatable says that running the call twice is harmless.
	Repeatable bool
	// Claimed says that an idempotency key is claimed for the call.
	Claimed bool
}

// Failure is how a try ended.
type Failure struct {
	// Sent says that a byte of the request may have left the entry.
	Sent bool
	// NotRun says that the call certainly did not run.
	NotRun bool
	// ResponseStarted says that a byte of the response went to the caller.
	ResponseStarted bool
}

// Allowed reports whether a call may be tried again after a failure.
//
// A call that is not repeatable and has no claim gets one try: nothing that left the entry is sent again.
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

// Budget bounds retries to a share of the requests, so that a fault does not multiply the load.
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

// AddRequest adds the share of one request to the budget.
func (b *Budget) AddRequest() {
	b.tokens = min(b.tokens+b.cfg.BudgetRatio, b.cfg.BudgetBurst)
}

// TakeRetry takes one retry from the budget, or reports that none is left.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the pause before retry number n, counted from 0, drawn evenly from (0, bound].
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
