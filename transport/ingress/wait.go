package ingress

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/coordination/waiting"
	"github.com/guavatrestle/guavatrestle/coordination/workload"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport"
)

// pollReplica chooses a replica. While none has capacity for the request it waits up to CapacityWaitShare of the latency objective.
func (c *call) pollReplica(ctx context.Context) (dispatch.Choice, *transport.Error) {
	maxWait := time.Duration(float64(c.route.Objective) * c.h.Config.CapacityWaitShare)
	waitDeadline := c.h.Now().Add(maxWait)
	for {
		if c.outlastsStop() {
			return dispatch.Choice{}, leavingError()
		}
		decision, quarantineErr := c.checkQuarantine()
		if quarantineErr != nil {
			c.heldUntil = decision.Until
			return dispatch.Choice{}, quarantineErr
		}
		request := c.dispatchRequest()
		request.Only = c.onlyReplica(decision)
		choice, verdict := c.h.router.pickReplica(request)
		if verdict == dispatch.VerdictChosen && decision.Verdict == quarantine.VerdictTrial {
			if c.trial = c.h.Quarantine.beginTrial(decision.Key); !c.trial {
				c.h.router.done(choice, dispatch.OutcomeAbandoned, 0)
				continue
			}
		}
		if verdict == dispatch.VerdictChosen {
			return choice, nil
		}
		if verdict == dispatch.VerdictHeldOff && choice.HeldUntil.After(waitDeadline) {
			// Waiting can't help, so the caller is told at once when to come back.
			c.heldUntil = choice.HeldUntil
			return choice, c.noCapacityError(verdict)
		}
		if verdict == dispatch.VerdictLimited && choice.HeldUntil.After(waitDeadline) {
			return choice, c.noCapacityError(verdict)
		}
		if !c.h.Now().Before(waitDeadline) || ctx.Err() != nil {
			return choice, c.noCapacityError(verdict)
		}
		select {
		case <-ctx.Done():
		case <-time.After(c.h.Config.CapacityPollInterval):
		}
	}
}

// awaitReplica chooses a replica. While none has capacity, the request waits in the order of rank, as long as it can still be served in
// its time.
func (c *call) awaitReplica(ctx context.Context) (dispatch.Choice, *transport.Error) {
	since := c.h.Now()
	for {
		if err := c.followView(); err != nil {
			return dispatch.Choice{}, err
		}
		if !c.h.router.ranks(c.upstream) {
			return c.pollReplica(ctx)
		}
		decision, err := c.checkWait()
		if err != nil {
			return dispatch.Choice{}, err
		}
		result, err := c.waitInQueue(ctx, c.newWaiter(since, decision), decision)
		switch {
		case err != nil:
			return dispatch.Choice{}, err
		case result.recheck:
			continue
		case result.verdict != dispatch.VerdictChosen:
			return result.choice, c.refuseWait(result)
		}
		c.sentLate = result.late
		if taken, err := c.takeChoice(ctx, decision, result.choice); taken || err != nil {
			return result.choice, err
		}
	}
}

// takeChoice checks again what may have changed while the request waited, also because the process was suspended. It returns the slot of
// the replica if the request is not sent there.
func (c *call) takeChoice(ctx context.Context, decision quarantine.Decision, choice dispatch.Choice) (bool, *transport.Error) {
	err := c.followView()
	now := decision
	if err == nil {
		now, err = c.checkWait()
	}
	if err == nil && ctx.Err() != nil {
		err = c.noCapacityError(dispatch.VerdictFull)
	}
	trial := decision.Verdict == quarantine.VerdictTrial
	if err == nil && now.Verdict == decision.Verdict && now.Key == decision.Key && !c.outdated(choice) {
		if !trial {
			return true, nil
		}
		if c.trial = c.h.Quarantine.beginTrial(decision.Key); c.trial {
			return true, nil
		}
	}
	c.h.router.done(choice, dispatch.OutcomeAbandoned, 0)
	return false, err
}

// checkWait returns an error if the request must not wait or be sent any longer.
func (c *call) checkWait() (quarantine.Decision, *transport.Error) {
	switch {
	case c.outlastsStop():
		return quarantine.Decision{}, leavingError()
	case c.keyOutdated():
		c.w.Header().Set("Connection", "close")
		return quarantine.Decision{}, keyAgeError(c.h.Age())
	case !c.h.Now().Before(c.deadline):
		return quarantine.Decision{}, c.noCapacityError(dispatch.VerdictFull)
	}
	decision, err := c.checkQuarantine()
	if err != nil {
		c.heldUntil = decision.Until
	}
	return decision, err
}

// followView makes a request that was not sent anywhere yet follow a new configuration: its route may be gone, its key revoked, or its
// upstream replaced.
func (c *call) followView() *transport.Error {
	view := c.h.View()
	if view == c.view || !view.Ready() || view.Configuration == c.view.Configuration || c.attempts+c.undelivered > 0 || c.stream.started {
		return nil
	}
	path, _, _ := strings.Cut(c.target, "?")
	route := view.Route(hostName(c.r.Host), path)
	if route == nil {
		return transport.Errorf(http.StatusNotFound, api.CodeNotFound, api.RunNotRun, "no route for %s%s", c.r.Host, path)
	}
	c.view, c.viewAge = c.h.Current()
	c.route, c.team = route, nil
	if err := c.authorize(); err != nil {
		return err
	}
	if !slices.ContainsFunc(route.Targets, func(target fleet.Target) bool { return target.Upstream == c.upstream }) {
		c.upstream = c.h.router.pickUpstream(route)
	}
	return c.checkTokens()
}

// newWaiter returns the request as it waits for a replica since a time.
func (c *call) newWaiter(since time.Time, decision quarantine.Decision) *waiter {
	w := &waiter{request: c.dispatchRequest(), item: waiting.Item{Request: c.workload(), Since: since, Bytes: int64(len(c.body))}}
	w.request.Only = c.onlyReplica(decision)
	return w
}

// onlyReplica returns the replica that the request is restricted to by the quarantine, empty if there is none.
func (c *call) onlyReplica(decision quarantine.Decision) fleet.ReplicaID {
	if decision.Verdict != quarantine.VerdictTrial {
		return ""
	}
	return c.h.router.trialReplica(c.upstream, decision.Key)
}

// workload returns the properties of the request that determine its rank.
func (c *call) workload() workload.Request { return c.workloadOf(c.h.Headers.Tokens(c.r.Header)) }

func (c *call) workloadOf(tokens headers.Tokens) workload.Request {
	request := workload.Request{
		Priority: c.priority(), Arrived: c.arrived, Elapsed: c.elapsed, Objective: c.route.Objective, Deadline: c.deadline,
		FirstEvent: c.h.router.usualStart(c.route), Resumed: c.stream.started,
	}
	request.Work = workload.Work(c.view.Configuration.Upstreams[c.upstream].Engine, tokens.Prompt, expectedOutput(tokens))
	return request
}

// waitInQueue queues the request and returns the end of its wait. It must be queued again if the quarantine restricts it to another replica
// than decision, or no longer.
func (c *call) waitInQueue(ctx context.Context, w *waiter, decision quarantine.Decision) (waitResult, *transport.Error) {
	results := make(chan waitResult, 1)
	w.deliver = func(result waitResult) { results <- result }
	first := !c.waited
	c.waited = true
	c.h.router.await(w, first)
	select {
	case result := <-results:
		return result, nil
	default:
	}
	done := countWaiting(w)
	defer func() { done(c.h.Now()) }()
	timer := time.NewTimer(waitCheckInterval)
	defer timer.Stop()
	for {
		request := c.dispatchRequest()
		timer.Reset(c.h.router.check(w, request.MinVersion, request.NextMinVersion).Sub(c.h.Now()))
		select {
		case result := <-results:
			if result.verdict == dispatch.VerdictChosen {
				recordForecast(w, c.h.Now())
			}
			return result, nil
		case <-ctx.Done():
			c.leaveLine(w, results)
			return waitResult{}, c.noCapacityError(dispatch.VerdictFull)
		case <-timer.C:
			now, err := c.checkWait()
			if err != nil || now.Verdict != decision.Verdict || c.onlyReplica(now) != w.request.Only {
				c.leaveLine(w, results)
				return waitResult{recheck: true}, err
			}
		}
	}
}

// leaveLine ends the wait and returns the slot of a replica that was chosen meanwhile.
func (c *call) leaveLine(w *waiter, results <-chan waitResult) {
	c.h.router.leave(w)
	select {
	case result := <-results:
		if result.verdict == dispatch.VerdictChosen {
			c.h.router.done(result.choice, dispatch.OutcomeAbandoned, 0)
		}
	default:
	}
}

// refuseWait returns the error for a request that may not wait any longer.
func (c *call) refuseWait(result waitResult) *transport.Error {
	c.refusedWait = &result
	if result.verdict == dispatch.VerdictHeldOff {
		c.heldUntil = result.choice.HeldUntil
	}
	countWaitRefusal(result.refusal)
	return c.noCapacityError(result.verdict)
}

// waitFields adds to a log line what decided that the request may not wait any longer.
func (c *call) waitFields(fields logrus.Fields) logrus.Fields {
	if c.refusedWait == nil {
		return fields
	}
	refusal := &c.refusedWait.refusal
	fields["wait_reason"], fields["rank"], fields["late"] = refusal.Reason, refusal.Rank.Level, refusal.Rank.Lost
	fields["work"], fields["forecast_ms"] = c.workload().Work, refusal.Forecast.Milliseconds()
	fields["retry_after_ms"], fields["report_age_ms"] = c.refusedWait.retryAfter.Milliseconds(), c.refusedWait.reportAge.Milliseconds()
	return fields
}

// enginePriority returns the priority that is sent to a replica. If the routes of the upstream have different priorities, each of them
// has a part of the values, within which requests that are about to miss their objective go first and those that have missed it last.
func (c *call) enginePriority() int {
	priority := min(max(c.priority(), 0), maxPriority)
	priorities := c.h.router.prioritiesOf(c.upstream)
	if len(priorities) < 2 {
		return priority
	}
	// Configurations may have more priorities than there are values; the last ones then share the highest.
	width := max(workload.Levels/len(priorities), 1)
	base := 0
	for base < len(priorities)-1 && priorities[base] < priority {
		base++
	}
	return min(base*width+urgency(c.h.Now(), c.workload(), width), maxPriority)
}

// urgency returns the place of a request among width values of its priority.
func urgency(now time.Time, request workload.Request, width int) int {
	rank := workload.RankAt(now, request)
	switch {
	case rank.Lost:
		return width - 1
	case width > 2 && !request.Resumed && rank.StartBy.Sub(now) > request.Objective/2:
		return 1
	}
	return 0
}

// prioritiesOf returns the priorities of an upstream's requests in ascending order, nil if its routes have only one.
func (r *Router) prioritiesOf(upstream core.Upstream) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ranked[upstream]
}
