package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/transport"
)

const (
	// maxBodyBytes bounds the request body that the agent holds in memory.
	maxBodyBytes = 64 << 20
	// fullRetryAfter is the time after which a full back end may have a free slot. It is the retry delay of other temporary
	// refusals of unsent requests too.
	fullRetryAfter = 200 * time.Millisecond
)

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *wire.Refusal) {
	body, err := io.ReadAll(transport.LimitBody(w, r.Body, maxBodyBytes))
	if err == nil {
		return body, nil
	}
	refusal := &wire.Refusal{Code: api.CodeBadRequest, Message: "read request body: " + err.Error(), Run: wire.Run_RUN_NOT_RUN}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refusal.Code = api.CodeBodyTooLarge
	}
	return nil, refusal
}

// upstreamRequest builds the request to the back end from the headers of the call. Without GetBody, net/http cannot
// rewind the body to send it again.
func upstreamRequest(ctx context.Context, r *http.Request, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Header.Get(api.HeaderMethod), r.Header.Get(api.HeaderPath), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	for _, name := range []string{"Content-Type", api.HeaderRequestID, api.HeaderDeadline} {
		if value := r.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	return request, nil
}

func admissionRequest(r *http.Request) admission.Request {
	return admission.Request{
		Digest: core.Digest(r.Header.Get(api.HeaderVersionDigest)),
		Entry:  core.HostID(r.Header.Get(api.HeaderEntry)),
	}
}

func withDeadline(ctx context.Context, value string) (context.Context, context.CancelFunc) {
	deadline, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// refusalFor returns the refusal of a request that was not sent to the back end.
func refusalFor(reason admission.Reason) *wire.Refusal {
	refusal := &wire.Refusal{
		Code:    api.CodeNoCapacity,
		Message: "the agent refused the request: " + string(reason),
		Run:     wire.Run_RUN_NOT_RUN,
	}
	switch reason {
	case admission.ReasonLeaving:
		refusal.Code = api.CodeLeaving
	case admission.ReasonOutOfService:
		refusal.Code = api.CodeFailureDomainOut
	case admission.ReasonVersion:
		refusal.Code = api.CodeVersionNotComplete
	default:
		refusal.RetryAfterMillis = uint32(fullRetryAfter.Milliseconds())
	}
	return refusal
}
