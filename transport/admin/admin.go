// Package admin serves the admin API for operators and team administrators on the entries.
package admin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
)

// Routes of the admin API.
const (
	routeSettings       = "/admin/v1/settings"
	routeHistory        = "/admin/v1/history"
	routeDiff           = "/admin/v1/diff"
	routeFailureDomains = "/admin/v1/failure-domains"
	routeRollouts       = "/admin/v1/rollouts"
	routeStatus         = "/admin/v1/status"
	routeDump           = "/admin/v1/dump"
)

// Dependencies holds the store, tables, token hashes, clock and log that a Handler uses.
type Dependencies struct {
	Self      core.Host
	Store     platform.ObjectStore
	Settings  *table.Settings
	Members   *table.Members
	Upstreams *table.Upstreams
	// TokenHashes are the hashes of the bearer tokens that authenticate operators.
	TokenHashes []core.Digest
	// OnAccepted is called with each document that an edit accepted here has created or changed; it may be nil.
	OnAccepted func(ctx context.Context, documents []settings.Document)
	Now        func() time.Time
	Log        *logrus.Entry
}

// Handler serves the admin API.
type Handler struct {
	Dependencies
	editor *editor
	auth   *authenticator

	estimatesMu sync.Mutex
	estimates   map[core.Upstream]*transfer.Estimate
}

// NewHandler returns a Handler.
func NewHandler(deps Dependencies) *Handler {
	if deps.OnAccepted == nil {
		deps.OnAccepted = func(context.Context, []settings.Document) {}
	}
	return &Handler{
		Dependencies: deps,
		estimates:    make(map[core.Upstream]*transfer.Estimate),
		editor:       &editor{store: deps.Store, table: deps.Settings, now: deps.Now, newNonce: uuid.NewString},
		auth:         newAuthenticator(deps.Settings, deps.TokenHashes, deps.Now),
	}
}

// Register adds the routes of the admin API to mux.
func (h *Handler) Register(mux *http.ServeMux) {
	team, operator := h.anyRole, h.operatorOnly
	mux.HandleFunc("GET "+routeSettings, team(h.list))
	mux.HandleFunc("GET "+routeSettings+"/{path...}", team(h.get))
	mux.HandleFunc("PUT "+routeSettings+"/{path...}", team(h.apply))
	mux.HandleFunc("DELETE "+routeSettings+"/{path...}", operator(h.retire))
	mux.HandleFunc("GET "+routeHistory+"/{path...}", team(h.history))
	mux.HandleFunc("GET "+routeDiff+"/{path...}", team(h.diff))
	mux.HandleFunc("POST "+routeFailureDomains+"/{name}/state", operator(h.setFailureDomain))
	mux.HandleFunc("GET "+routeRollouts, operator(h.rollouts))
	mux.HandleFunc("GET "+routeStatus, operator(h.status))
	mux.HandleFunc("GET "+routeDump, operator(h.dump))
}

// call is a request with its principal.
type call struct {
	w         http.ResponseWriter
	r         *http.Request
	principal principal
	id        core.RequestID
	path      string
}

type endpoint func(c call) (any, error)

// anyRole permits operators to access every path and team administrators to access the path of their team.
func (h *Handler) anyRole(next endpoint) http.HandlerFunc {
	return h.serve(func(c call) (any, error) {
		if c.r.PathValue("path") != "" && !c.principal.canAccess(c.path) {
			return nil, forbidden("the token only grants access to %s", settings.TeamPath(c.principal.team))
		}
		return next(c)
	})
}

func (h *Handler) operatorOnly(next endpoint) http.HandlerFunc {
	return h.serve(func(c call) (any, error) {
		if !c.principal.operator {
			return nil, forbidden("only an operator may send this request")
		}
		return next(c)
	})
}

// serve returns a handler that authenticates a request, calls next and writes the response.
func (h *Handler) serve(next endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := call{w: w, r: r, id: requestID(r), path: "/" + r.PathValue("path")}
		w.Header().Set("X-Request-Id", string(c.id))
		p, err := h.auth.authenticate(r)
		if err != nil {
			writeError(w, c.id, err)
			return
		}
		c.principal = p
		body, err := next(c)
		if err != nil {
			writeError(w, c.id, err)
			return
		}
		writeBody(w, body)
	}
}

// maxRequestIDLength bounds a request ID from the caller. A longer one is replaced.
const maxRequestIDLength = 64

func requestID(r *http.Request) core.RequestID {
	id := r.Header.Get("X-Request-Id")
	if id != "" && len(id) <= maxRequestIDLength {
		return core.RequestID(id)
	}
	return core.RequestID(uuid.NewString())
}
