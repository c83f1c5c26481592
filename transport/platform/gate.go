package platform

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
)

const (
	// breakerBaseDelay bounds the delay after the first failure, if the response has no Retry-After header.
	breakerBaseDelay = 200 * time.Millisecond
	// breakerMaxDelay bounds the delay after repeated failures, if the response has no Retry-After header. 2,500 processes
	// that each send one call in at most 20 s make about 125 to 250 calls a second, which the object API accepts.
	breakerMaxDelay = 20 * time.Second
	// maxDelayDoublings bounds the exponent of the delay so that the shift can't overflow.
	maxDelayDoublings = 10
)

// Counts of calls to the object API by operation and kind, exported at /debug/vars.
var (
	callCounts     = expvar.NewMap("object_api_calls")
	failureCounts  = expvar.NewMap("object_api_failures")
	heldBackCounts = expvar.NewMap("object_api_calls_held_back")
)

// circuitBreaker rejects the calls of a process for some time after the object API failed or limited the rate. The time
// grows exponentially with each failure. Once it is over, one call at a time is admitted as a probe until one succeeds.
type circuitBreaker struct {
	now        func() time.Time
	randInt64N func(n int64) int64

	mu        sync.Mutex
	failures  int
	openUntil time.Time
	// probing is true while a probe is in progress.
	probing bool
}

func newCircuitBreaker() *circuitBreaker {
	return &circuitBreaker{now: time.Now, randInt64N: rand.Int64N}
}

// do runs call and records its result, or returns an error without running it while calls are held back.
func (b *circuitBreaker) do(operation string, kind platform.Kind, call func() error) error {
	label := operation + " " + string(kind)
	if err := b.admit(); err != nil {
		heldBackCounts.Add(label, 1)
		return err
	}
	callCounts.Add(label, 1)
	err := call()
	if failed := b.recordResult(err); failed {
		failureCounts.Add(label, 1)
	}
	return err
}

func (b *circuitBreaker) admit() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		return nil
	}
	wait := b.openUntil.Sub(b.now())
	if wait <= 0 && !b.probing {
		b.probing = true
		return nil
	}
	e := protocol.Errorf(protocol.CodeUnavailable, "calls to the object API are held back after %d failures", b.failures)
	e.RetryAfter = max(wait, breakerBaseDelay)
	return e
}

// recordResult updates the breaker with the result of a call. It reports whether the result shows that the object API is
// unavailable or limits the rate.
func (b *circuitBreaker) recordResult(err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if errors.Is(err, context.Canceled) {
		return false
	}
	switch protocol.CodeOf(err) {
	case protocol.CodeUnavailable, protocol.CodeRateLimited:
		if b.now().Before(b.openUntil) {
			// The call started before the last failure, which is already counted.
			return true
		}
		maxDelay := min(breakerBaseDelay<<min(b.failures, maxDelayDoublings), breakerMaxDelay)
		b.failures++
		delay := maxDelay/2 + time.Duration(b.randInt64N(int64(maxDelay/2)))
		if requested := protocol.RetryAfterOf(err); requested > delay {
			delay = requested + time.Duration(b.randInt64N(int64(requested/2)+1))
		}
		b.openUntil = b.now().Add(delay)
		return true
	case protocol.CodeOutcomeUnknown:
		// The caller must read the object back at once to determine the outcome, so this result holds no calls back.
		return false
	default:
		b.failures = 0
		return false
	}
}
