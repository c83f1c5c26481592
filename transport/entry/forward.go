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

// run sends a call to agents until one answers it, and passes the response on.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, c call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	out := &callerResponse{w: w, maxBuffer: h.tuning.MaxBufferedBytes}
	h.respond(out, c, h.forward(ctx, out, c))
}

// respond tells the caller about a call that ended without a whole response.
func (h *Handler) respond(out *callerResponse, c call, err error) {
	if err == nil {
		return
	}
	failed := asError(err)
	h.log.WithField("request", c.id).WithField("team", c.team).WithField("code", failed.Code).
		WithField("run", failed.Run).WithError(failed).Info("request not answered")
	if out.started() {
		out.abort(c, failed)
	}
	transport.WriteError(out.w, c.id, failed)
}

// forward tries a call at one agent after the other as far as its kind and the retry budget allow.
//
// An outcome that was unknown once stays unknown: a later refusal does not undo an earlier try that may have run.
func (h *Handler) forward(ctx context.Context, out responder, c call) error {
	h.retries.request()
	varForwarded.Add(1)
	run := api.RunNotRun
	var last *transport.Error
	for number := 0; ; number++ {
		agent, err := h.acquire(ctx, c)
		if err != nil && run != api.RunNotRun {
			return withRun(last, run)
		}
		if err != nil {
			return err
		}
		a := &attempt{call: c, agent: agent, number: number, entry: h.self.ID}
		varAttempts.Add(1)
		err = h.try(ctx, out, a)
		if err == nil {
			return nil
		}
		last = asError(err)
		if last.Run != api.RunNotRun {
			run = api.RunUnknown
		}
		if !h.mayRetry(ctx, a, last, out.started()) {
			return withRun(last, run)
		}
		c.route.Exclude = exclude(c.route.Exclude, a, last)
	}
}

func (h *Handler) try(ctx context.Context, out responder, a *attempt) error {
	defer h.upstreams.Finish(a.agent.Host.ID)
	return h.send(ctx, out, a)
}

// mayRetry decides about one more try and waits for the pause before it.
func (h *Handler) mayRetry(ctx context.Context, a *attempt, failed *transport.Error, started bool) bool {
	kind := retry.Call{Repeatable: a.call.repeatable, Claimed: a.call.claimed}
	if !retry.Allowed(kind, a.failure(failed, started)) || a.number+1 >= h.tuning.Retry.MaxAttempts {
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	pause, ok := h.retries.retry(a.number)
	if !ok {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// exclude keeps later tries off a host that failed. A host that was only full stays a candidate: its grant says when.
func exclude(hosts []core.HostID, a *attempt, failed *transport.Error) []core.HostID {
	if a.refused && failed.Code == api.CodeNoCapacity {
		return hosts
	}
	return append(slices.Clone(hosts), a.agent.Host.ID)
}

// choose reserves a slot at an agent; the caller ends the reservation with Finish.
func (h *Handler) choose(request routing.Request) (core.AgentStatus, bool) {
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

// withRun returns err with a run state that is no more certain than run.
func withRun(err error, run api.Run) error {
	failed := asError(err)
	if run == api.RunNotRun || failed.Run != api.RunNotRun {
		return failed
	}
	failed.Run = run
	return failed
}

func asError(err error) *transport.Error {
	var failed *transport.Error
	if errors.As(err, &failed) {
		return failed
	}
	return transport.Errorf(http.StatusInternalServerError, api.CodeUpstreamFailed, api.RunUnknown, "%v", err)
}
