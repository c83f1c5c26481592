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

// slowGuard ends a try without an answer when another replica has room for the request. A try ends either by its answer or
// by the guard, never by both.
type slowGuard struct {
	call   *call
	timer  *time.Timer
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	settled bool
	// next is the replica chosen instead.
	next *dispatch.Choice
}

// guardSlow returns the guard of a try; it does nothing for a request that may not be sent elsewhere.
func (c *call) guardSlow(choice dispatch.Choice, cancel context.CancelCauseFunc) *slowGuard {
	g := &slowGuard{call: c, cancel: cancel}
	if !c.route.Repeatable() || c.stream.started || c.sends+1 >= c.route.Attempts {
		return g
	}
	exclude := append([]fleet.ReplicaID{choice.ID}, c.tried...)
	g.timer = time.AfterFunc(c.patience(), func() { g.fire(exclude) })
	return g
}

// patience is the time that a try has for its first event or its answer.
func (c *call) patience() time.Duration {
	if c.route.Kind == fleet.KindStreaming {
		return max(time.Duration(float64(c.route.Objective)*c.h.Config.FirstEvent), c.h.Config.FirstEventMin)
	}
	return time.Duration(float64(c.deadline.Sub(c.h.Now())) * c.h.Config.SafeShare)
}

func (g *slowGuard) fire(exclude []fleet.ReplicaID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.settled {
		return
	}
	request := g.call.request()
	request.Exclude = exclude
	next, verdict := g.call.h.router.pick(request)
	if verdict != dispatch.VerdictChosen {
		return
	}
	g.next = &next
	g.cancel(errSlow)
}

// settle says that the answer has begun. It returns false when the try has been given up.
func (g *slowGuard) settle() bool {
	if g.timer != nil {
		g.timer.Stop()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settled = true
	return g.next == nil
}

// close ends the guard and returns the replica chosen instead, if there is one.
func (g *slowGuard) close() *dispatch.Choice {
	g.settle()
	return g.next
}
