package upstream_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/internal/proptest"
	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	transportplatform "github.com/guavatrestle/guavatrestle/transport/platform"
	"github.com/guavatrestle/guavatrestle/transport/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(seeded{m}) }

// seeded runs the tests after it has set the seed of the property tests.
type seeded struct{ *testing.M }

func (s seeded) Run() int {
	if err := proptest.Configure(); err != nil {
		panic(err)
	}
	return s.M.Run()
}

// longTiming has timeouts that no test reaches.
var longTiming = upstream.Timing{KeepAliveInterval: time.Minute, SuspectTimeout: time.Minute, ProgressTimeout: time.Minute}

// backEnd is a back end that responds with the handler of the test. It counts the runs of each request ID, and the
// requests in flight with their peak.
type backEnd struct {
	*httptest.Server
	mu       sync.Mutex
	boot     string
	runs     map[string]int
	inFlight int
	peak     int
}

func newBackEnd(boot string, respond http.HandlerFunc) *backEnd {
	b := &backEnd{boot: boot, runs: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(platform.EngineStatus{BootID: b.boot})
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		b.requestStarted(r.Header.Get(api.HeaderRequestID))
		defer b.requestEnded()
		_, _ = io.Copy(io.Discard, r.Body)
		respond(w, r)
	})
	b.Server = httptest.NewUnstartedServer(mux)
	return b
}

func (b *backEnd) requestStarted(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	b.inFlight++
	b.peak = max(b.peak, b.inFlight)
}

func (b *backEnd) requestEnded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

func (b *backEnd) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// agentUnderTest is the part of an agent that handles requests.
type agentUnderTest struct {
	gate    *upstream.Gate
	monitor *upstream.Monitor
	server  *httptest.Server
	client  *http.Client
	log     *logtest.Hook
	// idleDrops counts the calls of DropIdleConnections.
	idleDrops atomic.Int64
}

func newAgent(t *testing.T, url string, timing upstream.Timing) *agentUnderTest {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	gate := upstream.NewGate(admission.Config{ColdLimit: 2, WarmLimit: 8, WarmupCompletions: 2}, time.Now)
	transport := upstream.NewTransport(gate)
	engine, err := transportplatform.NewEngineClient(url, transport)
	require.NoError(t, err)
	a := &agentUnderTest{gate: gate, log: logtest.NewLocal(log), monitor: upstream.NewMonitor(engine, gate, time.Minute, logrus.NewEntry(log))}
	a.server = httptest.NewServer(upstream.NewHandler(upstream.HandlerDependencies{
		Gate: gate, Monitor: a.monitor, Engine: engine, Timing: timing, Log: logrus.NewEntry(log),
		DropIdleConnections: func() { a.idleDrops.Add(1) },
	}))
	a.client = a.server.Client()
	t.Cleanup(func() {
		a.server.Close()
		transport.CloseIdleConnections()
	})
	return a
}

// outcome is the response to one request as the entry receives it.
type outcome struct {
	body       string
	end        *wire.End
	refusal    *wire.Refusal
	keepAlives int
	err        error
}

func (a *agentUnderTest) call(ctx context.Context, id, method, body string) outcome {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.server.URL, bytes.NewBufferString(body))
	if err != nil {
		return outcome{err: err}
	}
	request.Header.Set(api.HeaderRequestID, id)
	request.Header.Set(api.HeaderMethod, method)
	request.Header.Set(api.HeaderPath, "/work")
	request.Header.Set(api.HeaderEntry, "entry-1")
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(api.HeaderDeadline, deadline.Format(time.RFC3339Nano))
	}
	response, err := a.client.Do(request)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	return readFrames(frame.NewReader(response.Body, core.RequestID(id)))
}

func newReader(in io.Reader) *frame.Reader { return frame.NewReader(in, "") }

func readFrames(in *frame.Reader) outcome {
	var o outcome
	for o.end == nil && o.refusal == nil && o.err == nil {
		f, err := in.Next()
		switch body := f.GetBody().(type) {
		case *wire.Frame_Data:
			o.body += string(body.Data.GetPayload())
		case *wire.Frame_KeepAlive:
			o.keepAlives++
		}
		o.end, o.refusal, o.err = f.GetEnd(), f.GetRefusal(), err
	}
	return o
}

// hijack returns a handler that writes raw bytes to the connection and closes it.
func hijack(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, raw)
		_ = conn.Close()
	}
}

func respondOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }

// listen returns a listener on addr, which a closed back end may have used before.
func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	return l
}
