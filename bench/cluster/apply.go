package cluster

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/go-resty/resty/v2"
	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// ApplyError reports that the admin API refused an edit.
type ApplyError struct {
	Path    string
	Status  int
	Refusal api.Refusal
}

// Error implements error.
func (e *ApplyError) Error() string {
	return fmt.Sprintf("apply %s: status %d, code %q: %s", e.Path, e.Status, e.Refusal.Code, e.Refusal.Message)
}

// RetireDocument replaces a settings document by a tombstone; base is the version of the document to retire.
func RetireDocument(ctx context.Context, entry *Process, path string, base uint64) error {
	var refusal api.Refusal
	response, err := entry.restyClient().R().
		SetContext(ctx).
		SetAuthToken(AdminToken).
		SetQueryParam("base_version", strconv.FormatUint(base, 10)).
		SetError(&refusal).
		Delete(entry.URL() + "/admin/v1/settings" + path)
	if err != nil {
		return eris.Wrapf(err, "retire %s", path)
	}
	if response.IsError() {
		return &ApplyError{Path: path, Status: response.StatusCode(), Refusal: refusal}
	}
	return nil
}

// ApplyDocument writes a settings document through an entry's admin API; base is the version that the edit is based on.
func ApplyDocument(ctx context.Context, entry *Process, path string, base uint64, body any) (settings.Document, error) {
	var doc settings.Document
	var refusal api.Refusal
	response, err := entry.restyClient().R().
		SetContext(ctx).
		SetAuthToken(AdminToken).
		SetBody(map[string]any{"base_version": base, "body": body}).
		SetResult(&doc).
		SetError(&refusal).
		Put(entry.URL() + "/admin/v1/settings" + path)
	if err != nil {
		return doc, eris.Wrapf(err, "apply %s", path)
	}
	if response.IsError() {
		return doc, &ApplyError{Path: path, Status: response.StatusCode(), Refusal: refusal}
	}
	return doc, nil
}

// ReadRollouts reads the rollout status from an entry's admin API.
func ReadRollouts(ctx context.Context, entry *Process) (api.RolloutStatus, error) {
	var status api.RolloutStatus
	response, err := entry.restyClient().R().
		SetContext(ctx).
		SetAuthToken(AdminToken).
		SetResult(&status).
		Get(entry.URL() + "/admin/v1/rollouts")
	if err != nil {
		return status, eris.Wrap(err, "read rollout status")
	}
	if response.IsError() {
		return status, eris.Errorf("read rollout status: status %d", response.StatusCode())
	}
	return status, nil
}

// restyClient returns a resty client that uses the process's transport. It gets its own http.Client, because resty modifies
// the client that it is given.
func (p *Process) restyClient() *resty.Client {
	base := p.client.Transport
	if base == nil {
		base = http.DefaultTransport
	}
	return resty.NewWithClient(&http.Client{Transport: base})
}
