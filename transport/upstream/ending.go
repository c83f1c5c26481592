package upstream

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
)

// callResult is how a request ended: the outcome for the gate and the last frame for the entry.
type callResult struct {
	outcome admission.Outcome
	// disconnected is set when the entry has disconnected, so that no last frame is written.
	disconnected bool
	// refusal is nil when the response is complete.
	refusal *wire.Refusal
}

// write writes the last frame: End, or Refusal if there is a refusal.
func (r callResult) write(out *frame.Writer, grant *wire.Grant) error {
	if r.refusal == nil {
		return out.End(grant)
	}
	r.refusal.Grant = grant
	// The message may quote bytes from the back end, and a frame with invalid UTF-8 cannot be marshaled.
	r.refusal.Message = strings.ToValidUTF8(r.refusal.Message, "?")
	return out.Refusal(r.refusal)
}

// completed returns the result of a complete response. A server error doesn't count as completed work that warms the
// back end up.
func completed(status int) callResult {
	if status >= http.StatusInternalServerError {
		return callResult{outcome: admission.OutcomeNeutral}
	}
	return callResult{outcome: admission.OutcomeCompleted}
}

func refused(refusal *wire.Refusal) callResult {
	return callResult{outcome: admission.OutcomeNeutral, refusal: refusal}
}

func entryDisconnected() callResult {
	return callResult{outcome: admission.OutcomeNeutral, disconnected: true}
}

// interrupted returns the result of a request whose context ended: its deadline passed or its entry disconnected.
func interrupted(ctx context.Context, maybeSent bool) callResult {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return entryDisconnected()
	}
	return refused(&wire.Refusal{Code: api.CodeDeadlineExceeded, Message: "the request deadline passed", Run: runState(maybeSent)})
}

// stalled returns the result of a request for which the back end sent no byte within the progress timeout.
func stalled(maybeSent bool) callResult {
	return refused(&wire.Refusal{
		Code:    api.CodeUpstreamFailed,
		Message: "the back end sent no data within the progress timeout",
		Run:     runState(maybeSent),
	})
}

// connectionFailed returns the result of a request whose connection to the back end failed.
func connectionFailed(code string, err error, maybeSent bool) callResult {
	refusal := &wire.Refusal{Code: code, Message: err.Error(), Run: runState(maybeSent)}
	if !maybeSent {
		refusal.RetryAfterMillis = uint32(fullRetryAfter.Milliseconds())
	}
	return callResult{outcome: admission.OutcomeBroken, refusal: refusal}
}

func runState(maybeSent bool) wire.Run {
	if maybeSent {
		return wire.Run_RUN_UNKNOWN
	}
	return wire.Run_RUN_NOT_RUN
}
