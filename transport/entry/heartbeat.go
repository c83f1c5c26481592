// Package entry serves callers: it checks, limits and routes their requests to agents.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
)

const (
	// heartbeatWorkers bounds the heartbeats that run at once.
	heartbeatWorkers = 16
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = time.Second
)

// Heartbeat asks agents for their status at an interval.
type Heartbeat struct {
	self      core.Host
	members   *table.Members
	upstreams *table.Upstreams
	client    *http.Client
	interval  time.Duration
	now       func() time.Time
	log       *logrus.Entry
}

// NewHeartbeat returns a Heartbeat.
func NewHeartbeat(self core.Host, members *table.Members, upstreams *table.Upstreams, interval time.Duration, now func() time.Time, log *logrus.Entry) *Heartbeat {
	return &Heartbeat{
		self:      self,
		members:   members,
		upstreams: upstreams,
		client:    &http.Client{Timeout: heartbeatTimeout},
		interval:  interval,
		now:       now,
		log:       log,
	}
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) {
	pool := pond.NewPool(heartbeatWorkers)
	defer pool.StopAndWait()
	ticker := time.NewTicker(h.interval)
	defer ticker.Stop()
	for {
		h.round(ctx, pool)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *Heartbeat) round(ctx context.Context, pool pond.Pool) {
	group := pool.NewGroup()
	listed := make(map[core.HostID]bool)
	for _, host := range h.members.List() {
		if host.Role != core.RoleAgent {
			continue
		}
		listed[host.ID] = true
		group.Submit(func() { h.ask(ctx, host) })
	}
	_ = group.Wait()
	for _, agent := range h.upstreams.List() {
		if !listed[agent.Host.ID] {
			h.upstreams.Remove(agent.Host.ID)
		}
	}
}

func (h *Heartbeat) ask(ctx context.Context, host core.Host) {
	client := wire.NewAgentProtobufClient("http://"+host.ControlAddr, h.client)
	response, err := client.Status(ctx, &wire.StatusRequest{Host: string(h.self.ID), Incarnation: string(h.self.Incarnation)})
	if err != nil {
		h.upstreams.Remove(host.ID)
		h.log.WithError(err).WithField("agent", host.ID).Debug("heartbeat failed")
		return
	}
	h.upstreams.Set(statusFromWire(host, response, h.now()))
}

func statusFromWire(host core.Host, r *wire.StatusResponse, now time.Time) core.AgentStatus {
	return core.AgentStatus{
		Host:          host,
		Incarnation:   core.Incarnation(r.GetIncarnation()),
		Model:         core.Model(r.GetModel()),
		VersionDigest: core.Digest(r.GetVersionDigest()),
		State:         stateFromWire[r.GetState()],
		InFlight:      int(r.GetInFlight()),
		Limit:         int(r.GetLimit()),
		Leaving:       r.GetLeaving(),
		Grant:         grantFromWire(r.GetGrant(), now),
		TargetDigest:  core.Digest(r.GetTargetDigest()),
		ChunksHeld:    int(r.GetChunksHeld()),
		ChunksTotal:   int(r.GetChunksTotal()),
		BehindReason:  r.GetBehindReason(),
		OriginBytes:   int64(r.GetOriginBytes()),
		PeerBytes:     int64(r.GetPeerBytes()),
		Seen:          now,
	}
}

func grantFromWire(g *wire.Grant, now time.Time) core.Grant {
	return core.Grant{
		Slots:   int(g.GetSlots()),
		Expires: now.Add(time.Duration(g.GetTtlMillis()) * time.Millisecond),
	}
}

var stateFromWire = map[wire.UpstreamState]core.UpstreamState{
	wire.UpstreamState_UPSTREAM_STATE_COLD:    core.UpstreamCold,
	wire.UpstreamState_UPSTREAM_STATE_WARMING: core.UpstreamWarming,
	wire.UpstreamState_UPSTREAM_STATE_WARM:    core.UpstreamWarm,
}
