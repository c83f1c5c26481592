package platform

import (
	"context"

	"github.com/go-resty/resty/v2"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// HostListClient implements platform.HostList over HTTP.
type HostListClient struct {
	client *resty.Client
}

var _ platform.HostList = (*HostListClient)(nil)

// NewHostListClient returns a client for the host list at baseURL.
func NewHostListClient(baseURL string) *HostListClient {
	return &HostListClient{client: resty.New().SetBaseURL(baseURL).SetTimeout(callTimeout)}
}

// Hosts implements platform.HostList.
func (c *HostListClient) Hosts(ctx context.Context) ([]core.Host, error) {
	var hosts []core.Host
	resp, err := c.client.R().SetContext(ctx).SetResult(&hosts).Get("/v1/hosts")
	if err != nil {
		return nil, protocol.Wrap(protocol.CodeUnavailable, err, "read the host list")
	}
	if err := statusError(resp, protocol.CodeUnavailable); err != nil {
		return nil, err
	}
	return hosts, nil
}
