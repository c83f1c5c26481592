package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/transport/httphead"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
)

// Headers of a load order.
const (
	headerModel   = "Engine-Model"
	headerDigest  = "Engine-Digest"
	headerContent = "Engine-Content"
	headerFencing = "Engine-Fencing-Token"
)

// StatusTimeout bounds one status read. A slower engine counts as having missed a report.
const StatusTimeout = 2 * time.Second

// EngineClient implements platform.Engine over HTTP.
type EngineClient struct {
	base          *url.URL
	statusClient  *resty.Client
	loadClient    *resty.Client
	callTransport http.RoundTripper
}

var _ platform.Engine = (*EngineClient)(nil)

// NewEngineClient returns a client for the back end at baseURL. Calls are sent with the given transport.
func NewEngineClient(baseURL string, callTransport http.RoundTripper) (*EngineClient, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return nil, eris.Wrap(err, "parse engine URL")
	}
	return &EngineClient{
		base:          base,
		statusClient:  newStatusClient(baseURL),
		loadClient:    newClient(baseURL),
		callTransport: callTransport,
	}, nil
}

// newStatusClient returns a client that opens a new connection for each read. On a reused connection, a process that no
// longer accepts connections could report its boot ID after its successor has taken over the address.
func newStatusClient(baseURL string) *resty.Client {
	return newClient(baseURL).
		SetTransport(httphead.NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: netdial.MaxHeadBytes})).
		SetTimeout(StatusTimeout)
}

// Status implements platform.Engine.
func (c *EngineClient) Status(ctx context.Context) (platform.EngineStatus, error) {
	var status platform.EngineStatus
	resp, err := c.statusClient.R().SetContext(ctx).SetResult(&status).Get("/engine/status")
	if err := readError(resp, err); err != nil {
		return platform.EngineStatus{}, err
	}
	return status, nil
}

// Load implements platform.Engine.
func (c *EngineClient) Load(ctx context.Context, order platform.LoadOrder) error {
	resp, err := c.loadClient.R().SetContext(ctx).
		SetHeader(headerModel, string(order.Model)).
		SetHeader(headerDigest, string(order.Digest)).
		SetHeader(headerContent, string(order.Content)).
		SetHeader(headerFencing, strconv.FormatUint(order.FencingToken, 10)).
		SetHeader("Content-Length", strconv.FormatInt(order.Size, 10)).
		SetHeader("Content-Type", "application/octet-stream").
		SetBody(order.Weights).
		Post("/engine/load")
	if err != nil {
		return protocol.Wrap(protocol.CodeOutcomeUnknown, err, "send load order")
	}
	if resp.StatusCode() == http.StatusConflict || resp.StatusCode() == http.StatusUnprocessableEntity {
		return protocol.Errorf(protocol.CodeRefused, "engine refused the load order: %s", resp.String())
	}
	return statusError(resp, protocol.CodeOutcomeUnknown)
}

// Call implements platform.Engine.
//
// It follows no redirects and clears GetBody, so that the transport can't resend the request.
func (c *EngineClient) Call(ctx context.Context, request *http.Request) (*http.Response, error) {
	out := request.Clone(ctx)
	out.URL.Scheme = c.base.Scheme
	out.URL.Host = c.base.Host
	out.Host = c.base.Host
	out.RequestURI = ""
	out.GetBody = nil
	response, err := c.callTransport.RoundTrip(out)
	if err != nil {
		return nil, protocol.Wrap(protocol.CodeUnavailable, err, "send request to the back end")
	}
	return response, nil
}
