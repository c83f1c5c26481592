// Package entry serves callers: it authenticates and rate-limits their requests and routes them to agents.
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
	"github.com/guavatrestle/guavatrestle/transport"
	"github.com/guavatrestle/guavatrestle/transport/httphead"
)

const (
	// heartbeatWorkers bounds the concurrent heartbeats.
	heartbeatWorkers = 16
	// heartbeatTimeout bounds the duration of one heartbeat.
	heartbeatTimeout = time.Second
	// staleAge is the age of an agent's last status from which the agent gets an extra heartbeat while requests are
	// queued. It bounds the extra traffic: 22 agents at 640 B every 2 s are 7 KB/s.
	staleAge = 2 * time.Second
)

// Heartbeat requests the status of a bounded subset of the agents at an interval.
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
	// hasQueuedRequests reports whether any request waits for a slot.
	hasQueuedRequests func() bool

	mu sync.Mutex
	// nextDue holds the time of the next heartbeat to each agent of the subset.
	nextDue map[core.HostID]time.Time
}

// NewHeartbeat returns a Heartbeat.
func NewHeartbeat(self core.Host, members *table.Members, upstreams *table.Upstreams, interval time.Duration, now func() time.Time, log *logrus.Entry) *Heartbeat {
	connections := newAgentTransport()
	return &Heartbeat{
		self:              self,
		members:           members,
		upstreams:         upstreams,
		transport:         connections,
		client:            &http.Client{Transport: httphead.NewHTTP2Transport(connections), Timeout: heartbeatTimeout},
		interval:          interval,
		now:               now,
		log:               log,
		nextDue:           make(map[core.HostID]time.Time),
		hasQueuedRequests: func() bool { return false },
	}
}

// SetHasQueuedRequests sets the function that reports whether any request waits for a slot; while one does, agents with
// a stale status get extra heartbeats. It must be called before Run.
func (h *Heartbeat) SetHasQueuedRequests(hasQueuedRequests func() bool) {
	h.hasQueuedRequests = hasQueuedRequests
}

// SetTLS sets the TLS wrapper for the heartbeat connections. It must be called before Run.
func (h *Heartbeat) SetTLS(secure TLSWrapper) {
	h.client.Transport = httphead.NewHTTP2Transport(secure.wrap(h.transport))
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeat) Run(ctx context.Context) {
	pool := pond.NewPool(heartbeatWorkers)
	defer h.transport.CloseIdleConnections()
	defer pool.StopAndWait()
	ticker := time.NewTicker(h.interval)
	defer ticker.Stop()
	for {
		h.runRound(ctx, pool)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runRound sends the heartbeats that are due and removes the agents that are no longer in the subset.
func (h *Heartbeat) runRound(ctx context.Context, pool pond.Pool) {
	subset := routing.Subset(h.self.ID, h.members.List(), routing.MaxAgents)
	interval := routing.HeartbeatInterval(h.interval, len(subset))
	if h.hasQueuedRequests() {
		h.expediteStale()
	}
	listed := make(map[core.HostID]bool, len(subset))
	group := pool.NewGroup()
	for _, host := range subset {
		listed[host.ID] = true
		h.upstreams.SetHostState(host.ID, host.State)
		if h.advanceIfDue(host.ID, interval) {
			group.Submit(func() { h.requestStatus(ctx, host) })
		}
	}
	_ = group.Wait()
	h.removeUnlisted(listed)
}

// expediteStale makes heartbeats due to agents that may have got a free slot: those that were not warm or were full by
// their last status, if no frame or heartbeat has updated it for staleAge.
func (h *Heartbeat) expediteStale() {
	now := h.now()
	for _, agent := range h.upstreams.List() {
		full := agent.InFlight >= agent.Limit
		stale := now.Sub(agent.Seen) >= staleAge
		if stale && !agent.Leaving && (full || agent.State != core.UpstreamWarm) {
			h.makeDue(agent.Host.ID)
		}
	}
}

// advanceIfDue reports whether a heartbeat to the agent is due, and if so sets the time of the next one.
func (h *Heartbeat) advanceIfDue(id core.HostID, interval time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if now.Before(h.nextDue[id]) {
		return false
	}
	// Half a tick is subtracted so that a tick that comes early does not skip a heartbeat.
	h.nextDue[id] = now.Add(interval - h.interval/2)
	return true
}

func (h *Heartbeat) removeUnlisted(listed map[core.HostID]bool) {
	for _, id := range h.upstreams.IDs() {
		if !listed[id] {
			h.upstreams.Remove(id)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.nextDue {
		if !listed[id] {
			delete(h.nextDue, id)
		}
	}
}

func (h *Heartbeat) requestStatus(ctx context.Context, host core.Host) {
	client := wire.NewAgentProtobufClient("http://"+host.ControlAddr, transport.BoundResponses(h.client))
	response, err := client.Status(ctx, &wire.StatusRequest{Host: string(h.self.ID), Incarnation: string(h.self.Incarnation)})
	if err != nil && ctx.Err() != nil {
		return
	}
	if err != nil {
		h.members.MarkUnreachable(host.ID)
		h.upstreams.Remove(host.ID)
		h.makeDue(host.ID)
		h.log.WithError(err).WithField("agent", host.ID).Debug("heartbeat failed")
		return
	}
	h.members.MarkReachable(host.ID, core.Incarnation(response.GetIncarnation()))
	h.upstreams.Set(statusFromWire(host, response, h.now()))
}

// makeDue makes the next heartbeat to the agent due at the next tick.
func (h *Heartbeat) makeDue(id core.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.nextDue, id)
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
