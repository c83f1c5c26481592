package ingress_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/holding"
	"github.com/guavatrestle/guavatrestle/protocol/headers"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
	"github.com/guavatrestle/guavatrestle/transport/backend"
	"github.com/guavatrestle/guavatrestle/transport/held"
	"github.com/guavatrestle/guavatrestle/transport/ingress"
)

var names = headers.Names{
	RequestID: "Req-Id", Deadline: "Req-Deadline", Stamp: "Res-Stamp", Team: "Req-Team", ExpectReplica: "Req-Replica",
	ExpectVersion: "Req-Version", Load: "Res-Load", NotRun: "Res-Not-Run", Replica: "Res-Replica", ColdRemaining: "Res-Cold",
	Model: "Req-Model", Priority: "Req-Priority", Leaving: "Res-Leaving", RequestLimit: "Res-Limit",
	PromptPrefix: "Req-Prompt", TokenCounts: "Req-Tokens", LayerPath: "Req-Path",
}.Canonical()

// receivedRequest is a request as a replica received it.
type receivedRequest struct {
	replica fleet.ReplicaID
	header  http.Header
	target  string
	body    string
}

// harness is an entry host with replicas whose responses the test defines.
type harness struct {
	t      *testing.T
	table  *fleet.Table
	router *ingress.Router
	view   atomic.Pointer[fleet.View]
	age    atomic.Int64
	// viewWasRead, if set, is called right after the handler has read the view.
	viewWasRead func()
	leaving     atomic.Bool
	// stopsAt, if set, is the time at which the host stops.
	stopsAt atomic.Pointer[time.Time]
	// close ends the requests that have not ended, as shortly before the exit of the process.
	close context.CancelFunc
	// onAge, if set, is called whenever a request asks for the age of the configuration.
	onAge    atomic.Pointer[func()]
	frontend *httptest.Server
	log      *logtest.Hook

	quarantine *ingress.Quarantine
	held       *held.Account

	mu       sync.Mutex
	requests []receivedRequest
}

func newHarness(t *testing.T, routes ...fleet.Route) *harness {
	t.Helper()
	return newHarnessWith(t, func(*ingress.Config) {}, routes...)
}

// newHarnessWith is newHarness with changed settings.
func newHarnessWith(t *testing.T, change func(*ingress.Config), routes ...fleet.Route) *harness {
	t.Helper()
	return newHarnessHolding(t, holding.ConfigFor(0), change, routes...)
}

// newHarnessHolding is newHarnessWith with limits of held bytes.
func newHarnessHolding(t *testing.T, limits holding.Config, change func(*ingress.Config), routes ...fleet.Route) *harness {
	t.Helper()
	h := &harness{t: t, table: fleet.NewTable(), held: held.New(limits, time.Now)}
	cfg := ingress.DefaultConfig()
	cfg.MaxKeyAge, cfg.MaxReadyAge = 4*time.Second, 3*time.Second
	cfg.FirstEventFactor, cfg.FirstEventMinTimeout = 0, 100*time.Millisecond
	cfg.SilentTimeout, cfg.StallMinTimeout = 100*time.Millisecond, 200*time.Millisecond
	cfg.CapacityWaitShare = 0
	cfg.OldVersionGrace, cfg.OldVersionIdleOnlyAfter, cfg.OldVersionCancelAfter = time.Minute, time.Minute, 30*time.Second
	cfg.Dispatch.Jitter = 0
	change(&cfg)
	closing, closeRequests := context.WithCancel(context.Background())
	t.Cleanup(closeRequests)
	h.close = closeRequests
	h.router = ingress.NewRouter(cfg, rand.New(rand.NewPCG(1, 1)), time.Now)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	h.log = logtest.NewLocal(logger)
	pool := backend.NewPool()
	h.quarantine = ingress.NewQuarantine(cfg.Quarantine, rand.New(rand.NewPCG(1, 2)), time.Now, logrus.NewEntry(logger))
	h.quarantine.MarkCompared()
	handler := ingress.NewHandler(ingress.Dependencies{
		Config:  cfg,
		Headers: names,
		Current: func() (*fleet.View, time.Duration) {
			view, age := h.view.Load(), time.Duration(h.age.Load())
			if h.viewWasRead != nil {
				h.viewWasRead()
			}
			if onAge := h.onAge.Load(); onAge != nil {
				(*onAge)()
			}
			return view, age
		},
		Leaving: h.leaving.Load,
		StopsAt: func() time.Time {
			if at := h.stopsAt.Load(); at != nil {
				return *at
			}
			return time.Time{}
		},
		Closing:    closing,
		RetryAfter: func(d time.Duration) string { return d.String() },
		Pool:       pool,
		Quarantine: h.quarantine,
		Held:       h.held,
		Now:        time.Now,
		Log:        logrus.NewEntry(logger),
	}, h.router)
	h.frontend = httptest.NewServer(handler)
	t.Cleanup(func() {
		h.frontend.Close()
		h.quarantine.Wait()
		pool.Close()
	})
	h.table.SetConfiguration(&fleet.Configuration{
		Version: 1,
		Routes:  routes,
		Upstreams: map[core.Upstream]fleet.UpstreamSpec{
			"orders": {Name: "orders"},
			"llm":    {Name: "llm", Engine: &fleet.EngineSpec{Layers: 2}},
		},
		Teams: []fleet.Team{{Name: "blue", Keys: []string{"key-1"}}},
	})
	h.publish()
	return h
}

func (h *harness) publish() {
	view := h.table.View()
	h.view.Store(view)
	h.router.SetView(view)
}

// startReplica starts a replica that serves requests with serve and adds it to the view.
func (h *harness) startReplica(id fleet.ReplicaID, upstream core.Upstream, serve http.HandlerFunc) {
	h.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		h.mu.Lock()
		h.requests = append(h.requests, receivedRequest{id, r.Header.Clone(), r.RequestURI, string(body)})
		h.mu.Unlock()
		rw.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		serve(rw, r)
	}))
	h.t.Cleanup(server.Close)
	h.table.SetReplica(time.Now(), 1, &fleet.Replica{
		ID: id, Upstream: upstream, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8, Born: 1,
		Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 2}},
	})
	h.publish()
}

func (h *harness) received() []receivedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]receivedRequest(nil), h.requests...)
}

// logLines returns the lines that the entry logged with a message.
func (h *harness) logLines(message string) []*logrus.Entry {
	var lines []*logrus.Entry
	for _, line := range h.log.AllEntries() {
		if line.Message == message {
			lines = append(lines, line)
		}
	}
	return lines
}

// callerResponse is the response that the caller received; err is set if its body ended early.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

func (h *harness) call(method, path, body string, change func(http.Header)) callerResponse {
	h.t.Helper()
	request, err := http.NewRequest(method, h.frontend.URL+path, strings.NewReader(body))
	require.NoError(h.t, err)
	request.Host = "a.example"
	request.Header.Set(names.RequestID, "id-1")
	request.Header.Set(names.Deadline, "2000")
	request.Header.Set(names.Model, "m")
	request.Header.Set("Authorization", "Bearer key-1")
	if change != nil {
		change(request.Header)
	}
	response, err := h.frontend.Client().Do(request)
	require.NoError(h.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(content), err}
}

func safeRoute() fleet.Route {
	return fleet.Route{
		Name: "safe", Host: "a.example", PathPrefix: "/safe/", Kind: fleet.KindSafe, Attempts: 2, Timeout: 2 * time.Second,
		Targets: []fleet.Target{{Upstream: "orders", Weight: 1}},
	}
}

func unsafeRoute() fleet.Route {
	return fleet.Route{
		Name: "unsafe", Host: "a.example", PathPrefix: "/unsafe/", Kind: fleet.KindUnsafe, Attempts: 2, Timeout: 2 * time.Second,
		Targets: []fleet.Target{{Upstream: "orders", Weight: 1}},
	}
}

func streamRoute() fleet.Route {
	return fleet.Route{
		Name: "stream", Host: "a.example", PathPrefix: "/stream/", Kind: fleet.KindStreaming, Resumable: true, Attempts: 2,
		Timeout: 5 * time.Second, Objective: 100 * time.Millisecond, Targets: []fleet.Target{{Upstream: "llm", Weight: 1}},
	}
}

func respondStamped(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(names.Stamp, "s")
		_, _ = io.WriteString(w, body)
	}
}

func respondStatus(code int, header string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(header, "1")
		}
		w.WriteHeader(code)
	}
}

// resetConnection closes the connection without a response after the request has been read.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
