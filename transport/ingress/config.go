// Package ingress serves the routes of the fleet over HTTP. It checks a request against the current configuration, sends it
// to a replica and returns the response, or rejects the request with an error code and a reason.
package ingress

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/coordination/retry"
	"github.com/guavatrestle/guavatrestle/coordination/waiting"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/backend"
	"github.com/guavatrestle/guavatrestle/transport/held"
)

// Config holds the settings of a Handler.
type Config struct {
	Dispatch dispatch.Config
	Retry    retry.Config
	// Quarantine holds the settings of the quarantine of prompt parts.
	Quarantine quarantine.Config
	// Waiting bounds the requests that wait for a replica of an upstream whose routes have different priorities.
	Waiting waiting.Config
	// RetryBurstTotal bounds the bursts of the retry budgets of all hosts together; infinite means no bound. Each host has an equal part
	// of it, at most Retry.BudgetBurst and at least one retry.
	RetryBurstTotal float64
	// CapacityWaitShare is the part of the route's latency objective for which a request waits while every replica is full. A
	// larger one rejects fewer requests and lets more of them miss their objective.
	CapacityWaitShare float64
	// CapacityPollInterval is the time between two attempts to choose a replica during that wait.
	CapacityPollInterval time.Duration
	// RequireKeys rejects requests without a valid API key even if the configuration has never had a list of teams. Anonymous routes are
	// exempt.
	RequireKeys bool
	// MaxKeyAge is the age of the configuration beyond which its API keys are no longer accepted; 0 disables the check.
	MaxKeyAge time.Duration
	// MaxReadyAge is the age of the configuration beyond which the host reports itself not ready; 0 disables the check.
	MaxReadyAge time.Duration
	// OldVersionGrace is the time after a version became a model's target during which replicas with an older version
	// still get requests; 0 means without limit.
	OldVersionGrace time.Duration
	// OldVersionIdleOnlyAfter is the time after a version became the target from which a replica with an older version
	// gets a request only if it can start on it at once.
	OldVersionIdleOnlyAfter time.Duration
	// OldVersionCancelAfter is the time after a version became the target at which requests that still wait at a replica with
	// an older version are canceled there; 0 means never.
	OldVersionCancelAfter time.Duration
	// FirstEventFactor is the time to wait for the first event of a stream before another replica is tried, as a multiple
	// of the route's latency objective.
	FirstEventFactor float64
	// FirstEventMinTimeout is the lower bound of that time.
	FirstEventMinTimeout time.Duration
	// SilentTimeout is the time without an event after which a stream is moved away from a replica from which nothing is heard any
	// more; a longer gap objective takes its place.
	SilentTimeout time.Duration
	// StallFactor is the time without an event after which a stream that has begun is moved away from a replica that still reports
	// its load, as a multiple of the route's gap objective. StallMinTimeout is the lower bound of that time.
	StallFactor     float64
	StallMinTimeout time.Duration
	// SafeTimeoutShare is the part of the remaining time after which a safe request without a response is sent to another
	// replica.
	SafeTimeoutShare float64
	// UnsafeMaxIdle is the idle time beyond which a connection is not reused for a request that must not be repeated. A longer
	// value risks that the replica closes the connection as the request arrives, so that it is unknown whether it ran.
	UnsafeMaxIdle time.Duration
	// MaxResponseBytes bounds a response that is buffered before it is sent to the caller.
	MaxResponseBytes int64
	// MaxBufferedBytes bounds the memory of all responses that are buffered at a time.
	MaxBufferedBytes int64
	// SendTimeout is the time after which a write to a caller that makes no progress is given up, also if no other request needs the memory.
	SendTimeout time.Duration
	// RetryAfterMin and RetryAfterMax bound the Retry-After of a rejected request.
	RetryAfterMin time.Duration
	RetryAfterMax time.Duration
	// RetryAfterShare bounds the Retry-After to a part of the time that remains until the caller's deadline.
	RetryAfterShare float64
}

// DefaultConfig returns the default settings. The checks that depend on the age of the configuration or of a version are off.
func DefaultConfig() Config {
	return Config{
		Dispatch: dispatch.DefaultConfig(),
		Retry: retry.Config{
			BudgetRatio: 0.15,
			BudgetBurst: 8,
		},
		RetryBurstTotal:      math.Inf(1),
		Quarantine:           quarantine.DefaultConfig(),
		Waiting:              waiting.DefaultConfig(),
		CapacityWaitShare:    0.12,
		CapacityPollInterval: 10 * time.Millisecond,
		FirstEventFactor:     3,
		FirstEventMinTimeout: 1200 * time.Millisecond,
		SilentTimeout:        800 * time.Millisecond,
		StallFactor:          4,
		StallMinTimeout:      1600 * time.Millisecond,
		SafeTimeoutShare:     0.5,
		UnsafeMaxIdle:        time.Second,
		MaxResponseBytes:     8 << 20,
		MaxBufferedBytes:     32 << 20,
		// An interruption of a sound caller's link is shorter.
		SendTimeout:     8 * time.Second,
		RetryAfterMin:   50 * time.Millisecond,
		RetryAfterMax:   time.Second,
		RetryAfterShare: 0.25,
	}
}

// Dependencies holds the settings, view of the fleet, connection pool, clock and log that a Handler uses.
type Dependencies struct {
	Config  Config
	Headers headers.Names
	// Current returns the current view of the fleet, or nil before there is one, and the time since the store last confirmed its
	// configuration. The age of one view says nothing about the API keys of another.
	Current func() (*fleet.View, time.Duration)
	// Behind, if set, reports whether the host falls behind because of its processor, so that it should get no new callers for a moment.
	Behind func() bool
	// Leaving reports whether the process is shutting down.
	Leaving func() bool
	// StopsAt, if set, returns the time at which requests that have not ended are cut off, once the process takes no new connections;
	// zero before that.
	StopsAt func() time.Time
	// Closing, if set, is done when requests that have not ended must be answered at once, because the process is about to exit.
	Closing context.Context
	// RetryAfter formats a duration as the value of the Retry-After header.
	RetryAfter func(time.Duration) string
	Pool       *backend.Pool
	// Held is the account of held bytes; nil means one that limits only buffered responses.
	Held *held.Account
	// Quarantine keeps prompts on which replicas crash from them; nil means that all prompts are sent.
	Quarantine *Quarantine
	Now        func() time.Time
	Log        *logrus.Entry
}
