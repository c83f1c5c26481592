package ingress

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// stallCheckInterval is the time between two checks of an attempt that makes no progress but can't be moved yet.
const stallCheckInterval = 200 * time.Millisecond

// errSlow is the cause of canceling an attempt in favor of another replica.
var errSlow = errors.New("no progress in time; trying another replica")

// attemptGuard cancels an attempt that makes no progress if another replica has capacity for the request, or one without a
// response if the replica's model version may not be used for new requests any more. Either the response ends the attempt or
// the guard does, never both.
type attemptGuard struct {
	call   *call
	choice dispatch.Choice
	cancel context.CancelCauseFunc
	// exclude lists the replicas that the request may not be moved to.
	exclude []fleet.ReplicaID
	// stallTimer runs until the next check of the progress, outdatedTimer until the replica's version is outdated; nil means
	// never.
	stallTimer    *time.Timer
	outdatedTimer *time.Timer

	mu sync.Mutex
	// responding is true once the first event of a stream has arrived, disarmed once the guard may not cancel any more.
	responding bool
	disarmed   bool
	// pausedAt is the time since which something is sent to the caller, zero for none: what the replica sends is not read then.
	pausedAt time.Time
	// lastProgress is the time of the last event, or the start of the attempt.
	lastProgress time.Time
	// cause is the reason for which the guard canceled the attempt, replacement the replica chosen instead.
	cause       error
	replacement *dispatch.Choice
}

// guardAttempt returns the guard of an attempt. Only a request that may be repeated is moved away from a slow replica.
func (c *call) guardAttempt(choice dispatch.Choice, cancel context.CancelCauseFunc) *attemptGuard {
	g := &attemptGuard{call: c, choice: choice, cancel: cancel, lastProgress: c.h.Now()}
	g.startVersionTimer()
	if !c.route.Repeatable() || c.attempts+1 >= c.route.Attempts || c.trial {
		return g
	}
	g.exclude = append([]fleet.ReplicaID{choice.ID}, c.tried...)
	g.mu.Lock()
	defer g.mu.Unlock()
	silent, _ := g.stallLimits()
	g.stallTimer = time.AfterFunc(silent, g.checkProgress)
	return g
}

// startVersionTimer starts the timer that cancels the attempt when the replica's version is outdated.
func (g *attemptGuard) startVersionTimer() {
	wait, ok := g.nextVersionCheck()
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outdatedTimer = time.AfterFunc(wait, g.cancelOutdated)
}

// nextVersionCheck returns the time until the replica's version may be outdated. A newer version may become wanted right after the attempt
// was sent, so one that may last for OldVersionCancelAfter is checked then. It returns false if the version stays allowed for longer than
// the attempt lasts.
func (g *attemptGuard) nextVersionCheck() (time.Duration, bool) {
	c := g.call
	if until, ok := c.versionDeadline(g.choice); ok {
		return until.Sub(c.h.Now()), true
	}
	after := c.h.Config.OldVersionCancelAfter
	return after, after > 0 && c.deadline.Sub(c.h.Now()) > after && c.dispatchRequest().Model != ""
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

// stallLimits returns the times without progress after which the request is moved: one for a replica from which nothing is heard
// and a longer one for a replica that still reports its load. The caller must hold the lock.
func (g *attemptGuard) stallLimits() (silent, slow time.Duration) {
	route, cfg := g.call.route, &g.call.h.Config
	slow = g.call.slowTimeout()
	if g.responding {
		slow = max(time.Duration(float64(route.GapObjective)*cfg.StallFactor), cfg.StallMinTimeout)
	}
	if route.Kind != fleet.KindStreaming {
		return slow, slow
	}
	return min(max(route.GapObjective, cfg.SilentTimeout), slow), slow
}

// checkProgress moves the request to a replica that is not in exclude if it has made no progress for too long and that replica has
// capacity. Otherwise the attempt continues and is checked again.
func (g *attemptGuard) checkProgress() {
	defer g.call.recoverTimer()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.disarmed || g.cause != nil {
		return
	}
	if !g.pausedAt.IsZero() {
		g.stallTimer.Reset(stallCheckInterval)
		return
	}
	idle := g.call.h.Now().Sub(g.lastProgress)
	silent, slow := g.stallLimits()
	switch {
	case idle < silent:
		g.stallTimer.Reset(silent - idle)
	case idle < slow && !g.call.h.router.silent(g.choice):
		g.stallTimer.Reset(min(slow-idle, stallCheckInterval))
	case !g.moveElsewhere():
		g.stallTimer.Reset(stallCheckInterval)
	}
}

// moveElsewhere cancels the attempt in favor of another replica if one has capacity and the retry budget allows it; the caller must
// hold the lock.
func (g *attemptGuard) moveElsewhere() bool {
	request := g.call.dispatchRequest()
	request.Exclude = g.exclude
	request.Moved = true
	next, ok := g.call.h.router.pickForRetry(request)
	if !ok {
		return false
	}
	g.replacement = &next
	g.cancelAttempt(errSlow)
	return true
}

// cancelOutdated cancels the attempt, unless the deadline of the version has moved; then it restarts the timer.
func (g *attemptGuard) cancelOutdated() {
	defer g.call.recoverTimer()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.disarmed || g.responding || g.cause != nil {
		return
	}
	remaining, ok := g.nextVersionCheck()
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

// begin records that the response has begun: the version is used, and from now on events count as progress. If the guard canceled
// the attempt before, it returns the cause.
func (g *attemptGuard) begin() error {
	if g.outdatedTimer != nil {
		g.outdatedTimer.Stop()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responding = true
	g.lastProgress = g.call.h.Now()
	return g.cause
}

// progress records that an event has arrived.
func (g *attemptGuard) progress() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastProgress = g.call.h.Now()
}

// pause stops the time without progress until resume.
func (g *attemptGuard) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pausedAt = g.call.h.Now()
}

func (g *attemptGuard) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastProgress = g.lastProgress.Add(g.call.h.Now().Sub(g.pausedAt))
	g.pausedAt = time.Time{}
}

// disarm stops the guard because the response is complete. If the guard canceled the attempt before, it returns the cause.
func (g *attemptGuard) disarm() error {
	for _, timer := range []*time.Timer{g.stallTimer, g.outdatedTimer} {
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
