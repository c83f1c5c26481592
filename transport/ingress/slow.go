package ingress

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// errSlow is the cause of canceling an attempt in favor of another replica.
var errSlow = errors.New("no response in time; trying another replica")

// attemptGuard cancels an attempt without a response if it takes too long and another replica has capacity for the
// request, or if the replica's model version may not be used for new requests any more. Either the response ends the
// attempt or the guard does, never both.
type attemptGuard struct {
	call   *call
	choice dispatch.Choice
	cancel context.CancelCauseFunc
	// slowTimer runs until another replica may be tried, outdatedTimer until the replica's version is outdated; nil means
	// never.
	slowTimer     *time.Timer
	outdatedTimer *time.Timer

	mu       sync.Mutex
	disarmed bool
	// cause is the reason for which the guard canceled the attempt, replacement the replica chosen instead.
	cause       error
	replacement *dispatch.Choice
}

// guardAttempt returns the guard of an attempt. Only a request that may be repeated is moved away from a slow replica.
func (c *call) guardAttempt(choice dispatch.Choice, cancel context.CancelCauseFunc) *attemptGuard {
	g := &attemptGuard{call: c, choice: choice, cancel: cancel}
	g.startVersionTimer()
	if !c.route.Repeatable() || c.stream.started || c.attempts+1 >= c.route.Attempts {
		return g
	}
	exclude := append([]fleet.ReplicaID{choice.ID}, c.tried...)
	g.slowTimer = time.AfterFunc(c.slowTimeout(), func() { g.replaceSlow(exclude) })
	return g
}

// startVersionTimer starts the timer that cancels the attempt when the replica's version is outdated.
func (g *attemptGuard) startVersionTimer() {
	until, ok := g.call.versionDeadline(g.choice)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outdatedTimer = time.AfterFunc(until.Sub(g.call.h.Now()), g.cancelOutdated)
}

// versionDeadline returns the time until which the chosen replica may start on the request with its version. It returns
// false if there is no newer target version or no limit.
func (c *call) versionDeadline(choice dispatch.Choice) (time.Time, bool) {
	model := c.dispatchRequest().Model
	if model == "" || c.h.Config.OldVersionCancelAfter <= 0 {
		return time.Time{}, false
	}
	pending, ok := c.h.View().Wanted[model].Pending(choice.Version)
	return pending.Since.Add(c.h.Config.OldVersionCancelAfter), ok && !pending.Since.IsZero()
}

// slowTimeout returns the time that an attempt has for its first event or its response.
func (c *call) slowTimeout() time.Duration {
	if c.route.Kind == fleet.KindStreaming {
		return max(time.Duration(float64(c.route.Objective)*c.h.Config.FirstEventFactor), c.h.Config.FirstEventMinTimeout)
	}
	return time.Duration(float64(c.deadline.Sub(c.h.Now())) * c.h.Config.SafeTimeoutShare)
}

// replaceSlow cancels the attempt if a replica that is not in exclude has capacity. Otherwise the attempt continues.
func (g *attemptGuard) replaceSlow(exclude []fleet.ReplicaID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.disarmed || g.cause != nil {
		return
	}
	request := g.call.dispatchRequest()
	request.Exclude = exclude
	next, verdict := g.call.h.router.pickReplica(request)
	if verdict != dispatch.VerdictChosen {
		return
	}
	g.replacement = &next
	g.cancelAttempt(errSlow)
}

// cancelOutdated cancels the attempt, unless the deadline of the version has moved; then it restarts the timer.
func (g *attemptGuard) cancelOutdated() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.disarmed || g.cause != nil {
		return
	}
	until, ok := g.call.versionDeadline(g.choice)
	remaining := until.Sub(g.call.h.Now())
	switch {
	case !ok:
	case remaining > 0:
		g.outdatedTimer.Reset(remaining)
	default:
		varOutdatedCanceled.Add(1)
		g.cancelAttempt(errOutdated)
	}
}

// cancelAttempt cancels the attempt; the caller must hold the lock.
func (g *attemptGuard) cancelAttempt(cause error) {
	g.cause = cause
	g.cancel(cause)
}

// disarm stops the guard because the response has begun. If the guard canceled the attempt before, it returns the cause.
func (g *attemptGuard) disarm() error {
	for _, timer := range []*time.Timer{g.slowTimer, g.outdatedTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.disarmed = true
	return g.cause
}

// close stops the guard and returns the replacement that it chose, or nil.
func (g *attemptGuard) close() *dispatch.Choice {
	_ = g.disarm()
	return g.replacement
}
