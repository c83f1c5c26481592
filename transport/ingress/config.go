// Package ingress serves callers on routes of the fleet: it checks a request against the configuration in force, sends it
// to a replica and passes the answer on, or refuses it with a reason.
package ingress

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/retry"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/backend"
)

// Config holds the settings of a Handler.
type Config struct {
	Dispatch dispatch.Config
	Retry    retry.Config
	// CapacityWaitShare is the share of a request's latency objective for which it waits for room at a replica.
	CapacityWaitShare float64
	// CapacityPollInterval is the time between two looks for room.
	CapacityPollInterval time.Duration
	// MaxKeyAge is the age of the configuration up to which API keys are taken from it; 0 means that age does not matter.
	MaxKeyAge time.Duration
	// MaxReadyAge is the age of the configuration up to which the host says that it is ready; 0 means that age does not matter.
	MaxReadyAge time.Duration
	// OldVersionGrace is the time after which only replicas with the newest version of a model get its requests; 0 means never.
	OldVersionGrace time.Duration
	// OldVersionIdleOnlyAfter is the time after which a replica with an older version gets only requests that it begins on at once.
	OldVersionIdleOnlyAfter time.Duration
	// OldVersionCancelAfter is the time after the naming of a version up to which a request may begin on an older one; one that still
	// waits at the replica then is taken back. 0 means that there is no bound.
	OldVersionCancelAfter time.Duration
	// FirstEventFactor is the number of latency objectives after which a stream without an event is tried elsewhere.
	FirstEventFactor float64
	// FirstEventMinTimeout is the least time after which a stream without an event is tried elsewhere.
	FirstEventMinTimeout time.Duration
	// SafeTimeoutShare is the share of the time left after which a safe request without an answer is tried elsewhere.
	SafeTimeoutShare float64
	// UnsafeMaxIdle is the idle time after which a connection is not reused for a request that must not be repeated.
	UnsafeMaxIdle time.Duration
	// MaxResponseBytes bounds an answer that is held until it is whole.
	MaxResponseBytes int64
	// RetryAfterMin and RetryAfterMax bound the time after which a refused caller may come back.
	RetryAfterMin time.Duration
	RetryAfterMax time.Duration
	// RetryAfterShare is the share of the caller's remaining time that RetryAfter may take.
	RetryAfterShare float64
}

// DefaultConfig returns the settings used unless others are given.
func DefaultConfig() Config {
	return Config{
		Dispatch: dispatch.DefaultConfig(),
		Retry: retry.Config{
			BudgetRatio: 0.15,
			BudgetBurst: 8,
		},
		CapacityWaitShare:    0.12,
		CapacityPollInterval: 10 * time.Millisecond,
		FirstEventFactor:     3,
		FirstEventMinTimeout: 1200 * time.Millisecond,
		SafeTimeoutShare:     0.5,
		UnsafeMaxIdle:        time.Second,
		MaxResponseBytes:     8 << 20,
		RetryAfterMin:        50 * time.Millisecond,
		RetryAfterMax:        time.Second,
		RetryAfterShare:      0.25,
	}
}

// Parts are the parts that a Handler works with.
type Parts struct {
	Config  Config
	Headers headers.Names
	// View returns the current view of the fleet, or nil while there is none; Age tells how long ago the store confirmed it.
	View func() *fleet.View
	Age  func() time.Duration
	// Leaving reports whether the process is shutting down.
	Leaving func() bool
	// RetryAfter formats the value of the Retry-After header.
	RetryAfter func(time.Duration) string
	Pool       *backend.Pool
	Now        func() time.Time
	Log        *logrus.Entry
}
