package table

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Upstreams holds what an entry knows about the agents it sends requests to.
type Upstreams struct {
	mu     mutex[rankUpstreams]
	agents map[core.HostID]agentRecord
	// sent counts this entry's requests in flight per agent.
	sent    map[core.HostID]int
	changed chan struct{}
}

// agentRecord is an agent's last report with the own requests in flight at the time it arrived.
type agentRecord struct {
	status       core.AgentStatus
	sentAtReport int
	sentAtGrant  int
}

// NewUpstreams returns an empty table.
func NewUpstreams() *Upstreams {
	return &Upstreams{
		agents:  make(map[core.HostID]agentRecord),
		sent:    make(map[core.HostID]int),
		changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change that may free capacity.
func (u *Upstreams) Changed() <-chan struct{} {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return u.changed
}

// Set records an agent's status; an agent that said it is leaving stays so within its incarnation.
func (u *Upstreams) Set(status core.AgentStatus) {
	u.mu.Lock()
	defer u.mu.Unlock()
	held, ok := u.agents[status.Host.ID]
	if ok && held.status.Incarnation == status.Incarnation && held.status.Leaving {
		status.Leaving = true
	}
	sent := u.sent[status.Host.ID]
	u.agents[status.Host.ID] = agentRecord{status: status, sentAtReport: sent, sentAtGrant: sent}
	u.notify()
}

// SetGrant replaces an agent's grant by one that came with a response frame.
func (u *Upstreams) SetGrant(id core.HostID, incarnation core.Incarnation, grant core.Grant) {
	u.update(id, incarnation, func(record *agentRecord) {
		record.status.Grant = grant
		record.sentAtGrant = u.sent[id]
	})
}

// MarkLeaving records that an agent refused a request because it is leaving.
func (u *Upstreams) MarkLeaving(id core.HostID, incarnation core.Incarnation) {
	u.update(id, incarnation, func(record *agentRecord) { record.status.Leaving = true })
}

// SetHostState records the state that the host list shows for an agent.
func (u *Upstreams) SetHostState(id core.HostID, state core.HostState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if record, ok := u.agents[id]; ok {
		record.status.Host.State = state
		u.agents[id] = record
	}
}

func (u *Upstreams) update(id core.HostID, incarnation core.Incarnation, change func(*agentRecord)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	record, ok := u.agents[id]
	if !ok || record.status.Incarnation != incarnation {
		return
	}
	change(&record)
	u.agents[id] = record
	u.notify()
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
	u.notify()
}

// List returns the agents, sorted by host ID, with requests in flight and grants corrected by the
// requests that this entry started or finished since the agent's report.
func (u *Upstreams) List() []core.AgentStatus {
	u.mu.RLock()
	defer u.mu.RUnlock()
	agents := make([]core.AgentStatus, 0, len(u.agents))
	for id, record := range u.agents {
		agents = append(agents, record.current(u.sent[id]))
	}
	slices.SortFunc(agents, func(a, b core.AgentStatus) int {
		return strings.Compare(string(a.Host.ID), string(b.Host.ID))
	})
	return agents
}

// IDs returns the host IDs of the agents held.
func (u *Upstreams) IDs() []core.HostID {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return slices.Sorted(maps.Keys(u.agents))
}

func (r agentRecord) current(sent int) core.AgentStatus {
	status := r.status
	status.InFlight = max(sent, status.InFlight+sent-r.sentAtReport)
	status.Grant.Slots -= max(0, sent-r.sentAtGrant)
	return status
}

// notify wakes those who wait for capacity; the caller holds the lock.
func (u *Upstreams) notify() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// BlockedGrant returns a grant without slots, which keeps new work away until expires.
func BlockedGrant(expires time.Time) core.Grant { return core.Grant{Expires: expires} }
