package entry

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/routing"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
	"github.com/guavatrestle/guavatrestle/transport/server"
)

// statusService returns a status in which every field has its usual length.
type statusService struct {
	wire.Agent
	state wire.UpstreamState
	full  bool
	calls atomic.Int64
}

func (s *statusService) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	s.calls.Add(1)
	digest := strings.Repeat("a", 64)
	inFlight := uint32(100)
	if s.full {
		inFlight = 200
	}
	return &wire.StatusResponse{
		Host: "agent-0001", Incarnation: strings.Repeat("i", 36), Upstream: "guava-llm", Model: "guava",
		VersionDigest: digest, TargetDigest: digest, State: s.state,
		InFlight: inFlight, Limit: 200, Grant: &wire.Grant{Slots: 100, TtlMillis: 3000},
		ChunksHeld: 4000, ChunksTotal: 4000, OriginBytes: 1 << 40, PeerBytes: 1 << 40,
	}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// heartbeatHarness is a Heartbeat with one agent and a clock that the test advances.
type heartbeatHarness struct {
	*Heartbeat
	service *statusService
	agent   *httptest.Server
	bytes   atomic.Int64
	clock   time.Time
	pool    pond.Pool
}

func newHeartbeatHarness(t *testing.T, state wire.UpstreamState) *heartbeatHarness {
	hh := &heartbeatHarness{service: &statusService{state: state}, clock: time.Now(), pool: pond.NewPool(1)}
	agent := httptest.NewUnstartedServer(wire.NewAgentServer(hh.service))
	agent.Config.Protocols = server.Protocols()
	agent.Start()
	hh.agent = agent
	members := table.NewMembers()
	addr := agent.Listener.Addr().String()
	members.Replace([]core.Host{{ID: "agent-0001", Role: core.RoleAgent, Upstream: "guava-llm", ControlAddr: addr, State: core.HostLeaving}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := core.Host{ID: "entry-0001", Incarnation: core.Incarnation(strings.Repeat("i", 36))}
	hh.Heartbeat = NewHeartbeat(self, members, table.NewUpstreams(), time.Second, func() time.Time { return hh.clock }, logrus.NewEntry(log))
	hh.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countedConn{c, &hh.bytes}, err
	}
	t.Cleanup(func() {
		hh.pool.StopAndWait()
		hh.transport.CloseIdleConnections()
		agent.Close()
	})
	return hh
}

func (hh *heartbeatHarness) tick(after time.Duration) {
	hh.clock = hh.clock.Add(after)
	hh.runRound(context.Background(), hh.pool)
}

// TestHeartbeatStaysWithinItsBytes guards against a heartbeat that is larger than routing.HeartbeatBytes, from which the
// interval is computed.
func TestHeartbeatStaysWithinItsBytes(t *testing.T) {
	hh := newHeartbeatHarness(t, wire.UpstreamState_UPSTREAM_STATE_WARM)
	hh.tick(0)
	before := hh.bytes.Load()
	const rounds = 50
	for range rounds {
		hh.tick(time.Second)
	}
	heartbeatBytes := (hh.bytes.Load() - before) / rounds
	t.Logf("%d bytes per heartbeat", heartbeatBytes)
	require.Positive(t, heartbeatBytes)
	require.LessOrEqual(t, heartbeatBytes, int64(routing.HeartbeatBytes))
	require.Equal(t, core.HostLeaving, hh.upstreams.List()[0].Host.State, "state from the host list was lost")
	hh.members.Replace(nil)
	hh.tick(time.Second)
	require.Empty(t, hh.upstreams.List(), "agent that is no longer listed was not removed")
}

// TestBlockedAgentGetsHeartbeatsWhileRequestsWait guards against requests that stay queued because an agent is cold or full
// by a stale status, and against extra heartbeats while none are queued.
func TestBlockedAgentGetsHeartbeatsWhileRequestsWait(t *testing.T) {
	for name, hh := range map[string]*heartbeatHarness{
		"cold": newHeartbeatHarness(t, wire.UpstreamState_UPSTREAM_STATE_COLD),
		"full": newHeartbeatHarness(t, wire.UpstreamState_UPSTREAM_STATE_WARM),
	} {
		hh.service.full = name == "full"
		t.Run(name, func(t *testing.T) { requireHeartbeatsWhileRequestsWait(t, hh) })
	}
}

func requireHeartbeatsWhileRequestsWait(t *testing.T, hh *heartbeatHarness) {
	hh.interval = time.Minute
	hh.tick(0)
	hh.tick(5 * time.Second)
	require.EqualValues(t, 1, hh.service.calls.Load())
	hh.SetHasQueuedRequests(func() bool { return true })
	hh.tick(5 * time.Second)
	require.EqualValues(t, 2, hh.service.calls.Load())
	hh.tick(time.Second)
	require.EqualValues(t, 2, hh.service.calls.Load(), "agent with a recent status got an extra heartbeat")
}

// TestFailedHeartbeatMakesAgentSuspect guards against an agent that stays live for routing and rollouts although it does
// not respond, and against a replaced agent that keeps the incarnation of its predecessor at the same address.
func TestFailedHeartbeatMakesAgentSuspect(t *testing.T) {
	hh := newHeartbeatHarness(t, wire.UpstreamState_UPSTREAM_STATE_WARM)
	host := hh.members.List()[0]
	host.State, host.Incarnation = core.HostLive, "earlier"
	hh.members.Replace([]core.Host{host})
	hh.tick(0)
	reachable := hh.members.List()[0]
	require.Equal(t, core.HostLive, reachable.State)
	require.Equal(t, core.Incarnation(strings.Repeat("i", 36)), reachable.Incarnation)
	hh.agent.CloseClientConnections()
	hh.agent.Close()
	hh.tick(time.Second)
	require.Equal(t, core.HostSuspect, hh.members.List()[0].State)
}
