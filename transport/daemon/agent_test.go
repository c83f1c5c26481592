package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/guavatrestle/guavatrestle/protocol/api"
	"github.com/guavatrestle/guavatrestle/protocol/frame"
	"github.com/guavatrestle/guavatrestle/protocol/platform"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testUpstream = "pedidos"
	testDomain   = "sur-a"
)

// runningAgent is an agent with open listeners and a back end that the test controls.
type runningAgent struct {
	*agent
	control, data *server.Listener
	client        *http.Client
	// arrived receives one element per request that reaches the back end. Closing release lets the back end respond.
	arrived, release chan struct{}
}

func startAgent(t *testing.T) *runningAgent {
	t.Helper()
	r := &runningAgent{arrived: make(chan struct{}, 8), release: make(chan struct{})}
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/engine/status" {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(platform.EngineStatus{BootID: "a"})
			return
		}
		r.arrived <- struct{}{}
		<-r.release
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(engine.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := config.Default()
	cfg.Role, cfg.Host, cfg.FailureDomain = core.RoleAgent, "agent-1", testDomain
	agentConfig := config.DefaultAgent()
	agentConfig.Upstream, agentConfig.Engine, agentConfig.PollInterval = testUpstream, engine.URL, 5*time.Millisecond
	cfg.Agent = &agentConfig
	agentRole, err := newProcess(cfg, logrus.NewEntry(log)).newRole()
	require.NoError(t, err)
	r.agent = agentRole.(*agent)
	ctx, cancel := context.WithCancel(t.Context())
	control, data := r.start(ctx)
	r.control, err = server.Listen("127.0.0.1:0", control)
	require.NoError(t, err)
	r.data, err = server.Listen("127.0.0.1:0", data)
	require.NoError(t, err)
	r.client = &http.Client{Transport: &http.Transport{Protocols: onlyHTTP2()}}
	t.Cleanup(func() {
		cancel()
		r.loops.Wait()
		r.engineTransport.CloseIdleConnections()
		r.client.CloseIdleConnections()
	})
	return r
}

func onlyHTTP2() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

func (r *runningAgent) mergeSettings(t *testing.T, version uint64, state settings.FailureDomainState) {
	t.Helper()
	upstream, err := json.Marshal(settings.UpstreamSettings{Kind: settings.KindService, ColdLimit: 2, WarmLimit: 4, WarmupCompletions: 2})
	require.NoError(t, err)
	domain, err := json.Marshal(settings.FailureDomainSettings{State: state})
	require.NoError(t, err)
	_, err = r.settings.Merge([]settings.Document{
		{Path: settings.UpstreamPath(testUpstream), Version: 1, Body: upstream},
		{Path: settings.FailureDomainPath(testDomain), Version: version, Body: domain},
	})
	require.NoError(t, err)
}

// call sends a request and returns the last frame of the response.
func (r *runningAgent) call(id string) (*wire.Frame, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.data.Addr()+"/call", bytes.NewBufferString("order"))
	if err != nil {
		return nil, err
	}
	request.Header.Set(api.HeaderRequestID, id)
	request.Header.Set(api.HeaderMethod, http.MethodPost)
	request.Header.Set(api.HeaderPath, "/work")
	response, err := r.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	frames := frame.NewReader(response.Body, core.RequestID(id))
	for {
		f, err := frames.Next()
		if err != nil || f.GetEnd() != nil || f.GetRefusal() != nil {
			return f, err
		}
	}
}

func (r *runningAgent) status(t *testing.T) *wire.StatusResponse {
	t.Helper()
	client := wire.NewAgentProtobufClient("http://"+r.control.Addr(), r.client)
	status, err := client.Status(t.Context(), &wire.StatusRequest{Host: "entry-1"})
	require.NoError(t, err)
	return status
}

// waitForStatus reads the status until the condition holds; the test's own time limit bounds the wait.
func (r *runningAgent) waitForStatus(t *testing.T, condition func(*wire.StatusResponse) bool) {
	t.Helper()
	for !condition(r.status(t)) {
		require.NoError(t, t.Context().Err())
	}
}

// stopAndAwaitLeaving shuts the agent down and requires that it reports leaving before its listeners close.
func (r *runningAgent) stopAndAwaitLeaving(t *testing.T) {
	t.Helper()
	stopped := make(chan error, 1)
	go func() { stopped <- r.shutdown(r.agent, r.data, r.control) }()
	r.waitForStatus(t, (*wire.StatusResponse).GetLeaving)
	require.NoError(t, <-stopped)
}

func admitsRequests(s *wire.StatusResponse) bool { return s.GetLimit() > 0 }
func admitsNothing(s *wire.StatusResponse) bool  { return s.GetLimit() == 0 }

// TestLeavingAgentAnswersUntilTheLastRequestEnds guards against a shutdown that cuts off a request in flight or stops
// answering status reads before the request ends.
func TestLeavingAgentAnswersUntilTheLastRequestEnds(t *testing.T) {
	r := startAgent(t)
	r.mergeSettings(t, 1, settings.FailureDomainIn)
	r.settings.MarkLoaded()
	r.waitForStatus(t, admitsRequests)
	last := make(chan *wire.Frame, 1)
	go func() {
		f, _ := r.call("r1")
		last <- f
	}()
	<-r.arrived
	stopped := make(chan error, 1)
	go func() { stopped <- r.shutdown(r.agent, r.data, r.control) }()
	r.waitForStatus(t, (*wire.StatusResponse).GetLeaving)
	require.EqualValues(t, 1, r.status(t).GetInFlight())
	f, err := r.call("r2")
	require.NoError(t, err)
	require.Equal(t, wire.Run_RUN_NOT_RUN, f.GetRefusal().GetRun())
	require.Equal(t, api.CodeLeaving, f.GetRefusal().GetCode())
	require.Empty(t, stopped, "the agent stopped before its last request ended")
	close(r.release)
	require.NotNil(t, (<-last).GetEnd())
	require.NoError(t, <-stopped)
	require.Empty(t, r.arrived, "a request refused as not run reached the back end")
}

// TestEntriesLearnOfLeavingBeforeTheListenerCloses guards against requests lost because the listener closes before entries
// read that the agent is leaving.
func TestEntriesLearnOfLeavingBeforeTheListenerCloses(t *testing.T) {
	r := startAgent(t)
	r.mergeSettings(t, 1, settings.FailureDomainIn)
	r.settings.MarkLoaded()
	r.waitForStatus(t, admitsRequests)
	r.stopAndAwaitLeaving(t)
}

// TestFailureDomainOutClosesTheGate guards against new requests after operators took the failure domain out of service.
func TestFailureDomainOutClosesTheGate(t *testing.T) {
	r := startAgent(t)
	close(r.release)
	r.mergeSettings(t, 1, settings.FailureDomainIn)
	r.settings.MarkLoaded()
	r.waitForStatus(t, admitsRequests)
	for range 2 {
		f, err := r.call("warm-up")
		require.NoError(t, err)
		require.NotNil(t, f.GetEnd())
	}
	require.Equal(t, wire.UpstreamState_UPSTREAM_STATE_WARM, r.status(t).GetState())
	r.mergeSettings(t, 2, settings.FailureDomainOut)
	r.waitForStatus(t, admitsNothing)
	f, err := r.call("r1")
	require.NoError(t, err)
	require.Equal(t, api.CodeFailureDomainOut, f.GetRefusal().GetCode())
	require.Equal(t, wire.Run_RUN_NOT_RUN, f.GetRefusal().GetRun())
	r.mergeSettings(t, 3, settings.FailureDomainIn)
	r.waitForStatus(t, admitsRequests)
	require.Equal(t, wire.UpstreamState_UPSTREAM_STATE_COLD, r.status(t).GetState())
	r.stopAndAwaitLeaving(t)
}

// TestPartialSettingsKeepTheGateClosed guards against requests admitted before all settings are loaded, when the document
// that takes the failure domain out of service may not have arrived yet.
func TestPartialSettingsKeepTheGateClosed(t *testing.T) {
	r := startAgent(t)
	r.mergeSettings(t, 1, settings.FailureDomainIn)
	r.monitor.Poll(t.Context())
	f, err := r.call("r1")
	require.NoError(t, err)
	require.Equal(t, wire.Run_RUN_NOT_RUN, f.GetRefusal().GetRun())
	require.Empty(t, r.arrived)
	r.stopAndAwaitLeaving(t)
}
