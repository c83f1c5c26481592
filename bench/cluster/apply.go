package cluster

import (
	"github.com/go-resty/resty/v2"
	"github.com/rotisserie/eris"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

// Apply sends a settings document to an entry's admin API.
func Apply(entry *Process, path string, base uint64, body any) (settings.Document, error) {
	var doc settings.Document
	response, err := resty.New().R().
		SetAuthToken(AdminToken).
		SetBody(map[string]any{"base_version": base, "body": body}).
		SetResult(&doc).
		SetError(&api.Refusal{}).
		Put(entry.URL() + "/admin/v1/settings" + path)
	if err != nil {
		return doc, eris.Wrapf(err, "apply %s", path)
	}
	if response.IsError() {
		return doc, eris.Errorf("apply %s: status %d: %s", path, response.StatusCode(), response.String())
	}
	return doc, nil
}
