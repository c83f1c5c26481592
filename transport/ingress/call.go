package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport"
)

const (
	// maxUnsent bounds the replicas that a request is offered to without having been sent or taken as its own.
	maxUnsent = 4
	// minTimeLeft is the least time that another try needs.
	minTimeLeft = 15 * time.Millisecond
)

// call is one request of a caller.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	id       core.RequestID
	arrived  time.Time
	deadline time.Time
	view     *fleet.View
	route    *fleet.Route
	team     *fleet.Team
	target   string
	body     []byte
	hasBody  bool
	upstream core.Upstream

	// sends counts the replicas that the request was sent to, offers those that it did not reach or that were others.
	sends  int
	offers int
	tried  []fleet.ReplicaID
	// ran says that a replica may have run the request.
	ran bool
	// failed is a replica's own failure, passed on unless a later try does better.
	failed *answer
	// next is the replica chosen for the next try, when one was chosen before the last try ended.
	next   *dispatch.Choice
	stream stream
}

// end is how a try ended.
type end struct {
	outcome dispatch.Outcome
	// answered says that the caller has the whole answer, or is gone.
	answered bool
	// notRun says that the replica certainly did not run the request, unsent that no byte of it left.
	notRun bool
	unsent bool
	// answer is a whole answer of the replica that reports a failure.
	answer  *answer
	latency time.Duration
	err     error
}

// run tries replicas until the request is answered or nothing more may be tried.
func (c *call) run() {
	c.upstream = c.h.router.target(c.route)
	c.h.router.request(c.upstream)
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline.Sub(c.h.Now()))
	defer cancel()
	for {
		choice, err := c.pick(ctx)
		if err != nil {
			c.giveUp(err)
			return
		}
		last := c.try(ctx, choice)
		c.h.router.done(choice, last.outcome, last.latency)
		if last.answered {
			varServed.Add(1)
			c.release()
			return
		}
		c.note(choice, last)
		if last.answer != nil {
			c.failed = last.answer
		}
		if c.r.Context().Err() != nil {
			c.release()
			c.abandon()
			return
		}
		if !c.mayTryAgain(choice, last) {
			c.release()
			c.giveUp(c.failure(ctx, last))
			return
		}
		varRetries.Add(1)
	}
}

// release gives back a replica that was chosen for a next try that does not take place.
func (c *call) release() {
	if c.next != nil {
		c.h.router.done(*c.next, dispatch.OutcomeAbandoned, 0)
		c.next = nil
	}
}

// pick chooses a replica, and waits a little for room when all are full.
func (c *call) pick(ctx context.Context) (dispatch.Choice, *transport.Error) {
	if c.next != nil {
		choice := *c.next
		c.next = nil
		return choice, nil
	}
	hold := time.Duration(float64(c.route.Objective) * c.h.Config.CapacityWaitShare)
	until := c.h.Now().Add(hold)
	for {
		choice, verdict := c.h.router.pick(c.request())
		if verdict == dispatch.VerdictChosen {
			return choice, nil
		}
		if !c.h.Now().Before(until) || ctx.Err() != nil {
			return choice, c.noRoom(verdict)
		}
		select {
		case <-ctx.Done():
		case <-time.After(c.h.Config.CapacityPollInterval):
		}
	}
}

func (c *call) noRoom(verdict dispatch.Verdict) *transport.Error {
	if verdict == dispatch.VerdictNoCandidate {
		return transport.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.RunNotRun,
			"no replica of %s can serve the request", c.upstream)
	}
	return transport.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.RunNotRun,
		"all replicas of %s are full", c.upstream)
}

// request describes the request to the balancer.
func (c *call) request() dispatch.Request {
	request := dispatch.Request{
		Upstream:     c.upstream,
		RouteRegions: c.route.HomeRegions,
		TeamRegions:  homes(c.team),
		Exclude:      c.tried,
	}
	spec := c.view.Configuration.Upstreams[c.upstream]
	if spec.Engine == nil {
		return request
	}
	request.Model = core.Model(c.r.Header.Get(c.h.Headers.Model))
	request.Layers = spec.Engine.Layers
	if c.h.Config.OldVersionGrace > 0 {
		// The view at arrival may be older than the newest version, so the current one counts.
		wanted := c.h.View().Wanted[request.Model]
		request.MinVersion = wanted.Due(c.h.Now(), c.h.Config.OldVersionGrace)
		request.NextMinVersion = wanted.Due(c.h.Now(), c.h.Config.OldVersionIdleOnlyAfter)
	}
	return request
}

// mayTryAgain decides whether a failed try may be followed by another.
func (c *call) mayTryAgain(choice dispatch.Choice, last end) bool {
	if c.deadline.Sub(c.h.Now()) < minTimeLeft {
		return false
	}
	c.tried = append(c.tried, choice.ID)
	if last.unsent || last.outcome == dispatch.OutcomeMoved {
		c.offers++
		return c.offers < maxUnsent && (last.unsent || c.h.router.mayRetry(c.upstream))
	}
	if c.sends >= max(c.route.Attempts, 1) {
		return false
	}
	if !last.notRun && !c.route.Repeatable() {
		return false
	}
	return c.h.router.mayRetry(c.upstream)
}

// failure describes the end of a request that no replica answered.
func (c *call) failure(ctx context.Context, last end) *transport.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return transport.Errorf(http.StatusGatewayTimeout, api.CodeDeadlineExceeded, api.RunUnknown, "the deadline has passed")
	case c.ran:
		return transport.Errorf(http.StatusBadGateway, api.CodeUpstreamFailed, api.RunUnknown, "the replica failed: %v", last.err)
	case last.outcome == dispatch.OutcomeShed:
		return transport.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.RunNotRun, "the replica is full")
	default:
		return transport.Errorf(http.StatusServiceUnavailable, api.CodeUpstreamFailed, api.RunNotRun,
			"no replica could be reached: %v", last.err)
	}
}

// giveUp ends a request that is not answered. A replica's own failure is passed on as it is.
func (c *call) giveUp(err *transport.Error) {
	switch {
	case c.stream.started:
		varCut.Add(1)
		c.h.log.write("stream cut", c.fields(logrus.Fields{"reason": err.Error()}))
		panic(http.ErrAbortHandler)
	case c.failed != nil:
		c.failed.write(c)
	case c.ran && err.Run == api.RunNotRun:
		c.refuse(transport.Errorf(http.StatusBadGateway, api.CodeUpstreamFailed, api.RunUnknown,
			"an earlier try may have run, and %v", err))
	default:
		c.refuse(err)
	}
}

// refuse writes a refusal with the time after which the caller may come back.
func (c *call) refuse(err *transport.Error) {
	varRefused.Add(err.Code, 1)
	if err.Status == http.StatusServiceUnavailable || err.Status == http.StatusTooManyRequests {
		c.w.Header().Set("Retry-After", c.h.RetryAfter(c.retryAfter()))
	}
	c.h.log.write("request refused", c.fields(logrus.Fields{
		"status": err.Status, "code": err.Code, "run": err.Run, "reason": err.Error(), "view_age_ms": c.h.Age().Milliseconds(),
	}))
	transport.WriteError(c.w, c.id, err)
}

// retryAfter returns a jittered time within the caller's remaining time.
func (c *call) retryAfter() time.Duration {
	after := c.h.Config.RetryAfterMax
	if !c.deadline.IsZero() {
		left := float64(c.deadline.Sub(c.h.Now())) * c.h.Config.RetryAfterShare
		after = min(after, time.Duration(left))
	}
	return c.h.router.jitter(max(after, c.h.Config.RetryAfterMin))
}

// abandon ends a request whose caller is gone.
func (c *call) abandon() {
	varAbandoned.Add(1)
	if c.stream.started {
		panic(http.ErrAbortHandler)
	}
}

// note logs a try that did not answer the request.
func (c *call) note(choice dispatch.Choice, last end) {
	reason := ""
	if last.err != nil {
		reason = last.err.Error()
	}
	c.h.log.write("try failed", c.fields(logrus.Fields{
		"replica": choice.ID, "address": choice.Address, "load": choice.Load, "version": choice.Version,
		"outcome": last.outcome, "not_run": last.notRun, "sends": c.sends, "reason": reason,
	}))
}

func (c *call) fields(extra logrus.Fields) logrus.Fields {
	extra["request_id"] = c.id
	extra["after_ms"] = c.h.Now().Sub(c.arrived).Milliseconds()
	extra["upstream"] = c.upstream
	if c.route != nil {
		extra["route"] = c.route.Name
	}
	if c.view.Ready() {
		extra["configuration"] = c.view.Configuration.Version
	}
	return extra
}
