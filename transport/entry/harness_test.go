package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testToken = "litoral-token"
	maxBody   = 4096
)

// fakeAgent records the calls that it receives and responds to them by a script.
type fakeAgent struct {
	mu    sync.Mutex
	calls []*http.Request
	conns map[string]bool
	url   string
	addr  string
}

func (a *fakeAgent) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.calls)
}

// script writes the frames of the response to one call.
type script func(out *frame.Writer, w http.ResponseWriter, r *http.Request)

type harness struct {
	t         testing.TB
	handler   *Handler
	settings  *table.Settings
	upstreams *table.Upstreams
	url       string
}

func newHarness(t testing.TB, adjust func(*Tuning)) *harness {
	tuning := DefaultTuning()
	if adjust != nil {
		adjust(&tuning)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &harness{t: t, settings: table.NewSettings(), upstreams: table.NewUpstreams()}
	h.handler = NewHandler(Dependencies{
		Config:    config.Entry{MaxBodyBytes: maxBody, RequestTimeout: 20 * time.Second},
		Tuning:    tuning,
		Self:      core.Host{ID: "entry-1", FailureDomain: "centro-a", Region: "centro"},
		Settings:  h.settings,
		Upstreams: h.upstreams,
		Random:    rand.New(rand.NewPCG(1, 1)),
		Now:       time.Now,
		Log:       logrus.NewEntry(log),
	})
	h.setTeam(settings.TeamLimits{RequestsPerSecond: 1000, Burst: 1000, QueueLength: 10})
	h.serve()
	return h
}

func (h *harness) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { h.handler.Run(ctx) })
	mux := http.NewServeMux()
	h.handler.Register(mux)
	entry := httptest.NewServer(WithRequestID(mux))
	h.url = entry.URL
	h.t.Cleanup(func() {
		entry.Close()
		cancel()
		loop.Wait()
		h.handler.Close()
		http.DefaultClient.CloseIdleConnections()
	})
}

func (h *harness) setTeam(limits settings.TeamLimits) {
	body, err := json.Marshal(settings.TeamSettings{
		TokenHashes: []core.Digest{core.DigestOf([]byte(testToken))},
		Limits:      limits,
		Weight:      1,
		Models:      []settings.ModelSettings{{Name: "guava", Upstream: "guava-llm"}},
		Services:    []settings.ServiceSettings{{Upstream: "pedidos"}, {Upstream: "franquicias", Repeatable: true}},
	})
	require.NoError(h.t, err)
	h.setDocument("/teams/litoral", body)
}

func (h *harness) setDocument(path string, body []byte) {
	version := uint64(len(h.settings.Documents()) + 1)
	for _, document := range h.settings.Documents() {
		version = max(version, document.Version+1)
	}
	_, err := h.settings.Merge([]settings.Document{{Path: path, Version: version, Body: body}})
	require.NoError(h.t, err)
}

// startAgent starts a fake agent that is warm and has limit slots.
func (h *harness) startAgent(id string, upstream core.Upstream, limit int, respond script) *fakeAgent {
	a := &fakeAgent{conns: make(map[string]bool)}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		a.mu.Lock()
		a.calls = append(a.calls, r)
		a.conns[r.RemoteAddr] = true
		a.mu.Unlock()
		respond(frame.NewWriter(flushWriter{w}, core.RequestID(r.Header.Get(api.HeaderRequestID))), w, r)
	}))
	s.Config.Protocols = server.Protocols()
	s.Start()
	h.t.Cleanup(s.Close)
	a.url, a.addr = s.URL, s.Listener.Addr().String()
	h.setAgentStatus(id, upstream, a.addr, limit)
	return a
}

func (h *harness) setAgentStatus(id string, upstream core.Upstream, addr string, limit int) {
	h.upstreams.Set(core.AgentStatus{
		Host:          core.Host{ID: core.HostID(id), Upstream: upstream, FailureDomain: "centro-a", DataAddr: addr, Role: core.RoleAgent},
		Incarnation:   "1",
		VersionDigest: "v1",
		State:         core.UpstreamWarm,
		Limit:         limit,
	})
}

type flushWriter struct{ http.ResponseWriter }

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return n, err
}

// callerResult is a response as the caller received it.
type callerResult struct {
	status  int
	header  http.Header
	body    string
	err     error // of the request or of reading the body
	refusal api.Refusal
}

func (h *harness) post(path, body string, header ...string) callerResult {
	return h.postContext(context.Background(), path, body, header...)
}

func (h *harness) postContext(ctx context.Context, path, body string, header ...string) callerResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+path, strings.NewReader(body))
	if err != nil {
		return callerResult{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	out := callerResult{status: response.StatusCode, header: response.Header, body: string(content), err: err}
	_ = json.NewDecoder(bytes.NewReader(content)).Decode(&out.refusal)
	return out
}

const (
	modelPath    = "/v1/completions"
	modelBody    = `{"model":"guava","prompt":"quote"}`
	orderPath    = "/services/pedidos/orders"
	lookupPath   = "/services/franquicias/stock"
	jsonType     = "application/json"
	completeBody = `{"ok":true}`
)

func sendComplete(out *frame.Writer, _ http.ResponseWriter, _ *http.Request) {
	_ = out.Head(&wire.Head{Status: 200, ContentType: jsonType, VersionDigest: "v1"})
	_ = out.Data([]byte(completeBody))
	_ = out.End(nil)
}

// sendTruncated returns a script that sends a part of a response and aborts the connection.
func sendTruncated(contentType, part string) script {
	return func(out *frame.Writer, _ http.ResponseWriter, _ *http.Request) {
		_ = out.Head(&wire.Head{Status: 200, ContentType: contentType})
		_ = out.Data([]byte(part))
		panic(http.ErrAbortHandler)
	}
}

func sendRefusal(code string, run wire.Run) script {
	return func(out *frame.Writer, _ http.ResponseWriter, _ *http.Request) {
		_ = out.Refusal(&wire.Refusal{Code: code, Message: "refused by the test", Run: run, RetryAfterMillis: 60_000})
	}
}

func event(n int) string { return fmt.Sprintf("data: {\"index\":%d}\n\n", n) }
