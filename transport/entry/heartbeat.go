// Package entry serves callers: it checks, limits and routes their requests to agents.
package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/routing"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
)

const (
	// heartbeatWorkers bounds the heartbeats that run at once.
	heartbeatWorkers = 16
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = time.Second
	// urgentAge is the age of an agent's last news from which it is asked ahead of its turn while requests wait. It
	// bounds the extra heartbeats: 22 agents at 640 B each 2 s are 7 KB/s.
	urgentAge = 2 * time.Second
)

// Heartbeat asks a bounded subset of the agents for their status at an interval.
//
// The calls share HTTP/2 connections, whose header compression keeps a heartbeat small.
type Heartbeat struct {
	self      core.Host
	members   *table.Members
	upstreams *table.Upstreams
	transport *http.Transport
	client    *http.Client
	interval  time.Duration
	now       func() time.Time
	log       *logrus.Entry
	// urgent reports whether requests wait for a slot.
	urgent func() bool

	mu sync.Mutex
	// due holds when each agent of the subset is asked next.
	due map[core.HostID]time.Time
}

// NewHeartbeat returns a Heartbeat.
func NewHeartbeat(self core.Host, members *table.Members, upstreams *table.Upstreams, interval time.Duration, now func() time.Time, log *logrus.Entry) *Heartbeat {
	connections := newAgentTransport()
	return &Heartbeat{
		self:      self,
		members:   members,
		upstreams: upstreams,
		transport: connections,
		client:    &http.Client{Transport: connections, Timeout: heartbeatTimeout},
		interval:  interval,
		now:       now,
		log:       log,
		due:       make(map[core.HostID]time.Time),
		urgent:    func() bool { return false },
	}
}

// SetHasQueuedRequests sets what reports that requests wait for a slot; call it before Run.
func (h *Heartbeat) SetHasQueuedRequests(urgent func() bool) { h.urgent = urgent }

// SetTLS sets how heartbeats use TLS; call it before Run.
func (h *Heartbeat) SetTLS(secure TLSWrapper) { h.client.Transport = secure.wrap(h.transport) }

// Run sends heartbeats until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) {
	pool := pond.NewPool(heartbeatWorkers)
	defer h.transport.CloseIdleConnections()
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

// round asks the agents that are due and forgets those that are no longer in the subset.
func (h *Heartbeat) round(ctx context.Context, pool pond.Pool) {
	subset := routing.Subset(h.self.ID, h.members.List(), routing.MaxAgents)
	interval := routing.HeartbeatInterval(h.interval, len(subset))
	if h.urgent() {
		h.expediteStale()
	}
	listed := make(map[core.HostID]bool, len(subset))
	group := pool.NewGroup()
	for _, host := range subset {
		listed[host.ID] = true
		h.upstreams.SetHostState(host.ID, host.State)
		if h.takeDue(host.ID, interval) {
			group.Submit(func() { h.ask(ctx, host) })
		}
	}
	_ = group.Wait()
	h.forget(listed)
}

// expediteStale makes the agents due that may have a slot for waiting requests by now: those that are not warm, or full
// by their last report, and of which no frame or heartbeat told anything for a while.
func (h *Heartbeat) expediteStale() {
	now := h.now()
	for _, agent := range h.upstreams.List() {
		full := agent.InFlight >= agent.Limit
		old := now.Sub(agent.Seen) >= urgentAge
		if old && !agent.Leaving && (full || agent.State != core.UpstreamWarm) {
			h.askSoon(agent.Host.ID)
		}
	}
}

// takeDue reports whether an agent is due and sets when it is due next.
func (h *Heartbeat) takeDue(id core.HostID, interval time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if now.Before(h.due[id]) {
		return false
	}
	// Half a tick is taken off so that a tick that comes early does not skip a turn.
	h.due[id] = now.Add(interval - h.interval/2)
	return true
}

func (h *Heartbeat) forget(listed map[core.HostID]bool) {
	for _, id := range h.upstreams.IDs() {
		if !listed[id] {
			h.upstreams.Remove(id)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.due {
		if !listed[id] {
			delete(h.due, id)
		}
	}
}

func (h *Heartbeat) ask(ctx context.Context, host core.Host) {
	client := wire.NewAgentProtobufClient("http://"+host.ControlAddr, h.client)
	response, err := client.Status(ctx, &wire.StatusRequest{Host: string(h.self.ID), Incarnation: string(h.self.Incarnation)})
	if err != nil && ctx.Err() != nil {
		return
	}
	if err != nil {
		h.members.MarkUnreachable(host.ID)
		h.upstreams.Remove(host.ID)
		h.askSoon(host.ID)
		h.log.WithError(err).WithField("agent", host.ID).Debug("heartbeat failed")
		return
	}
	h.members.MarkReachable(host.ID, core.Incarnation(response.GetIncarnation()))
	h.upstreams.Set(statusFromWire(host, response, h.now()))
}

// askSoon makes an agent that did not answer due at the next tick.
func (h *Heartbeat) askSoon(id core.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.due, id)
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
	if g == nil {
		return core.Grant{}
	}
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
