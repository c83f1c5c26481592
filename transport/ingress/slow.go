package ingress

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// errSlow ends a try that is given up for another replica.
var errSlow = errors.New("no answer in time, trying another replica")

// slowGuard ends a try without an answer when another replica has room for the request, or when the replica's version may not
// be begun on any more. A try ends either by its answer or by the guard, never by both.
type slowGuard struct {
	call   *call
	choice dispatch.Choice
	cancel context.CancelCauseFunc
	// slow runs until the try may go elsewhere, outdated until the replica's version may not be begun on; nil means never.
	slow     *time.Timer
	outdated *time.Timer

	mu      sync.Mutex
	settled bool
	// cause is the reason for which the guard ended the try, next the replica chosen instead.
	cause error
	next  *dispatch.Choice
}

// guardSlow returns the guard of a try.
func (c *call) guardSlow(choice dispatch.Choice, cancel context.CancelCauseFunc) *slowGuard {
	g := &slowGuard{call: c, choice: choice, cancel: cancel}
	g.watchVersion()
	if !c.route.Repeatable() || c.stream.started || c.sends+1 >= c.route.Attempts {
		return g
	}
	exclude := append([]fleet.ReplicaID{choice.ID}, c.tried...)
	g.slow = time.AfterFunc(c.patience(), func() { g.fire(exclude) })
	return g
}

// watchVersion sets the timer of the replica's version.
func (g *slowGuard) watchVersion() {
	until, ok := g.call.beginUntil(g.choice)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outdated = time.AfterFunc(until.Sub(g.call.h.Now()), g.takeBack)
}

// beginUntil returns the time up to which a replica may begin on the request with the version that it has, if a newer one has
// been named.
func (c *call) beginUntil(choice dispatch.Choice) (time.Time, bool) {
	model := c.request().Model
	if model == "" || c.h.Config.OldVersionCancelAfter <= 0 {
		return time.Time{}, false
	}
	named, ok := c.h.View().Wanted[model].Pending(choice.Version)
	return named.Since.Add(c.h.Config.OldVersionCancelAfter), ok && !named.Since.IsZero()
}

// patience is the time that a try has for its first event or its answer.
func (c *call) patience() time.Duration {
	if c.route.Kind == fleet.KindStreaming {
		return max(time.Duration(float64(c.route.Objective)*c.h.Config.FirstEventFactor), c.h.Config.FirstEventMinTimeout)
	}
	return time.Duration(float64(c.deadline.Sub(c.h.Now())) * c.h.Config.SafeTimeoutShare)
}

func (g *slowGuard) fire(exclude []fleet.ReplicaID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.settled || g.cause != nil {
		return
	}
	request := g.call.request()
	request.Exclude = exclude
	next, verdict := g.call.h.router.pick(request)
	if verdict != dispatch.VerdictChosen {
		return
	}
	g.next = &next
	g.end(errSlow)
}

// takeBack ends the try unless the version has been given more time meanwhile.
func (g *slowGuard) takeBack() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.settled || g.cause != nil {
		return
	}
	until, ok := g.call.beginUntil(g.choice)
	left := until.Sub(g.call.h.Now())
	switch {
	case !ok:
	case left > 0:
		g.outdated.Reset(left)
	default:
		varTakenBack.Add(1)
		g.end(errOutdated)
	}
}

// end ends the try; the caller holds the lock.
func (g *slowGuard) end(cause error) {
	g.cause = cause
	g.cancel(cause)
}

// settle says that the answer has begun. It returns the reason for which the try has been given up, if it has.
func (g *slowGuard) settle() error {
	for _, timer := range []*time.Timer{g.slow, g.outdated} {
		if timer != nil {
			timer.Stop()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settled = true
	return g.cause
}

// close ends the guard and returns the replica chosen instead, if there is one.
func (g *slowGuard) close() *dispatch.Choice {
	_ = g.settle()
	return g.next
}
