package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/retry"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport"
)

// errNoProgress cancels an attempt that received no frame within the progress timeout.
var errNoProgress = errors.New("no frame arrived within the progress timeout")

// attempt is one attempt to send a call to one agent.
type attempt struct {
	call   call
	agent  core.AgentStatus
	number int
	// entry is the host ID of this process; the agent adds a grant for it to the last frame.
	entry core.HostID
	// connected is set once the request has a connection, from when on a byte of it may have been sent.
	connected atomic.Bool
	// refused is set when the agent responded with a Refusal frame.
	refused bool
}

// singleUseBody is a request body that http.Transport cannot rewind: without GetBody it never sends a request again
// after reading from the body, neither on a reused connection nor after GOAWAY or REFUSED_STREAM.
type singleUseBody struct {
	remaining []byte
}

// Read implements io.Reader.
func (b *singleUseBody) Read(p []byte) (int, error) {
	if len(b.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.remaining)
	b.remaining = b.remaining[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *singleUseBody) Close() error { return nil }

// send sends the call to the agent and relays the response; it returns nil once the complete response was relayed.
func (h *Handler) send(ctx context.Context, out responder, a *attempt) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	pooled := h.pool.acquire(a.agent.Host.DataAddr)
	defer h.pool.release(pooled)
	progress := time.AfterFunc(h.tuning.ProgressTimeout, func() { cancel(errNoProgress) })
	defer progress.Stop()
	response, err := h.roundTrip(ctx, pooled, a)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		in := frame.NewReader(response.Body, a.call.id)
		err = h.relay(out, a, in, func() { progress.Reset(h.tuning.ProgressTimeout) })
	}
	if err != nil && errors.Is(context.Cause(ctx), errNoProgress) {
		h.pool.retire(pooled)
		return transport.Errorf(http.StatusBadGateway, api.CodeUpstreamFailed, a.runState(),
			"agent %s sent no frame for %s", a.agent.Host.ID, h.tuning.ProgressTimeout)
	}
	return err
}

func (h *Handler) roundTrip(ctx context.Context, pooled *pooledTransport, a *attempt) (*http.Response, error) {
	request, err := a.request(ctx)
	if err != nil {
		return nil, transport.Errorf(http.StatusBadRequest, api.CodeBadRequest, api.RunNotRun, "build the request to the agent: %v", err)
	}
	response, err := pooled.roundTripper.RoundTrip(request)
	if err != nil {
		return nil, a.sendError(ctx, err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, transport.Errorf(http.StatusBadGateway, api.CodeUpstreamFailed, api.RunUnknown,
			"agent returned status %d instead of a framed response", response.StatusCode)
	}
	return response, nil
}

func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := "http://" + a.agent.Host.DataAddr + "/call"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &singleUseBody{remaining: a.call.body})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(a.call.body))
	a.setHeaders(request.Header)
	return request, nil
}

func (a *attempt) setHeaders(header http.Header) {
	c := a.call
	header.Set("Content-Type", c.contentType)
	header.Set(api.HeaderRequestID, string(c.id))
	header.Set(api.HeaderDeadline, c.deadline.Format(time.RFC3339Nano))
	header.Set(api.HeaderEntry, string(a.entry))
	header.Set(api.HeaderTeam, string(c.team))
	header.Set(api.HeaderModel, string(c.model))
	header.Set(api.HeaderVersionDigest, string(a.agent.VersionDigest))
	header.Set(api.HeaderMethod, c.method)
	header.Set(api.HeaderPath, c.path)
	header.Set(api.HeaderIdempotent, strconv.FormatBool(c.repeatable))
	header.Set(api.HeaderAttempt, strconv.Itoa(a.number))
	header.Set(api.HeaderEntry, string(a.entry))
}

// sendError converts an error of the round trip, before the first frame.
func (a *attempt) sendError(ctx context.Context, err error) error {
	run := a.runState()
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return transport.Errorf(http.StatusGatewayTimeout, api.CodeDeadlineExceeded, run, "no response before the deadline")
	case run == api.RunNotRun:
		return transport.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, run, "connect to the agent: %v", err).
			WithRetryAfter(capacityRetryAfter)
	default:
		return transport.Errorf(http.StatusBadGateway, api.CodeUpstreamFailed, run, "send the request to the agent: %v", err)
	}
}

// runState returns what is known about a call that got no response: without a connection no byte was sent, so the call
// did not run.
func (a *attempt) runState() api.Run {
	if a.connected.Load() {
		return api.RunUnknown
	}
	return api.RunNotRun
}

// failure returns what the retry decision needs to know about a failed attempt.
func (a *attempt) failure(err *transport.Error, started bool) retry.Failure {
	return retry.Failure{
		Sent:            a.connected.Load(),
		NotRun:          err.Run == api.RunNotRun && (a.refused || !a.connected.Load()),
		ResponseStarted: started,
	}
}
