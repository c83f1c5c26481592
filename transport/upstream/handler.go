package upstream

import (
	"bytes"
	"context"
	"io"
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
	// copyBufferBytes is the most that one data frame carries.
	copyBufferBytes = 32 << 10
	// fullRetryAfter is the time after which a full back end may have room.
	fullRetryAfter = 200 * time.Millisecond
)

// Handler serves POST /call.
type Handler struct {
	gate   *Gate
	engine platform.Engine
	now    func() time.Time
	log    *logrus.Entry
}

// NewHandler returns a Handler.
func NewHandler(gate *Gate, engine platform.Engine, now func() time.Time, log *logrus.Entry) *Handler {
	return &Handler{gate: gate, engine: engine, now: now, log: log}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := core.RequestID(r.Header.Get(api.HeaderRequestID))
	out := frame.NewWriter(flushWriter{w}, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx, cancel := withDeadline(r.Context(), r.Header.Get(api.HeaderDeadline))
	defer cancel()
	ticket, reason := h.gate.Admit(admission.Request{Digest: core.Digest(r.Header.Get(api.HeaderVersionDigest))})
	if reason != admission.ReasonNone {
		_ = out.Refusal(notRun(reason))
		return
	}
	outcome := admission.OutcomeNeutral
	defer func() { h.gate.Finish(ticket, outcome) }()
	if h.forward(ctx, out, r, body) {
		outcome = admission.OutcomeCompleted
	}
}

func (h *Handler) forward(ctx context.Context, out *frame.Writer, r *http.Request, body []byte) bool {
	request, err := upstreamRequest(ctx, r, body)
	if err != nil {
		_ = out.Refusal(&wire.Refusal{Code: api.CodeBadRequest, Message: err.Error(), Run: wire.Run_RUN_NOT_RUN})
		return false
	}
	response, err := h.engine.Call(ctx, request)
	if err != nil {
		h.gate.Doubt()
		_ = out.Refusal(&wire.Refusal{Code: api.CodeUpstreamFailed, Message: err.Error(), Run: wire.Run_RUN_UNKNOWN})
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return h.copyResponse(out, response)
}

func (h *Handler) copyResponse(out *frame.Writer, response *http.Response) bool {
	head := &wire.Head{
		Status:        uint32(response.StatusCode),
		ContentType:   response.Header.Get("Content-Type"),
		VersionDigest: string(h.gate.Snapshot().Digest),
	}
	if out.Head(head) != nil {
		return false
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 && out.Data(buffer[:n]) != nil {
			return false
		}
		if err == io.EOF {
			return out.End(nil) == nil
		}
		if err != nil {
			h.gate.Doubt()
			_ = out.Refusal(&wire.Refusal{Code: api.CodeResponseCut, Message: err.Error(), Run: wire.Run_RUN_UNKNOWN})
			return false
		}
	}
}

func upstreamRequest(ctx context.Context, r *http.Request, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Header.Get(api.HeaderMethod), r.Header.Get(api.HeaderPath), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	request.Header.Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
	return request, nil
}

func withDeadline(ctx context.Context, value string) (context.Context, context.CancelFunc) {
	deadline, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func notRun(reason admission.Reason) *wire.Refusal {
	refusal := &wire.Refusal{
		Code:    api.CodeNoCapacity,
		Message: "the agent admits no request: " + string(reason),
		Run:     wire.Run_RUN_NOT_RUN,
	}
	switch reason {
	case admission.ReasonLeaving:
		refusal.Code = api.CodeLeaving
	case admission.ReasonOutOfService:
		refusal.Code = api.CodeOutOfService
	case admission.ReasonVersion:
		refusal.Code = api.CodeVersionMismatch
	default:
		refusal.RetryAfterMillis = uint32(fullRetryAfter.Milliseconds())
	}
	return refusal
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
