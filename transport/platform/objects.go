package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/transport/httphead"
	"github.com/guavatrestle/guavatrestle/transport/netdial"
)

const (
	apiVersion = "guavatrestle.io/v1"
	// callTimeout bounds one call. The object API normally responds within milliseconds.
	callTimeout = 3 * time.Second
)

type metadata struct {
	Name            string            `json:"name"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Labels          map[string]string `json:"labels,omitempty"`
}

type resource struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec"`
}

type resourceList struct {
	Metadata metadata   `json:"metadata"`
	Items    []resource `json:"items"`
}

type watchEvent struct {
	Type   string   `json:"type"`
	Object resource `json:"object"`
}

// maxResponseBytes bounds a response of the platform, such as a page of objects or a range of weights.
const maxResponseBytes = 64 << 20

// newClient returns a client of the platform at baseURL whose responses are bounded.
func newClient(baseURL string) *resty.Client {
	client := resty.New().SetBaseURL(baseURL).SetResponseBodyLimit(maxResponseBytes)
	if base, ok := client.GetClient().Transport.(*http.Transport); ok {
		base.MaxResponseHeaderBytes = netdial.MaxHeadBytes
	}
	httphead.CheckResponses(client.GetClient())
	return client
}

// ObjectClient implements platform.ObjectStore over the REST interface of the object API.
type ObjectClient struct {
	client      *resty.Client
	watchClient *resty.Client
	pathPrefix  string
	breaker     *circuitBreaker
}

var _ platform.ObjectStore = (*ObjectClient)(nil)

// NewObjectClient returns a client for the object API at baseURL.
func NewObjectClient(baseURL, namespace string) *ObjectClient {
	return &ObjectClient{
		client:      newClient(baseURL).SetTimeout(callTimeout),
		watchClient: newClient(baseURL),
		pathPrefix:  fmt.Sprintf("/apis/%s/namespaces/%s", apiVersion, namespace),
		breaker:     newCircuitBreaker(),
	}
}

// Get implements platform.ObjectStore.
func (c *ObjectClient) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	var out resource
	err := c.breaker.do("get", kind, func() error {
		resp, err := c.client.R().SetContext(ctx).SetResult(&out).Get(c.resourcePath(kind, name))
		return readError(resp, err)
	})
	if err != nil {
		return platform.Object{}, err
	}
	return fromResource(kind, out), nil
}

// List implements platform.ObjectStore.
func (c *ObjectClient) List(ctx context.Context, kind platform.Kind, selector string) (platform.ObjectList, error) {
	var out resourceList
	request := c.client.R().SetContext(ctx).SetResult(&out)
	if selector != "" {
		request.SetQueryParam("labelSelector", selector)
	}
	err := c.breaker.do("list", kind, func() error {
		resp, err := request.Get(c.resourcePath(kind, ""))
		return readError(resp, err)
	})
	if err != nil {
		return platform.ObjectList{}, err
	}
	list := platform.ObjectList{Version: out.Metadata.ResourceVersion}
	for _, item := range out.Items {
		list.Items = append(list.Items, fromResource(kind, item))
	}
	return list, nil
}

// Create implements platform.ObjectStore.
func (c *ObjectClient) Create(ctx context.Context, object platform.Object) (platform.Object, error) {
	var out resource
	object.Version = ""
	err := c.breaker.do("create", object.Kind, func() error {
		resp, err := c.client.R().SetContext(ctx).SetBody(toResource(object)).SetResult(&out).Post(c.resourcePath(object.Kind, ""))
		return writeError(resp, err)
	})
	if err != nil {
		return platform.Object{}, err
	}
	return fromResource(object.Kind, out), nil
}

// Update implements platform.ObjectStore.
func (c *ObjectClient) Update(ctx context.Context, object platform.Object) (platform.Object, error) {
	var out resource
	err := c.breaker.do("update", object.Kind, func() error {
		resp, err := c.client.R().SetContext(ctx).SetBody(toResource(object)).SetResult(&out).
			Put(c.resourcePath(object.Kind, object.Name))
		return writeError(resp, err)
	})
	if err != nil {
		return platform.Object{}, err
	}
	return fromResource(object.Kind, out), nil
}

// Delete implements platform.ObjectStore.
func (c *ObjectClient) Delete(ctx context.Context, kind platform.Kind, name, version string) error {
	body := map[string]any{"preconditions": map[string]string{"resourceVersion": version}}
	return c.breaker.do("delete", kind, func() error {
		resp, err := c.client.R().SetContext(ctx).SetBody(body).Delete(c.resourcePath(kind, name))
		return writeError(resp, err)
	})
}

// Watch implements platform.ObjectStore.
func (c *ObjectClient) Watch(ctx context.Context, kind platform.Kind, sinceVersion string) (<-chan platform.Event, error) {
	var resp *resty.Response
	err := c.breaker.do("watch", kind, func() (err error) {
		resp, err = c.watchClient.R().SetContext(ctx).SetDoNotParseResponse(true).
			SetQueryParam("watch", "true").SetQueryParam("resourceVersion", sinceVersion).Get(c.resourcePath(kind, ""))
		return readError(resp, err)
	})
	if err != nil {
		if resp != nil && resp.RawBody() != nil {
			_ = resp.RawBody().Close()
		}
		return nil, err
	}
	events := make(chan platform.Event)
	go func() {
		defer close(events)
		defer func() { _ = resp.RawBody().Close() }()
		decoder := json.NewDecoder(resp.RawBody())
		for {
			var event watchEvent
			if decoder.Decode(&event) != nil || event.Type == "ERROR" {
				return
			}
			out := platform.Event{Type: platform.EventType(event.Type), Object: fromResource(kind, event.Object)}
			select {
			case events <- out:
			case <-ctx.Done():
				return
			}
		}
	}()
	return events, nil
}

func (c *ObjectClient) resourcePath(kind platform.Kind, name string) string {
	if name == "" {
		return c.pathPrefix + "/" + string(kind)
	}
	return c.pathPrefix + "/" + string(kind) + "/" + name
}

func toResource(o platform.Object) resource {
	return resource{
		APIVersion: apiVersion,
		Kind:       kindNames[o.Kind],
		Metadata:   metadata{Name: o.Name, ResourceVersion: o.Version, Labels: o.Labels},
		Spec:       o.Spec,
	}
}

func fromResource(kind platform.Kind, r resource) platform.Object {
	return platform.Object{
		Kind:    kind,
		Name:    r.Metadata.Name,
		Version: r.Metadata.ResourceVersion,
		Labels:  r.Metadata.Labels,
		Spec:    r.Spec,
	}
}

var kindNames = map[platform.Kind]string{
	platform.KindSetting:      "Setting",
	platform.KindPermit:       "Permit",
	platform.KindClaimSegment: "ClaimSegment",
}

// readError converts the result of a read into an error with a protocol code.
func readError(resp *resty.Response, err error) error {
	if err != nil {
		return protocol.Wrap(protocol.CodeUnavailable, err, "call the platform API")
	}
	return statusError(resp, protocol.CodeUnavailable)
}

// writeError converts the result of a write into an error with a protocol code. A write without a response may have taken
// effect unless the connection could not be opened.
func writeError(resp *resty.Response, err error) error {
	if err == nil {
		return statusError(resp, protocol.CodeOutcomeUnknown)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return protocol.Wrap(protocol.CodeUnavailable, err, "connect to the object API")
	}
	return protocol.Wrap(protocol.CodeOutcomeUnknown, err, "write to the object API")
}

func statusError(resp *resty.Response, serverFailure protocol.Code) error {
	if resp.IsSuccess() {
		return nil
	}
	e := protocol.Errorf(protocol.CodeOfStatus(resp.StatusCode(), serverFailure), "platform API returned status %d", resp.StatusCode())
	e.RetryAfter, _ = headers.RetryAfter(resp.Header())
	return e
}
