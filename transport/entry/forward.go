package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/routing"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport"
)

const (
	// maxAttempts bounds the agents that one request is offered to.
	maxAttempts = 4
	// capacityRetryAfter is the time after which capacity may be free again.
	capacityRetryAfter = time.Second
)

// run sends a call to agents until one takes it, and passes the response on.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, c call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	for attempt := range maxAttempts {
		agent, ok := h.choose(c.route)
		if !ok {
			break
		}
		err := h.try(ctx, w, c, agent, attempt)
		if err == nil {
			return
		}
		var refusal *transport.Error
		if !errors.As(err, &refusal) || refusal.Run != api.RunNotRun {
			transport.WriteError(w, c.id, err)
			return
		}
		c.route.Exclude = append(c.route.Exclude, agent.Host.ID)
	}
	transport.WriteError(w, c.id, transport.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.RunNotRun,
		"no agent of upstream %q has capacity", c.route.Upstream).WithRetryAfter(capacityRetryAfter))
}

func (h *Handler) choose(request routing.Request) (core.AgentStatus, bool) {
	snapshot := routing.Snapshot{
		Agents:    h.upstreams.List(),
		InService: h.settings.Tree().InService,
		Own:       h.self.FailureDomain,
	}
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return routing.Choose(snapshot, request, h.random)
}

// try sends the call to one agent. It returns nil once the response has started.
func (h *Handler) try(ctx context.Context, w http.ResponseWriter, c call, agent core.AgentStatus, attempt int) error {
	h.upstreams.Start(agent.Host.ID)
	defer h.upstreams.Finish(agent.Host.ID)
	request, err := agentRequest(ctx, c, agent, attempt)
	if err != nil {
		return transport.Errorf(http.StatusBadRequest, api.CodeBadRequest, api.RunNotRun, "build request: %v", err)
	}
	response, err := h.agents.Do(request)
	if err != nil {
		return sendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	return h.relay(w, c, frame.NewReader(response.Body, c.id))
}

// relay copies frames to the caller. A response that is not whole ends the caller's connection abruptly.
func (h *Handler) relay(w http.ResponseWriter, c call, in *frame.Reader) error {
	started := false
	for {
		f, err := in.Next()
		if err != nil {
			return abortOrReturn(started, transport.Errorf(http.StatusBadGateway, api.CodeResponseCut, api.RunUnknown, "read response: %v", err))
		}
		switch body := f.GetBody().(type) {
		case *wire.Frame_Head:
			started = true
			writeHead(w, c, body.Head)
		case *wire.Frame_Data:
			_, _ = w.Write(body.Data.GetPayload())
			_ = http.NewResponseController(w).Flush()
		case *wire.Frame_Refusal:
			return abortOrReturn(started, refusalError(body.Refusal))
		case *wire.Frame_End:
			return nil
		}
	}
}

func abortOrReturn(started bool, err error) error {
	if started {
		// The status line is already sent: ending the connection is the only way to show that the response is not whole.
		panic(http.ErrAbortHandler)
	}
	return err
}

func writeHead(w http.ResponseWriter, c call, head *wire.Head) {
	w.Header().Set("Content-Type", head.GetContentType())
	w.Header().Set("X-Request-Id", string(c.id))
	if head.GetVersionDigest() != "" {
		w.Header().Set("X-Model-Digest", head.GetVersionDigest())
	}
	w.WriteHeader(int(head.GetStatus()))
}

func agentRequest(ctx context.Context, c call, agent core.AgentStatus, attempt int) (*http.Request, error) {
	url := "http://" + agent.Host.DataAddr + "/call"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(c.body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(c.body))
	header := request.Header
	header.Set("Content-Type", c.contentType)
	header.Set(api.HeaderRequestID, string(c.id))
	header.Set(api.HeaderDeadline, c.deadline.Format(time.RFC3339Nano))
	header.Set(api.HeaderTeam, string(c.team))
	header.Set(api.HeaderModel, string(c.model))
	header.Set(api.HeaderVersionDigest, string(agent.VersionDigest))
	header.Set(api.HeaderMethod, c.method)
	header.Set(api.HeaderPath, c.path)
	header.Set(api.HeaderIdempotent, strconv.FormatBool(c.repeatable))
	header.Set(api.HeaderAttempt, strconv.Itoa(attempt))
	return request, nil
}

func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return transport.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.RunNotRun, "connect to agent: %v", err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return transport.Errorf(http.StatusGatewayTimeout, api.CodeDeadline, api.RunUnknown, "no response before the deadline")
	}
	return transport.Errorf(http.StatusBadGateway, api.CodeUpstreamFailed, api.RunUnknown, "send to agent: %v", err)
}

func refusalError(r *wire.Refusal) error {
	status := http.StatusBadGateway
	run := api.RunUnknown
	if r.GetRun() == wire.Run_RUN_NOT_RUN {
		status = http.StatusServiceUnavailable
		run = api.RunNotRun
	}
	after := time.Duration(r.GetRetryAfterMillis()) * time.Millisecond
	return transport.Errorf(status, r.GetCode(), run, "%s", r.GetMessage()).WithRetryAfter(after)
}
