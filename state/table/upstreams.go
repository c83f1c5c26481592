package table

import (
	"maps"
	"slices"
	"strings"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Upstreams holds what an entry knows about the agents it sends requests to.
type Upstreams struct {
	mu     mutex[rankUpstreams]
	agents map[core.HostID]core.AgentStatus
	// sent counts this entry's requests in flight per agent.
	sent map[core.HostID]int
}

// NewUpstreams returns an empty table.
func NewUpstreams() *Upstreams {
	return &Upstreams{agents: make(map[core.HostID]core.AgentStatus), sent: make(map[core.HostID]int)}
}

// Set records an agent's status.
func (u *Upstreams) Set(status core.AgentStatus) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.agents[status.Host.ID] = status
}

// Remove forgets an agent.
func (u *Upstreams) Remove(id core.HostID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.agents, id)
}

// Start counts a request sent to an agent.
func (u *Upstreams) Start(id core.HostID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent[id]++
}

// Finish counts a request to an agent as ended.
func (u *Upstreams) Finish(id core.HostID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent[id]--
	if u.sent[id] <= 0 {
		delete(u.sent, id)
	}
}

// List returns the agents, sorted by host ID, with the larger of the reported and the own requests in flight.
func (u *Upstreams) List() []core.AgentStatus {
	u.mu.RLock()
	defer u.mu.RUnlock()
	agents := slices.Collect(maps.Values(u.agents))
	for i := range agents {
		agents[i].InFlight = max(agents[i].InFlight, u.sent[agents[i].Host.ID])
	}
	slices.SortFunc(agents, func(a, b core.AgentStatus) int {
		return strings.Compare(string(a.Host.ID), string(b.Host.ID))
	})
	return agents
}
