package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-resty/resty/v2"

	"github.com/guavatrestle/guavatrestle/protocol/api"
)

const adminRoot = "/admin/v1"

// client calls the admin API of an entry.
type client struct{ http *resty.Client }

// refused is an answer of the admin API other than success.
type refused struct {
	status int
	api.AdminRefusal
}

// Error implements error.
func (r *refused) Error() string {
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
		return append(lines, changeLines("your edit against the current version", c.CurrentToEdit)...)
	}
	lines = append(lines, changeLines("changed by others since", c.BaseToCurrent)...)
	return append(lines, changeLines("changed by your edit", c.BaseToEdit)...)
}

// client returns a client for the server that flags or environment name.
func (a *app) client() (*client, error) {
	server, token := a.server, a.token
	if server == "" {
		server = a.getenv(envServer)
	}
	if token == "" {
		token = a.getenv(envToken)
	}
	if server == "" {
		return nil, badInput{errors.New("no server: set --server or " + envServer)}
	}
	if token == "" {
		return nil, badInput{errors.New("no token: set --token or " + envToken)}
	}
	http := resty.New().SetBaseURL(strings.TrimSuffix(server, "/") + adminRoot).SetAuthToken(token).SetTimeout(a.timeout)
	return &client{http: http}, nil
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
		r := &refused{status: response.StatusCode()}
		if json.Unmarshal(response.Body(), &r.AdminRefusal) != nil {
			r.Message = "the response is not from an admin API"
		}
		return r
	}
	if err := json.Unmarshal(response.Body(), out); err != nil {
		return fmt.Errorf("decode the response of the admin API: %w", err)
	}
	return nil
}
