package platform

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/go-resty/resty/v2"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// HostListClient implements platform.HostList over HTTP.
type HostListClient struct {
	client *resty.Client

	// mu guards the last list and its ETag, which makes the server omit an unchanged list.
	mu    sync.Mutex
	etag  string
	hosts []core.Host
}

var _ platform.HostList = (*HostListClient)(nil)

// NewHostListClient returns a client for the host list at baseURL.
func NewHostListClient(baseURL string) *HostListClient {
	return &HostListClient{client: newClient(baseURL).SetTimeout(callTimeout)}
}

// Hosts implements platform.HostList.
func (c *HostListClient) Hosts(ctx context.Context) ([]core.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []core.Host
	request := c.client.R().SetContext(ctx).SetResult(&hosts)
	if c.etag != "" {
		request.SetHeader("If-None-Match", c.etag)
	}
	resp, err := request.Get("/v1/hosts")
	if err != nil {
		return nil, protocol.Wrap(protocol.CodeUnavailable, err, "read the host list")
	}
	if resp.StatusCode() == http.StatusNotModified {
		return slices.Clone(c.hosts), nil
	}
	if err := statusError(resp, protocol.CodeUnavailable); err != nil {
		return nil, err
	}
	c.etag, c.hosts = resp.Header().Get("ETag"), hosts
	return slices.Clone(hosts), nil
}
