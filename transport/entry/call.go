package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/routing"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/transport"
)

// call is one request of a caller with its settings.
type call struct {
	id          core.RequestID
	team        core.Team
	model       core.Model
	route       routing.Request
	method      string
	path        string
	contentType string
	body        []byte
	deadline    time.Time
	weight      int
	queueLength int
	// key is the caller's idempotency key; empty when there is none.
	key string
	// repeatable is set when the call may be sent again although an earlier attempt may have run.
	repeatable bool
	// claimed is set when the idempotency key is claimed for this call.
	claimed bool
}

// parseModelCall parses a request for a model. Completions have no side effects, so they are repeatable.
func (h *Handler) parseModelCall(w http.ResponseWriter, r *http.Request, id core.RequestID) (call, error) {
	c, team, err := h.newCall(w, r, id)
	if err != nil {
		return c, err
	}
	var body struct {
		Model    core.Model      `json:"model"`
		Prompt   json.RawMessage `json:"prompt"`
		Messages json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(c.body, &body); err != nil {
		return c, badRequest("request body is not valid JSON: %v", err)
	}
	for _, m := range team.Models {
		if m.Name != body.Model {
			continue
		}
		c.model = m.Name
		c.repeatable = true
		c.route = routing.Request{
			Upstream:       m.Upstream,
			Digest:         m.VersionDigest,
			NeedsVersion:   true,
			FailureDomains: team.FailureDomains,
			Affinity:       routing.AffinityOf(c.team, m.Name, append(body.Messages, body.Prompt...)),
		}
		return c, nil
	}
	return c, transport.Errorf(http.StatusNotFound, api.CodeUnknownModel, api.RunNotRun, "team %q has no model %q", c.team, body.Model)
}

// parseServiceCall parses a request for a service; the service's settings determine whether its calls are repeatable.
func (h *Handler) parseServiceCall(w http.ResponseWriter, r *http.Request, id core.RequestID) (call, error) {
	c, team, err := h.newCall(w, r, id)
	if err != nil {
		return c, err
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	c.path = "/" + path
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	for _, s := range team.Services {
		if string(s.Upstream) != name {
			continue
		}
		c.repeatable = s.Repeatable
		c.route = routing.Request{Upstream: s.Upstream, FailureDomains: team.FailureDomains}
		return c, nil
	}
	return c, transport.Errorf(http.StatusNotFound, api.CodeUnknownUpstream, api.RunNotRun, "team %q has no service %q", c.team, name)
}

// newCall authenticates the caller, checks the headers, takes a rate token of the team and reads the body.
func (h *Handler) newCall(w http.ResponseWriter, r *http.Request, id core.RequestID) (call, settings.TeamSettings, error) {
	c := call{
		id:          id,
		method:      r.Method,
		path:        r.URL.Path,
		contentType: r.Header.Get("Content-Type"),
		key:         r.Header.Get(api.HeaderIdempotencyKey),
	}
	tree := h.settings.Tree()
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	name, ok := tree.TeamByToken(token)
	if !ok {
		return c, settings.TeamSettings{}, transport.Errorf(http.StatusUnauthorized, api.CodeUnauthorized, api.RunNotRun, "bearer token belongs to no team")
	}
	team := tree.Teams[name]
	c.team, c.weight, c.queueLength = name, team.Weight, team.Limits.QueueLength
	timeout, err := h.timeout(r.Header.Get(headerTimeout))
	if err != nil {
		return c, team, err
	}
	c.deadline = h.now().Add(timeout)
	if err := checkKey(c.key); err != nil {
		return c, team, err
	}
	if err := h.takeRateToken(name, team.Limits); err != nil {
		return c, team, err
	}
	c.body, err = h.readBody(w, r, timeout)
	return c, team, err
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) ([]byte, error) {
	transport.BoundBody(w, timeout)
	body, err := io.ReadAll(transport.LimitBody(w, r.Body, h.cfg.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, transport.Errorf(http.StatusRequestEntityTooLarge, api.CodeBodyTooLarge, api.RunNotRun, "request body is larger than %d bytes", tooLarge.Limit)
	}
	if transport.BodyTimedOut(err) {
		return nil, transport.Errorf(http.StatusGatewayTimeout, api.CodeDeadlineExceeded, api.RunNotRun,
			"the request body did not arrive before the deadline")
	}
	if err != nil {
		return nil, badRequest("read request body: %v", err)
	}
	transport.UnboundBody(w)
	return body, nil
}

// timeout returns the caller's time limit in seconds from the header, but at most the configured one.
func (h *Handler) timeout(header string) (time.Duration, error) {
	if header == "" {
		return h.cfg.RequestTimeout, nil
	}
	seconds, err := strconv.ParseFloat(header, 64)
	if err != nil || !(seconds > 0) {
		return 0, badRequest("header %s is %q, want a positive number of seconds", headerTimeout, header)
	}
	if seconds >= h.cfg.RequestTimeout.Seconds() {
		return h.cfg.RequestTimeout, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func checkKey(key string) error {
	if len(key) > maxKeyBytes {
		return badRequest("header %s is longer than %d bytes", api.HeaderIdempotencyKey, maxKeyBytes)
	}
	return nil
}

func badRequest(format string, args ...any) error {
	return transport.Errorf(http.StatusBadRequest, api.CodeBadRequest, api.RunNotRun, format, args...)
}
