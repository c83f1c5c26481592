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

// ending says how a request ended, for the gate and for the entry.
type ending struct {
	outcome admission.Outcome
	// gone says that the entry went away and gets no last frame.
	gone bool
	// refusal is nil when the response is whole.
	refusal *wire.Refusal
}

// write sends the last frame.
func (e ending) write(out *frame.Writer, grant *wire.Grant) error {
	if e.refusal == nil {
		return out.End(grant)
	}
	e.refusal.Grant = grant
	// A message may quote bytes of the back end, and a frame with invalid UTF-8 cannot be written.
	e.refusal.Message = strings.ToValidUTF8(e.refusal.Message, "?")
	return out.Refusal(e.refusal)
}

// whole ends a response that arrived in full. A server error is no work that warms the back end.
func whole(status int) ending {
	if status >= http.StatusInternalServerError {
		return ending{outcome: admission.OutcomeNeutral}
	}
	return ending{outcome: admission.OutcomeCompleted}
}

func refused(refusal *wire.Refusal) ending {
	return ending{outcome: admission.OutcomeNeutral, refusal: refusal}
}

func entryGone() ending { return ending{outcome: admission.OutcomeNeutral, gone: true} }

// interrupted ends a request whose context ended: its deadline has passed or its entry has gone away.
func interrupted(ctx context.Context, mayHaveLeft bool) ending {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return entryGone()
	}
	return refused(&wire.Refusal{Code: api.CodeDeadlineExceeded, Message: "the deadline passed", Run: runOf(mayHaveLeft)})
}

// silent ends a request to whose response the back end added nothing for too long.
func silent(mayHaveLeft bool) ending {
	return refused(&wire.Refusal{
		Code:    api.CodeUpstreamFailed,
		Message: "the back end sent nothing for too long",
		Run:     runOf(mayHaveLeft),
	})
}

// broken ends a request whose connection to the back end failed.
func broken(code string, err error, mayHaveLeft bool) ending {
	refusal := &wire.Refusal{Code: code, Message: err.Error(), Run: runOf(mayHaveLeft)}
	if !mayHaveLeft {
		refusal.RetryAfterMillis = uint32(fullRetryAfter.Milliseconds())
	}
	return ending{outcome: admission.OutcomeBroken, refusal: refusal}
}

func runOf(mayHaveLeft bool) wire.Run {
	if mayHaveLeft {
		return wire.Run_RUN_UNKNOWN
	}
	return wire.Run_RUN_NOT_RUN
}
