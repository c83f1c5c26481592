package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// rangeTimeout bounds one range request. The context may set an earlier deadline.
const rangeTimeout = 5 * time.Minute

// WeightClient implements platform.WeightSource over HTTP range requests.
type WeightClient struct {
	client *resty.Client
}

var _ platform.WeightSource = (*WeightClient)(nil)

// NewWeightClient returns a client for the weight source at baseURL.
func NewWeightClient(baseURL string) *WeightClient {
	return &WeightClient{client: newClient(baseURL).SetTimeout(rangeTimeout)}
}

// Manifest implements platform.WeightSource.
func (c *WeightClient) Manifest(ctx context.Context, model core.Model, version string) (platform.ManifestResponse, error) {
	resp, err := c.client.R().SetContext(ctx).Get(weightPath(model, version, "manifest"))
	if err := readError(resp, err); err != nil {
		return platform.ManifestResponse{}, err
	}
	return platform.ManifestResponse{Body: resp.Body(), ETag: resp.Header().Get("ETag")}, nil
}

// Range implements platform.WeightSource.
func (c *WeightClient) Range(ctx context.Context, r platform.RangeRequest) ([]byte, error) {
	resp, err := c.client.R().SetContext(ctx).
		SetHeader("Range", fmt.Sprintf("bytes=%d-%d", r.Start, r.End-1)).
		SetHeader("If-Match", r.ETag).
		Get(weightPath(r.Model, r.Version, "weights"))
	if err == nil && resp.StatusCode() == http.StatusPreconditionFailed {
		return nil, protocol.Errorf(protocol.CodeChanged, "version %s of model %s changed at the weight source", r.Version, r.Model)
	}
	if err := readError(resp, err); err != nil {
		return nil, err
	}
	if int64(len(resp.Body())) != r.End-r.Start {
		return nil, protocol.Errorf(protocol.CodeIncomplete, "weight source sent %d bytes, want %d", len(resp.Body()), r.End-r.Start)
	}
	return resp.Body(), nil
}

func weightPath(model core.Model, version, part string) string {
	return "/models/" + url.PathEscape(string(model)) + "/" + url.PathEscape(version) + "/" + part
}
