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

// responder relays one response to the caller.
type responder interface {
	// begin sets the head of the response; it replaces that of an earlier attempt, of which no byte was sent to the caller.
	begin(head *wire.Head)
	// write relays a part of the body.
	write(payload []byte) error
	// finish sends the rest; it is called once the response is known to be complete.
	finish() error
	// started reports whether a byte was sent to the caller.
	started() bool
}

// relay relays frames to out until the response is complete; progress is called for each frame.
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
				return transport.Errorf(http.StatusBadGateway, api.CodeResponseIncomplete, api.RunUnknown, "write the response to the caller: %v", err)
			}
		case *wire.Frame_Refusal:
			return h.applyRefusal(a, body.Refusal)
		case *wire.Frame_End:
			h.applyGrant(a, body.End.GetGrant())
			return out.finish()
		}
	}
}

// checkHead reports an error if the status can't be that of a final HTTP response.
func checkHead(head *wire.Head) error {
	if head.GetStatus() < http.StatusOK || head.GetStatus() > maxStatus {
		return transport.Errorf(http.StatusBadGateway, api.CodeUpstreamFailed, api.RunUnknown, "agent sent a response with invalid status %d", head.GetStatus())
	}
	return nil
}

// applyRefusal counts the refusal and updates the agent's status at once, so that it applies to the next request, and
// returns the refusal as an error.
func (h *Handler) applyRefusal(a *attempt, r *wire.Refusal) error {
	a.refused = true
	varRefusals.Add(1)
	id, incarnation := a.agent.Host.ID, a.agent.Incarnation
	retryAfter := time.Duration(r.GetRetryAfterMillis()) * time.Millisecond
	notRun := r.GetRun() == wire.Run_RUN_NOT_RUN
	switch {
	case notRun && r.GetCode() == api.CodeLeaving:
		h.upstreams.MarkLeaving(id, incarnation)
	case r.GetGrant() != nil:
		h.applyGrant(a, r.GetGrant())
	case notRun:
		pause := max(retryAfter, minRefusalBackoff)
		h.upstreams.SetGrant(id, incarnation, table.BlockedGrant(h.now().Add(pause)))
	}
	if !notRun {
		return transport.Errorf(http.StatusBadGateway, r.GetCode(), api.RunUnknown, "%s", r.GetMessage())
	}
	return transport.Errorf(http.StatusServiceUnavailable, r.GetCode(), api.RunNotRun, "%s", r.GetMessage()).
		WithRetryAfter(max(retryAfter, capacityRetryAfter))
}

func (h *Handler) applyGrant(a *attempt, grant *wire.Grant) {
	state, hasState := stateFromWire[grant.GetState()]
	switch {
	case grant == nil:
	case hasState:
		now := h.now()
		load := table.Load{State: state, Limit: int(grant.GetLimit()), InFlight: int(grant.GetInFlight()), Seen: now}
		h.upstreams.RecordResponseEnd(a.agent.Host.ID, a.agent.Incarnation, load, grantFromWire(grant, now))
	default:
		h.upstreams.SetGrant(a.agent.Host.ID, a.agent.Incarnation, grantFromWire(grant, h.now()))
	}
}

func (a *attempt) readError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return transport.Errorf(http.StatusGatewayTimeout, api.CodeDeadlineExceeded, api.RunUnknown, "no complete response before the request deadline")
	}
	return transport.Errorf(http.StatusBadGateway, api.CodeResponseIncomplete, api.RunUnknown, "read the response from the agent: %v", err)
}
