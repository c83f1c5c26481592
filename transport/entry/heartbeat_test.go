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

// statusService reports a status with every field at its usual length.
type statusService struct {
	wire.Agent
	leaving atomic.Bool
}

func (s *statusService) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	digest := strings.Repeat("a", 64)
	return &wire.StatusResponse{
		Host: "agent-0001", Incarnation: strings.Repeat("i", 36), Upstream: "guava-llm", Model: "guava",
		VersionDigest: digest, TargetDigest: digest, State: wire.UpstreamState_UPSTREAM_STATE_WARM,
		InFlight: 100, Limit: 200, Leaving: s.leaving.Load(), Grant: &wire.Grant{Slots: 100, TtlMillis: 3000},
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

// TestHeartbeatStaysWithinItsBytes guards against a heartbeat larger than the figure that the interval is computed from.
func TestHeartbeatStaysWithinItsBytes(t *testing.T) {
	agent := httptest.NewUnstartedServer(wire.NewAgentServer(&statusService{}))
	agent.Config.Protocols = server.Protocols()
	agent.Start()
	defer agent.Close()
	members, upstreams := table.NewMembers(), table.NewUpstreams()
	addr := agent.Listener.Addr().String()
	members.Replace([]core.Host{{ID: "agent-0001", Role: core.RoleAgent, Upstream: "guava-llm", ControlAddr: addr, State: core.HostLeaving}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Now()
	self := core.Host{ID: "entry-0001", Incarnation: core.Incarnation(strings.Repeat("i", 36))}
	heartbeat := NewHeartbeat(self, members, upstreams, time.Second, func() time.Time { return now }, logrus.NewEntry(log))
	var bytes atomic.Int64
	heartbeat.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countedConn{c, &bytes}, err
	}
	pool := pond.NewPool(1)
	defer pool.StopAndWait()
	defer heartbeat.transport.CloseIdleConnections()
	heartbeat.round(context.Background(), pool)
	before := bytes.Load()
	const rounds = 50
	for range rounds {
		now = now.Add(time.Second)
		heartbeat.round(context.Background(), pool)
	}
	each := (bytes.Load() - before) / rounds
	t.Logf("%d bytes for each heartbeat", each)
	require.Positive(t, each)
	require.LessOrEqual(t, each, int64(routing.HeartbeatBytes))
	require.Equal(t, core.HostLeaving, upstreams.List()[0].Host.State, "state of the host list is lost")
	members.Replace(nil)
	heartbeat.round(context.Background(), pool)
	require.Empty(t, upstreams.List(), "agent that is no longer listed is kept")
}
