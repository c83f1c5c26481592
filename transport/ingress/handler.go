package ingress

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/holding"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport"
	"github.com/guavatrestle/guavatrestle/transport/held"
)

const (
	bearerPrefix = "Bearer "
	// maxPriority is the highest priority value that back ends accept.
	maxPriority = 9
	// maxDeadline bounds the deadline of a caller.
	maxDeadline = 24 * time.Hour
	// defaultTimeout bounds a request if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
)

// Handler is the HTTP handler for requests of callers.
type Handler struct {
	Dependencies
	router *Router
	log    *requestLog
	// brokenLog has the attempts that broke after they were sent. Their limit is their own, so that they are not left out when many
	// requests are refused at the same time.
	brokenLog *requestLog
}

// NewHandler returns a Handler that chooses replicas with router.
func NewHandler(deps Dependencies, router *Router) *Handler {
	if deps.Closing == nil {
		deps.Closing = context.Background()
	}
	if deps.Held == nil {
		deps.Held = held.New(holding.Config{Buffered: deps.Config.MaxBufferedBytes}, time.Now)
	}
	return &Handler{
		Dependencies: deps, router: router, log: newRequestLog(deps.Log, deps.Now), brokenLog: newRequestLog(deps.Log, deps.Now),
	}
}

// View returns the current view of the fleet, or nil before there is one.
func (h *Handler) View() *fleet.View {
	view, _ := h.Current()
	return view
}

// Age returns the time since the store last confirmed the configuration of the current view.
func (h *Handler) Age() time.Duration {
	_, age := h.Current()
	return age
}

// Ready reports whether the host should receive requests, with the reason if not.
func (h *Handler) Ready() (bool, string) {
	switch {
	case h.Leaving():
		return false, "leaving"
	case !h.View().Ready():
		return false, "no configuration yet"
	case h.Config.MaxReadyAge > 0 && h.Age() > h.Config.MaxReadyAge:
		return false, "configuration not confirmed by the store"
	case h.Quarantine != nil && !h.Quarantine.known():
		return false, "prompt parts in quarantine not known yet"
	case h.Behind != nil && h.Behind():
		return false, "processor falls behind"
	}
	return true, ""
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	varRequests.Add(1)
	view, viewAge := h.Current()
	c := &call{
		h:       h,
		w:       w,
		r:       r,
		id:      core.RequestID(r.Header.Get(h.Headers.RequestID)),
		arrived: h.Now(),
		view:    view,
		viewAge: viewAge,

		promptParts: h.Headers.PromptParts(r.Header),
	}
	c.held = h.Held.Open(holding.Caller{Connection: r.RemoteAddr}, c.endForMemory)
	c.buffer = responseBuffer{held: c.held, kind: holding.KindResponse}
	c.events = responseBuffer{held: c.held, kind: holding.KindEvents}
	if h.Quarantine != nil {
		c.sharedParts = sharedParts(c.promptParts)
	}
	defer c.finish()
	defer c.recoverRequest()
	if h.Leaving() {
		// Makes the caller open its next connection to another host.
		w.Header().Set("Connection", "close")
	}
	if err := c.prepare(); err != nil {
		c.refuse(err)
		return
	}
	c.serve()
}

// finish counts a request that has ended and releases what it holds.
func (c *call) finish() {
	c.held.Close()
	c.countOutcome()
}

// prepare finds the route, the team and the deadline of a request and reads its body, which must arrive before the deadline.
func (c *call) prepare() *transport.Error {
	if !c.view.Ready() {
		return transport.Errorf(http.StatusServiceUnavailable, api.CodeStoreUnavailable, api.RunNotRun,
			"no configuration has been loaded yet")
	}
	if !c.held.Grow(holding.KindSocket, holding.SocketBytes) {
		return noMemoryError("another request")
	}
	target := requestTarget(c.r)
	path, _, _ := strings.Cut(target, "?")
	c.target = target
	c.route = c.view.Route(hostName(c.r.Host), path)
	if c.route == nil {
		return transport.Errorf(http.StatusNotFound, api.CodeNotFound, api.RunNotRun, "no route for %s%s", c.r.Host, path)
	}
	if err := c.authorize(); err != nil {
		return err
	}
	if err := c.setDeadline(); err != nil {
		return err
	}
	if c.team != nil {
		c.held.SetTeam(string(c.team.Name))
	}
	if c.outlastsStop() {
		return leavingError()
	}
	return c.readBody()
}

// outlastsStop reports whether the process may have to cut off the request because it is about to exit. A stream that has begun goes on:
// the work on it would be lost.
func (c *call) outlastsStop() bool {
	if c.h.StopsAt == nil || c.stream.started {
		return false
	}
	stopsAt := c.h.StopsAt()
	return !stopsAt.IsZero() && c.deadline.After(stopsAt)
}

func leavingError() *transport.Error {
	return transport.Errorf(http.StatusServiceUnavailable, api.CodeLeaving, api.RunNotRun,
		"this host stops before the deadline of the request; another one takes it")
}

// authorize finds the team of a request by its API key. A request without a key is allowed on an anonymous route, and if keys are optional;
// an unknown key is only accepted on an anonymous route, as if it were missing.
func (c *call) authorize() *transport.Error {
	key, present := strings.CutPrefix(c.r.Header.Get("Authorization"), bearerPrefix)
	if present {
		c.team = c.view.Team(key)
	}
	switch {
	case c.team != nil:
	case c.route.Anonymous:
		varAuthorized.Add(string(authorizedByRoute), 1)
		return nil
	case !present && c.view.KeysOptional && !c.h.Config.RequireKeys:
		varAuthorized.Add(string(authorizedWithoutKeys), 1)
		return nil
	}
	if maxAge := c.h.Config.MaxKeyAge; maxAge > 0 && c.viewAge > maxAge {
		// The key may have been revoked since. Another host may have a newer configuration, so the caller should reconnect.
		c.w.Header().Set("Connection", "close")
		return keyAgeError(c.viewAge)
	}
	if c.team == nil {
		return transport.Errorf(http.StatusUnauthorized, api.CodeUnauthorized, api.RunNotRun, "the request has no valid API key")
	}
	varAuthorized.Add(string(authorizedByKey), 1)
	return nil
}

func keyAgeError(age time.Duration) *transport.Error {
	return transport.Errorf(http.StatusServiceUnavailable, api.CodeStoreUnavailable, api.RunNotRun,
		"API keys cannot be checked: the store has not answered for %s", age.Round(time.Millisecond))
}

// setDeadline sets the deadline to the earlier of the caller's deadline and the route's timeout.
func (c *call) setDeadline() *transport.Error {
	limit := c.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if value := c.r.Header.Get(c.h.Headers.Deadline); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms < 0 {
			return transport.Errorf(http.StatusBadRequest, api.CodeBadRequest, api.RunNotRun,
				"header %s: want a number of milliseconds, got %q", c.h.Headers.Deadline, value)
		}
		left := time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
		limit = min(limit, left)
		c.elapsed = c.h.router.elapsed(c.route.Name, left)
		c.late = c.route.Objective > 0 && c.elapsed > c.route.Objective
	}
	c.deadline = c.arrived.Add(limit)
	return nil
}

// replicaHeader returns the request header for a replica, without the fields that differ between attempts.
func (c *call) replicaHeader() http.Header {
	header := c.r.Header.Clone()
	headers.RemoveHopByHop(header)
	names := &c.h.Headers
	for _, name := range []string{
		"Authorization", "Content-Length", "Expect", names.Team, names.ExpectReplica, names.ExpectVersion, names.Priority,
	} {
		delete(header, name)
	}
	if c.view.Configuration.Upstreams[c.upstream].Engine != nil {
		// A caller could otherwise choose which layers run. Services may use a header of that name for something else.
		delete(header, names.LayerPath)
	}
	if c.team != nil {
		header.Set(names.Team, string(c.team.Name))
	}
	header.Set(names.Priority, strconv.Itoa(c.enginePriority()))
	return header
}

func (c *call) priority() int {
	if c.team != nil && c.team.HasPriority {
		return c.team.Priority
	}
	return c.route.Priority
}

// requestTarget returns the path and query exactly as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// hostName returns the value of a Host header without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// teamRegions returns the regions to which a team's requests are restricted; an empty list allows all.
func teamRegions(team *fleet.Team) []core.Region {
	if team == nil {
		return nil
	}
	return team.HomeRegions
}
