package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/retry"
	"github.com/guavatrestle/guavatrestle/coordination/routing"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport"
)

// runUnclaimed forwards a call without a claim and writes the response or an error to the caller.
func (h *Handler) runUnclaimed(w http.ResponseWriter, r *http.Request, c call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	out := &callerResponse{w: w, maxBufferBytes: h.tuning.MaxBufferedBytes}
	h.respondError(out, c, h.forward(ctx, out, c))
}

// respondError reports to the caller that the call ended without a complete response; it does nothing if err is nil.
func (h *Handler) respondError(out *callerResponse, c call, err error) {
	if err == nil {
		return
	}
	failed := toError(err)
	h.log.WithField("request", c.id).WithField("team", c.team).WithField("code", failed.Code).
		WithField("run", failed.Run).WithError(failed).Info("request failed")
	if out.started() {
		out.abort(c, failed)
	}
	transport.WriteError(out.w, c.id, failed)
}

// forward sends a call to one agent after the other until one serves it, as far as the kind of the call, the attempt
// limit and the retry budget allow.
//
// Once an attempt may have run, the outcome stays unknown, even if a later attempt is refused as not run.
func (h *Handler) forward(ctx context.Context, out responder, c call) error {
	h.retries.addRequest()
	varForwarded.Add(1)
	run := api.RunNotRun
	var lastErr *transport.Error
	for number := 0; ; number++ {
		agent, err := h.acquireSlot(ctx, c)
		if err != nil && run != api.RunNotRun {
			return withRun(lastErr, run)
		}
		if err != nil {
			return err
		}
		a := &attempt{call: c, agent: agent, number: number, entry: h.self.ID}
		varAttempts.Add(1)
		err = h.tryAgent(ctx, out, a)
		if err == nil {
			return nil
		}
		lastErr = toError(err)
		if lastErr.Run != api.RunNotRun {
			run = api.RunUnknown
		}
		if !h.mayRetry(ctx, a, lastErr, out.started()) {
			return withRun(lastErr, run)
		}
		c.route.Exclude = excludeFailed(c.route.Exclude, a, lastErr)
	}
}

func (h *Handler) tryAgent(ctx context.Context, out responder, a *attempt) error {
	defer h.upstreams.Finish(a.agent.Host.ID)
	return h.send(ctx, out, a)
}

// mayRetry reports whether another attempt is allowed. If so, it returns once the backoff has passed.
func (h *Handler) mayRetry(ctx context.Context, a *attempt, failed *transport.Error, started bool) bool {
	retryCall := retry.Call{Repeatable: a.call.repeatable, Claimed: a.call.claimed}
	if !retry.Allowed(retryCall, a.failure(failed, started)) || a.number+1 >= h.tuning.Retry.MaxAttempts {
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	backoff, ok := h.retries.takeRetry(a.number)
	if !ok {
		return false
	}
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// excludeFailed returns hosts with the host of a failed attempt added. A host that refused the call as full is not added,
// because its grant determines when it gets requests again.
func excludeFailed(hosts []core.HostID, a *attempt, failed *transport.Error) []core.HostID {
	if a.refused && failed.Code == api.CodeNoCapacity {
		return hosts
	}
	return append(slices.Clone(hosts), a.agent.Host.ID)
}

// reserveAgent chooses an agent and reserves a slot there; the slot is released by Finish of the upstreams table.
func (h *Handler) reserveAgent(request routing.Request) (core.AgentStatus, bool) {
	snapshot := h.snapshot()
	return h.upstreams.Reserve(request.Upstream, func(agents []core.AgentStatus) int {
		snapshot.Agents = agents
		return routing.ChooseIndex(&snapshot, &request, h.random)
	})
}

func (h *Handler) snapshot() routing.Snapshot {
	return routing.Snapshot{
		Now:       h.now(),
		InService: h.settings.Tree().InService,
		OwnDomain: h.self.FailureDomain,
		OwnRegion: h.self.Region,
		Policy:    routing.Policy(h.cfg.RoutingPolicy),
	}
}

// withRun returns err with its run state replaced by run if err reports not_run.
func withRun(err error, run api.Run) error {
	failed := toError(err)
	if run == api.RunNotRun || failed.Run != api.RunNotRun {
		return failed
	}
	failed.Run = run
	return failed
}

func toError(err error) *transport.Error {
	var failed *transport.Error
	if errors.As(err, &failed) {
		return failed
	}
	return transport.Errorf(http.StatusInternalServerError, api.CodeUpstreamFailed, api.RunUnknown, "%v", err)
}
