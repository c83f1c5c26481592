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
	// gateBase is the longest time that calls are held back after one failure.
	gateBase = 200 * time.Millisecond
	// gateCap is the longest time that calls are held back. 2,500 processes that each try once in at
	// most 20 s make about 125 to 250 calls a second, within the rates of the object API.
	gateCap = 20 * time.Second
	// maxDoublings bounds the growth before the cap applies.
	maxDoublings = 10
)

// Counts of calls to the object API by operation and kind, at /debug/vars.
var (
	callCounts    = expvar.NewMap("object_api_calls")
	failureCounts = expvar.NewMap("object_api_failures")
	refusalCounts = expvar.NewMap("object_api_calls_held_back")
)

// gate holds back the calls of a process after the object API failed or limited its rate, for a time
// that grows with each failure. After it, one call at a time tries again.
type gate struct {
	now    func() time.Time
	random func(n int64) int64

	mu       sync.Mutex
	failures int
	until    time.Time
	// trying says that the one call after a failure is under way.
	trying bool
}

func newGate() *gate { return &gate{now: time.Now, random: rand.Int64N} }

// do runs a call unless calls are held back, and learns from its result.
func (g *gate) do(operation string, kind platform.Kind, call func() error) error {
	label := operation + " " + string(kind)
	if err := g.enter(); err != nil {
		refusalCounts.Add(label, 1)
		return err
	}
	callCounts.Add(label, 1)
	err := call()
	if failed := g.leave(err); failed {
		failureCounts.Add(label, 1)
	}
	return err
}

func (g *gate) enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures == 0 {
		return nil
	}
	wait := g.until.Sub(g.now())
	if wait <= 0 && !g.trying {
		g.trying = true
		return nil
	}
	e := protocol.Errorf(protocol.CodeUnavailable, "calls to the object API are held back after %d failures", g.failures)
	e.RetryAfter = max(wait, gateBase)
	return e
}

// leave reports whether the result says that the object API is down or limits the rate.
func (g *gate) leave(err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trying = false
	if errors.Is(err, context.Canceled) {
		return false
	}
	switch protocol.CodeOf(err) {
	case protocol.CodeUnavailable, protocol.CodeRateLimited:
		if g.now().Before(g.until) {
			// A call that started before the last failure says nothing new.
			return true
		}
		longest := min(gateBase<<min(g.failures, maxDoublings), gateCap)
		g.failures++
		wait := longest/2 + time.Duration(g.random(int64(longest/2)))
		if asked := protocol.RetryAfterOf(err); asked > wait {
			wait = asked + time.Duration(g.random(int64(asked/2)+1))
		}
		g.until = g.now().Add(wait)
		return true
	case protocol.CodeOutcomeUnknown:
		// The write must be settled by a read at once, so it holds nothing back.
		return false
	default:
		g.failures = 0
		return false
	}
}
