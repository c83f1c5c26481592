package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport"
	"github.com/guavatrestle/guavatrestle/transport/held"
)

const (
	// maxUndelivered bounds the attempts of a request that reach no replica or reach another one at the chosen address.
	maxUndelivered = 4
	// minAttemptTime is the least remaining time with which another attempt is made.
	minAttemptTime = 15 * time.Millisecond
)

// errClosing is the cause of canceling an attempt because the process is about to exit.
var errClosing = errors.New("the process is about to exit")

// call is the state of one request of a caller.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	id       core.RequestID
	arrived  time.Time
	deadline time.Time
	// view is the view at the arrival of the request, viewAge the age of its configuration then.
	view     *fleet.View
	viewAge  time.Duration
	route    *fleet.Route
	team     *fleet.Team
	target   string
	body     []byte
	hasBody  bool
	upstream core.Upstream
	// promptParts lists the parts of the prompt; the last one belongs to this request or its session. sharedParts are the others.
	promptParts []string
	sharedParts []quarantine.Part
	// trial is true if a part was in quarantine and the request is sent to find out whether it is sound.
	trial bool
	// elapsed is the time for which the caller has probably been trying before; late is true if it exceeds the latency objective.
	elapsed time.Duration
	late    bool
	// refusedWait is set if the request is refused because it may not wait for a replica any longer, waited once it has been queued.
	refusedWait *waitResult
	waited      bool
	// sentLate is true if the objective was lost when the present attempt's replica was chosen.
	sentLate bool

	// attempts is the number of attempts charged against the limit of the route. undelivered is the number of attempts that
	// reached no replica, or another replica than the chosen one; they are not charged.
	attempts    int
	undelivered int
	tried       []fleet.ReplicaID
	// mayHaveRun reports whether a replica may have run the request.
	mayHaveRun bool
	// errorResponse is the last error response of a replica; it goes to the caller unless a later attempt succeeds.
	errorResponse *bufferedResponse
	// nextChoice is the replica for the next attempt, if the guard chose one before the last attempt ended.
	nextChoice *dispatch.Choice
	stream     streamState
	// stage is how far the response of the current attempt has come.
	stage responseStage
	// responding is set once a part of the response may have been sent to the caller.
	responding bool
	// held counts the memory of the request, buffer that of buffered responses and events that of unfinished events.
	held           *held.Request
	buffer, events responseBuffer
	// sendUntil is the write deadline of the caller's connection, longestSend the longest write of the current attempt, and sendErr the error
	// of the last write that failed.
	sendUntil   time.Time
	longestSend time.Duration
	sendErr     error
	// heldUntil is the time at which a replica takes requests again, set if the request is refused because none does now.
	heldUntil time.Time
	// outcome is set once the request has ended, refusalCode together with outcomeRefused.
	outcome     outcome
	refusalCode string
	// responseLatency is the time from the arrival to the complete response, or to the first event of a stream.
	responseLatency time.Duration
}

// responseStage is how far the response of an attempt had come.
type responseStage string

// Stages of a response, in order.
const (
	// stageNone is before the head of the response.
	stageNone responseStage = "none"
	// stageHead is after the head and, in a stream, before the first event.
	stageHead responseStage = "head"
	// stageEvents is after the first event of a stream.
	stageEvents responseStage = "events"
	// stageSound is after the replica has survived the prompt.
	stageSound responseStage = "sound"
)

// attemptResult describes how an attempt ended.
type attemptResult struct {
	outcome dispatch.Outcome
	// responded reports whether the complete response was passed to the caller's connection. The caller may have
	// disconnected meanwhile. response is set if that is still to be done, which needs no replica any more.
	responded bool
	response  *bufferedResponse
	// notRun reports whether the replica certainly did not run the request, unsent whether no byte of it was sent.
	notRun bool
	unsent bool
	// errorResponse is a complete response of the replica with a 5xx status.
	errorResponse *bufferedResponse
	latency       time.Duration
	// stage is how far the response had come when the attempt ended.
	stage responseStage
	// connectionLost reports whether the replica's connection ended before the response was complete, or with the response, so that
	// its end may be that of the replica.
	connectionLost bool
	err            error
}

// serve sends the request to one replica after the other until one serves it or no further attempt is allowed.
func (c *call) serve() {
	c.upstream = c.h.router.pickUpstream(c.route)
	c.h.router.countRequest(c.upstream, c.priority())
	if err := c.checkTokens(); err != nil {
		c.refuse(err)
		return
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline.Sub(c.h.Now()))
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer context.AfterFunc(c.h.Closing, func() { abort(errClosing) })()
	for {
		choice, err := c.pickReplica(ctx)
		if err != nil {
			if c.r.Context().Err() != nil {
				c.abandon()
			}
			c.endWithError(err)
			return
		}
		result := c.attemptAndRelease(ctx, choice)
		if result.responded {
			if result.response != nil {
				result.response.write(c)
			}
			c.logUnread()
			c.outcome = outcomeServed
			c.releaseNextChoice()
			return
		}
		c.logFailedAttempt(choice, result)
		if result.errorResponse != nil {
			c.errorResponse = result.errorResponse
		}
		if c.r.Context().Err() != nil || c.sendErr != nil {
			c.releaseNextChoice()
			c.abandon()
		}
		if !c.mayRetry(choice, result) {
			c.releaseNextChoice()
			c.endWithError(c.finalError(ctx, result))
			return
		}
		varRetries.Add(1)
	}
}

// attemptAndRelease makes an attempt and releases the slot of its replica, also if the attempt panics.
func (c *call) attemptAndRelease(ctx context.Context, choice dispatch.Choice) (result attemptResult) {
	result.outcome = dispatch.OutcomeAbandoned
	defer func() { c.h.router.done(choice, result.outcome, result.latency) }()
	c.stage = stageNone
	sentAt := c.h.Now()
	result = c.attempt(ctx, choice)
	result.stage = c.stage
	if result.outcome == dispatch.OutcomeServed && result.latency > 0 && !c.sentLate {
		c.h.router.recordStart(c.route.Name, result.latency)
	}
	if result.connectionLost {
		c.recordLoss(choice, sentAt)
	}
	return result
}

// releaseNextChoice returns the slot of a replica that was chosen for a next attempt which is not made.
func (c *call) releaseNextChoice() {
	if c.nextChoice != nil {
		c.h.router.done(*c.nextChoice, dispatch.OutcomeAbandoned, 0)
		c.nextChoice = nil
	}
}

// pickReplica chooses a replica. While none has capacity for the request, the request waits: in the order of rank if the routes of its
// upstream have different priorities.
func (c *call) pickReplica(ctx context.Context) (dispatch.Choice, *transport.Error) {
	if c.nextChoice != nil && !c.quarantined() {
		choice := *c.nextChoice
		c.nextChoice = nil
		return choice, nil
	}
	c.releaseNextChoice()
	if c.h.router.ranks(c.upstream) {
		return c.awaitReplica(ctx)
	}
	return c.pollReplica(ctx)
}

func (c *call) noCapacityError(verdict dispatch.Verdict) *transport.Error {
	reason := "all replicas of %s are full"
	switch verdict {
	case dispatch.VerdictNoCandidate:
		reason = "no replica of %s can serve the request"
	case dispatch.VerdictLimited:
		reason = "the replicas of %s limit their requests, and this host has used its part"
	}
	return transport.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.RunNotRun, reason, c.upstream)
}

// mayRetry reports whether another attempt may follow a failed one. It excludes the failed replica from further attempts
// and, unless nothing was sent, takes a retry from the budget.
func (c *call) mayRetry(choice dispatch.Choice, result attemptResult) bool {
	if c.deadline.Sub(c.h.Now()) < minAttemptTime || c.h.Closing.Err() != nil || !c.stream.resumable() {
		return false
	}
	if errors.Is(result.err, errQuarantined) {
		// The next choice is refused with the reason.
		return true
	}
	c.tried = append(c.tried, choice.ID)
	if c.trial || c.quarantined() {
		return false
	}
	if c.nextChoice != nil {
		// The guard has taken the retry from the budget.
		return true
	}
	if result.unsent || result.outcome == dispatch.OutcomeMoved {
		c.undelivered++
		return c.undelivered < maxUndelivered && (result.unsent || c.h.router.takeRetry(c.upstream))
	}
	if c.attempts >= max(c.route.Attempts, 1) {
		return false
	}
	if !result.notRun && !c.route.Repeatable() {
		return false
	}
	return c.h.router.takeRetry(c.upstream)
}

// finalError returns the error for a request that no replica served. What a replica has sent is for the log, not for callers.
func (c *call) finalError(ctx context.Context, result attemptResult) *transport.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return transport.Errorf(http.StatusGatewayTimeout, api.CodeDeadlineExceeded, api.RunUnknown, "the deadline has passed")
	case c.mayHaveRun:
		return transport.Errorf(http.StatusBadGateway, api.CodeUpstreamFailed, api.RunUnknown, "the replica failed before its response was complete")
	case result.outcome == dispatch.OutcomeShed:
		return transport.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.RunNotRun,
			"the replica rejected the request as full")
	default:
		return transport.Errorf(http.StatusServiceUnavailable, api.CodeUpstreamFailed, api.RunNotRun,
			"no replica could be reached")
	}
}

// endWithError ends a request that no replica served. A replica's error response is passed on unchanged; a stream that has
// started is aborted, so that the caller can tell that it is incomplete.
func (c *call) endWithError(err *transport.Error) {
	switch {
	case c.stream.started:
		c.outcome = outcomeCut
		c.h.log.write("stream cut", c.fields(logrus.Fields{"reason": err.Error()}))
		panic(http.ErrAbortHandler)
	case c.errorResponse != nil:
		c.h.log.write("request failed", c.fields(logrus.Fields{
			"status": c.errorResponse.status, "replica": c.errorResponse.replica, "sends": c.attempts, "reason": err.Error(),
		}))
		c.errorResponse.write(c)
		c.outcome = outcomeFailed
	case c.mayHaveRun && err.Run == api.RunNotRun:
		c.refuse(transport.Errorf(http.StatusBadGateway, api.CodeUpstreamFailed, api.RunUnknown,
			"an earlier attempt may have run, and then: %v", err))
	default:
		c.refuse(err)
	}
}

// refuse writes an error response, with a Retry-After if the caller may try again.
func (c *call) refuse(err *transport.Error) {
	if err.Status == http.StatusServiceUnavailable || err.Status == http.StatusTooManyRequests {
		c.w.Header().Set("Retry-After", c.h.RetryAfter(c.retryAfter()))
	}
	c.h.log.write("request refused", c.fields(c.waitFields(logrus.Fields{
		"status": err.Status, "code": err.Code, "run": err.Run, "reason": err.Error(), "view_age_ms": c.h.Age().Milliseconds(),
	})))
	c.responding = true
	transport.WriteError(c.w, c.id, err)
	c.outcome, c.refusalCode = outcomeRefused, err.Code
}

// retryAfter returns a jittered delay, limited to a part of the caller's remaining time. If no replica takes requests before a
// known time, the delay ends shortly after it.
func (c *call) retryAfter() time.Duration {
	if wait := c.heldUntil.Sub(c.h.Now()); !c.heldUntil.IsZero() && wait > 0 {
		return wait + c.h.router.jitter(c.h.Config.RetryAfterMin)
	}
	if c.refusedWait != nil {
		return c.refusedWait.retryAfter
	}
	delay := c.h.Config.RetryAfterMax
	if !c.deadline.IsZero() {
		bound := float64(c.deadline.Sub(c.h.Now())) * c.h.Config.RetryAfterShare
		delay = min(delay, time.Duration(bound))
	}
	return c.h.router.jitter(max(delay, c.h.Config.RetryAfterMin))
}

// abandon aborts a request whose caller has disconnected, and panics to do so. A return would send an empty response with status
// 200, which a caller that has closed only its own side of the connection would take for the complete one.
func (c *call) abandon() {
	c.logUnread()
	c.outcome = outcomeAbandoned
	if c.held.Ended() {
		c.outcome = outcomeCut
	}
	panic(http.ErrAbortHandler)
}

// logFailedAttempt logs an attempt that did not serve the request.
func (c *call) logFailedAttempt(choice dispatch.Choice, result attemptResult) {
	reason := ""
	if result.err != nil {
		reason = result.err.Error()
	}
	log := c.h.log
	if result.outcome == dispatch.OutcomeBroken && !result.notRun {
		log = c.h.brokenLog
	}
	log.write("try failed", c.fields(logrus.Fields{
		"replica": choice.ID, "address": choice.Address, "load": choice.Load, "version": choice.Version,
		"outcome": result.outcome, "not_run": result.notRun, "sends": c.attempts, "reason": reason,
		"response_stage": result.stage, "prompt_parts": c.promptParts,
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
