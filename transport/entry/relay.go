package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport"
)

// maxStatus is the largest HTTP status.
const maxStatus = 599

// responder passes one response on to the caller.
type responder interface {
	// begin takes the head of a response; it replaces the head of an earlier try that sent nothing.
	begin(head *wire.Head)
	// write takes part of the body.
	write(payload []byte) error
	// finish is called once the response is known to be whole.
	finish() error
	// started reports whether a byte went to the caller.
	started() bool
}

// relay passes frames on until the response is whole; progress is called for each frame.
func (h *Handler) relay(out responder, a *attempt, in *frame.Reader, progress func()) error {
	for {
		f, err := in.Next()
		if err != nil {
			return a.readError(err)
		}
		progress()
		switch body := f.GetBody().(type) {
		case *wire.Frame_Head:
			if err := checkHead(body.Head); err != nil {
				return err
			}
			out.begin(body.Head)
		case *wire.Frame_Data:
			if err := out.write(body.Data.GetPayload()); err != nil {
				return transport.Errorf(http.StatusBadGateway, api.CodeResponseIncomplete, api.RunUnknown, "write to caller: %v", err)
			}
		case *wire.Frame_Refusal:
			return h.takeRefusal(a, body.Refusal)
		case *wire.Frame_End:
			h.takeGrant(a, body.End.GetGrant())
			return out.finish()
		}
	}
}

// checkHead refuses a status that cannot be passed on as the final one.
func checkHead(head *wire.Head) error {
	if head.GetStatus() < http.StatusOK || head.GetStatus() > maxStatus {
		return transport.Errorf(http.StatusBadGateway, api.CodeUpstreamFailed, api.RunUnknown, "response has status %d", head.GetStatus())
	}
	return nil
}

// takeRefusal updates the table of agents at once, so that the next request already knows.
func (h *Handler) takeRefusal(a *attempt, r *wire.Refusal) error {
	a.refused = true
	varRefusals.Add(1)
	id, incarnation := a.agent.Host.ID, a.agent.Incarnation
	after := time.Duration(r.GetRetryAfterMillis()) * time.Millisecond
	notRun := r.GetRun() == wire.Run_RUN_NOT_RUN
	switch {
	case notRun && r.GetCode() == api.CodeLeaving:
		h.upstreams.MarkLeaving(id, incarnation)
	case r.GetGrant() != nil:
		h.takeGrant(a, r.GetGrant())
	case notRun:
		pause := max(after, minRefusalPause)
		h.upstreams.SetGrant(id, incarnation, table.BlockedGrant(h.now().Add(pause)))
	}
	if !notRun {
		return transport.Errorf(http.StatusBadGateway, r.GetCode(), api.RunUnknown, "%s", r.GetMessage())
	}
	return transport.Errorf(http.StatusServiceUnavailable, r.GetCode(), api.RunNotRun, "%s", r.GetMessage()).
		WithRetryAfter(max(after, capacityRetryAfter))
}

func (h *Handler) takeGrant(a *attempt, grant *wire.Grant) {
	state, known := stateFromWire[grant.GetState()]
	switch {
	case grant == nil:
	case known:
		now := h.now()
		load := table.Load{State: state, Limit: int(grant.GetLimit()), InFlight: int(grant.GetInFlight()), Seen: now}
		h.upstreams.RecordResponseEnd(a.agent.Host.ID, a.agent.Incarnation, load, grantFromWire(grant, now))
	default:
		h.upstreams.SetGrant(a.agent.Host.ID, a.agent.Incarnation, grantFromWire(grant, h.now()))
	}
}

func (a *attempt) readError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return transport.Errorf(http.StatusGatewayTimeout, api.CodeDeadlineExceeded, api.RunUnknown, "no whole response before the deadline")
	}
	return transport.Errorf(http.StatusBadGateway, api.CodeResponseIncomplete, api.RunUnknown, "read response: %v", err)
}
