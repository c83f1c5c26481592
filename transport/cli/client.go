package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/go-resty/resty/v2"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/transport/httphead"
)

const adminRoot = "/admin/v1"

// client calls the admin API of an entry.
type client struct{ http *resty.Client }

// refusalError is a response of the admin API with a status other than 200.
type refusalError struct {
	status int
	api.AdminRefusal
}

// Error implements error.
func (r *refusalError) Error() string {
	lines := []string{fmt.Sprintf("refused with status %d (%s): %s", r.status, r.Code, r.Message)}
	for _, p := range r.Problems {
		lines = append(lines, p.String())
	}
	if r.Conflict != nil {
		lines = append(lines, conflictLines(*r.Conflict)...)
	}
	if r.RequestID != "" {
		lines = append(lines, "request id "+r.RequestID)
	}
	return strings.Join(lines, "\n")
}

func conflictLines(c api.Conflict) []string {
	lines := []string{fmt.Sprintf("%s: based on version %d, current is %d", c.Path, c.BaseVersion, c.CurrentVersion)}
	if !c.BaseHeld {
		return append(lines, changeLines("your edit compared with the current version", c.CurrentToEdit)...)
	}
	lines = append(lines, changeLines("changed by others since", c.BaseToCurrent)...)
	return append(lines, changeLines("changed by your edit", c.BaseToEdit)...)
}

// client returns a client for the server named by the flags or the environment.
func (a *app) client() (*client, error) {
	server, token := a.server, a.token
	if server == "" {
		server = a.getenv(envServer)
	}
	if token == "" {
		token = a.getenv(envToken)
	}
	if server == "" {
		return nil, inputError{errors.New("no server: set --server or " + envServer)}
	}
	if token == "" {
		return nil, inputError{errors.New("no token: set --token or " + envToken)}
	}
	restClient := resty.New().SetBaseURL(strings.TrimSuffix(server, "/") + adminRoot).SetAuthToken(token).SetTimeout(a.timeout)
	if a.ca != "" {
		if _, err := os.Stat(a.ca); err != nil {
			return nil, inputError{err}
		}
		restClient.SetRootCertificate(a.ca)
	}
	httphead.CheckResponses(restClient.GetClient())
	return &client{http: restClient}, nil
}

// call sends one request and decodes its response into out.
func (a *app) call(ctx context.Context, method, path string, body, out any) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	request := c.http.R().SetContext(ctx)
	if body != nil {
		request.SetBody(body)
	}
	response, err := request.Execute(method, path)
	if err != nil {
		return fmt.Errorf("call the admin API: %w", err)
	}
	if response.StatusCode() != http.StatusOK {
		refusal := &refusalError{status: response.StatusCode()}
		if json.Unmarshal(response.Body(), &refusal.AdminRefusal) != nil {
			refusal.Message = "the response body is not an admin API error"
		}
		return refusal
	}
	if err := json.Unmarshal(response.Body(), out); err != nil {
		return fmt.Errorf("decode the response of the admin API: %w", err)
	}
	return nil
}
