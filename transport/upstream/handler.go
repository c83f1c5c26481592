package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// defaultKeepAliveInterval is half the time after which HTTP/2 pings detect a silent connection.
	defaultKeepAliveInterval = 2 * time.Second
	// defaultSuspectTimeout is shorter than defaultProgressTimeout, because dropping idle connections costs only new ones.
	defaultSuspectTimeout = 5 * time.Second
	// defaultProgressTimeout leaves time for a response that is generated completely before its first byte is sent.
	defaultProgressTimeout = 30 * time.Second
	// failureLogInterval bounds the log lines about failed responses of the back end, which all requests may get.
	failureLogInterval = time.Second
	// lastFrameTimeout is the time after the request deadline in which the last frame may still be written.
	lastFrameTimeout = time.Second
)

// Timing bounds the time in which a request gets no data from the back end.
type Timing struct {
	// KeepAliveInterval is the interval of keep-alive frames to the entry while the back end sends nothing.
	KeepAliveInterval time.Duration
	// SuspectTimeout is the time without a byte from the back end after which the idle connections to it are closed, so
	// that new requests use new connections.
	SuspectTimeout time.Duration
	// ProgressTimeout is the time without a byte from the back end after which the request ends; its outcome is unknown
	// if it may have been sent.
	ProgressTimeout time.Duration
}

// DefaultTiming returns the timing that agents use by default.
func DefaultTiming() Timing {
	return Timing{KeepAliveInterval: defaultKeepAliveInterval, SuspectTimeout: defaultSuspectTimeout, ProgressTimeout: defaultProgressTimeout}
}

// HandlerDependencies holds the settings and dependencies of a Handler.
type HandlerDependencies struct {
	Gate    *Gate
	Monitor *Monitor
	Engine  platform.Engine
	Timing  Timing
	// DropIdleConnections closes the idle connections to the back end. It is called after SuspectTimeout and after
	// ProgressTimeout.
	DropIdleConnections func()
	Log                 *logrus.Entry
}

// Handler serves POST /call, by which entries send requests to the back end.
type Handler struct {
	deps       HandlerDependencies
	failureLog rate.Sometimes
}

// NewHandler returns a Handler.
func NewHandler(deps HandlerDependencies) *Handler {
	return &Handler{deps: deps, failureLog: rate.Sometimes{First: 1, Interval: failureLogInterval}}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.setTransferDeadlines(w, r.Header.Get(api.HeaderDeadline))
	out := frame.NewWriter(flushWriter{w}, core.RequestID(r.Header.Get(api.HeaderRequestID)))
	result := h.serve(w, r, out)
	if result.disconnected {
		return
	}
	grant := h.deps.Gate.GrantWithState(core.HostID(r.Header.Get(api.HeaderEntry)))
	if err := result.write(out, grant); err != nil {
		h.deps.Log.WithError(err).WithField("request_id", r.Header.Get(api.HeaderRequestID)).Debug("failed to write the last frame")
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, out *frame.Writer) callResult {
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
	ticket, reason := h.deps.Gate.Admit(admissionRequest(r))
	if reason != admission.ReasonNone {
		return refused(refusalFor(reason))
	}
	return h.run(ctx, out, request, ticket)
}

// run forwards an admitted request to the back end and releases its slot.
func (h *Handler) run(ctx context.Context, out *frame.Writer, request *http.Request, ticket admission.Ticket) callResult {
	e := &exchange{
		out:                 out,
		engine:              h.deps.Engine,
		dropIdleConnections: h.deps.DropIdleConnections,
		timing:              h.deps.Timing,
		digest:              ticket.Digest(),
		logFailure:          func(err error) { h.logFailure(request.Header.Get(api.HeaderRequestID), err) },
		attempt:             &attempt{gate: h.deps.Gate, monitor: h.deps.Monitor, ticket: ticket},
	}
	result := callResult{outcome: admission.OutcomeNeutral}
	defer func() { e.attempt.finish(result.outcome) }()
	result = e.run(ctx, request)
	return result
}

func (h *Handler) logFailure(requestID string, err error) {
	h.failureLog.Do(func() {
		h.deps.Log.WithError(err).WithField("request_id", requestID).Warn("back end gave no complete response")
	})
}

// setTransferDeadlines bounds reads from and writes to an entry that stops responding over HTTP/1.1, where no ping detects
// it. The server resets both deadlines after the request. The write deadline is later, so that a refusal can still be
// written after a read timed out.
func (h *Handler) setTransferDeadlines(w http.ResponseWriter, value string) {
	deadline, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return
	}
	if now := h.deps.Gate.now(); deadline.Before(now) {
		deadline = now
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline.Add(lastFrameTimeout))
	_ = controller.SetWriteDeadline(deadline.Add(2 * lastFrameTimeout))
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
