package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// defaultKeepAlive is half the time after which HTTP/2 pings find a silent connection.
	defaultKeepAlive = 2 * time.Second
	// defaultSuspect is shorter than the progress deadline, because dropping idle connections costs only new ones.
	defaultSuspect = 5 * time.Second
	// defaultProgress leaves time for the first byte of a response that is generated whole before it is sent.
	defaultProgress = 30 * time.Second
	// lastFrameTime is the time after the deadline in which the last frame may still be written.
	lastFrameTime = time.Second
)

// Timing holds the times that bound a quiet response.
type Timing struct {
	// KeepAliveInterval is the time without a byte from the back end after which the entry gets a keep-alive frame.
	KeepAliveInterval time.Duration
	// SuspectTimeout is the time without a byte from the back end after which its idle connections are dropped, so that new
	// requests use new ones.
	SuspectTimeout time.Duration
	// ProgressTimeout is the time without a byte from the back end after which the request ends as unknown.
	ProgressTimeout time.Duration
}

// DefaultTiming returns the timing of an agent in service.
func DefaultTiming() Timing {
	return Timing{KeepAliveInterval: defaultKeepAlive, SuspectTimeout: defaultSuspect, ProgressTimeout: defaultProgress}
}

// HandlerParts are the parts that a Handler works with.
type HandlerParts struct {
	Gate    *Gate
	Monitor *Monitor
	Engine  platform.Engine
	Timing  Timing
	// DropIdleConnections is called when the back end sent nothing for a while; it drops the idle connections to it.
	DropIdleConnections func()
	Log                 *logrus.Entry
}

// Handler serves POST /call.
type Handler struct {
	parts HandlerParts
}

// NewHandler returns a Handler.
func NewHandler(parts HandlerParts) *Handler { return &Handler{parts: parts} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.limitTransfer(w, r.Header.Get(api.HeaderDeadline))
	out := frame.NewWriter(flushWriter{w}, core.RequestID(r.Header.Get(api.HeaderRequestID)))
	end := h.serve(w, r, out)
	if end.gone {
		return
	}
	grant := h.parts.Gate.Report(core.HostID(r.Header.Get(api.HeaderEntry)))
	if err := end.write(out, grant); err != nil {
		h.parts.Log.WithError(err).WithField("request_id", r.Header.Get(api.HeaderRequestID)).Debug("write last frame")
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, out *frame.Writer) ending {
	body, refusal := readBody(w, r)
	if refusal != nil {
		return refused(refusal)
	}
	ctx, cancel := withDeadline(r.Context(), r.Header.Get(api.HeaderDeadline))
	defer cancel()
	if ctx.Err() != nil {
		return interrupted(ctx, false)
	}
	request, err := upstreamRequest(ctx, r, body)
	if err != nil {
		return refused(&wire.Refusal{Code: api.CodeBadRequest, Message: err.Error(), Run: wire.Run_RUN_NOT_RUN})
	}
	ticket, reason := h.parts.Gate.Admit(admissionRequest(r))
	if reason != admission.ReasonNone {
		return refused(notRun(reason))
	}
	return h.run(ctx, out, request, ticket)
}

// run carries an admitted request to its end and counts it out.
func (h *Handler) run(ctx context.Context, out *frame.Writer, request *http.Request, ticket admission.Ticket) ending {
	e := &exchange{
		out:      out,
		engine:   h.parts.Engine,
		silenced: h.parts.DropIdleConnections,
		timing:   h.parts.Timing,
		digest:   ticket.Digest(),
		attempt:  &attempt{gate: h.parts.Gate, monitor: h.parts.Monitor, ticket: ticket},
	}
	end := ending{outcome: admission.OutcomeNeutral}
	defer func() { e.attempt.finish(end.outcome) }()
	end = e.run(ctx, request)
	return end
}

// limitTransfer bounds reads from and writes to an entry that went silent over HTTP/1.1, where no ping finds out. The
// server lifts both bounds after the request. A write gets longer, so that a read that ran out of time can be refused.
func (h *Handler) limitTransfer(w http.ResponseWriter, value string) {
	deadline, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return
	}
	if now := h.parts.Gate.now(); deadline.Before(now) {
		deadline = now
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline.Add(lastFrameTime))
	_ = controller.SetWriteDeadline(deadline.Add(2 * lastFrameTime))
}

// flushWriter flushes after every write, so that each frame reaches the entry at once.
type flushWriter struct {
	http.ResponseWriter
}

// Write implements io.Writer.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return n, err
}
