package entry

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/routing"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

const servicePrefix = "/services/"

// Handler serves the callers' API.
type Handler struct {
	cfg       config.Entry
	self      core.Host
	settings  *table.Settings
	upstreams *table.Upstreams
	agents    *http.Client
	now       func() time.Time
	log       *logrus.Entry

	randomMu sync.Mutex
	random   *rand.Rand
}

// Parts are the parts that a Handler works with.
type Parts struct {
	Config    config.Entry
	Self      core.Host
	Settings  *table.Settings
	Upstreams *table.Upstreams
	Random    *rand.Rand
	Now       func() time.Time
	Log       *logrus.Entry
}

// NewHandler returns a Handler.
func NewHandler(p Parts) *Handler {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &Handler{
		cfg:       p.Config,
		self:      p.Self,
		settings:  p.Settings,
		upstreams: p.Upstreams,
		agents:    &http.Client{Transport: &http.Transport{Protocols: protocols, HTTP2: server.HTTP2()}},
		random:    p.Random,
		now:       p.Now,
		log:       p.Log,
	}
}

// Register adds the callers' API to mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", h.serveModel)
	mux.HandleFunc("POST /v1/completions", h.serveModel)
	mux.HandleFunc(servicePrefix, h.serveService)
}

// Close releases idle connections.
func (h *Handler) Close() { h.agents.CloseIdleConnections() }

func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request) {
	c, err := h.modelCall(w, r)
	if err != nil {
		transport.WriteError(w, c.id, err)
		return
	}
	h.run(w, r, c)
}

func (h *Handler) serveService(w http.ResponseWriter, r *http.Request) {
	c, err := h.serviceCall(w, r)
	if err != nil {
		transport.WriteError(w, c.id, err)
		return
	}
	h.run(w, r, c)
}

func (h *Handler) modelCall(w http.ResponseWriter, r *http.Request) (call, error) {
	c, team, err := h.newCall(w, r)
	if err != nil {
		return c, err
	}
	var body struct {
		Model core.Model `json:"model"`
	}
	if err := json.Unmarshal(c.body, &body); err != nil {
		return c, transport.Errorf(http.StatusBadRequest, api.CodeBadRequest, api.RunNotRun, "body is not valid JSON: %v", err)
	}
	for _, m := range team.Models {
		if m.Name == body.Model {
			c.model = m.Name
			c.repeatable = true
			c.route = routing.Request{Upstream: m.Upstream, Digest: m.VersionDigest, FailureDomains: team.FailureDomains}
			return c, nil
		}
	}
	return c, transport.Errorf(http.StatusNotFound, api.CodeUnknownModel, api.RunNotRun, "team %q has no model %q", c.team, body.Model)
}

func (h *Handler) serviceCall(w http.ResponseWriter, r *http.Request) (call, error) {
	c, team, err := h.newCall(w, r)
	if err != nil {
		return c, err
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	c.path = "/" + path
	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}
	for _, s := range team.Services {
		if string(s.Upstream) == name {
			c.repeatable = s.Repeatable
			c.route = routing.Request{Upstream: s.Upstream, FailureDomains: team.FailureDomains}
			return c, nil
		}
	}
	return c, transport.Errorf(http.StatusNotFound, api.CodeUnknownUpstream, api.RunNotRun, "team %q has no service %q", c.team, name)
}

func (h *Handler) newCall(w http.ResponseWriter, r *http.Request) (call, settings.TeamSettings, error) {
	c := call{
		id:          core.RequestID(uuid.NewString()),
		method:      r.Method,
		path:        r.URL.Path,
		contentType: r.Header.Get("Content-Type"),
		deadline:    h.now().Add(h.cfg.RequestTimeout),
	}
	tree := h.settings.Tree()
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	team, ok := tree.TeamByToken(token)
	if !ok {
		return c, settings.TeamSettings{}, transport.Errorf(http.StatusUnauthorized, api.CodeUnauthorized, api.RunNotRun, "no team has this bearer token")
	}
	c.team = team
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.cfg.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return c, settings.TeamSettings{}, transport.Errorf(http.StatusRequestEntityTooLarge, api.CodeBodyTooLarge, api.RunNotRun, "body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return c, settings.TeamSettings{}, transport.Errorf(http.StatusBadRequest, api.CodeBadRequest, api.RunNotRun, "read body: %v", err)
	}
	c.body = body
	return c, tree.Teams[team], nil
}
