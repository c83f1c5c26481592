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
	// groups holds the current status of the agents of each upstream, sorted by host ID. It is kept up to date at
	// each change, so that a choice copies nothing.
	groups map[core.Upstream][]core.AgentStatus
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
		groups:  make(map[core.Upstream][]core.AgentStatus),
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
	if ok && held.status.Host.Upstream != status.Host.Upstream {
		u.remove(status.Host.ID)
	}
	sent := u.sent[status.Host.ID]
	u.put(agentRecord{status: status, sentAtReport: sent, sentAtGrant: sent})
	u.notify()
}

// SetGrant replaces an agent's grant by one that came with a response frame.
func (u *Upstreams) SetGrant(id core.HostID, incarnation core.Incarnation, grant core.Grant) {
	u.update(id, incarnation, func(record *agentRecord) {
		record.status.Grant = grant
		record.sentAtGrant = u.sent[id]
	})
}

// Load is an agent's admission state.
type Load struct {
	State    core.UpstreamState
	Limit    int
	InFlight int
	// Seen is the time at which the entry learnt of it.
	Seen time.Time
}

// RecordResponseEnd replaces an agent's load and grant by those in the last frame of a response. The agent has counted the request
// out, and this entry does so next, by Finish.
func (u *Upstreams) RecordResponseEnd(id core.HostID, incarnation core.Incarnation, load Load, grant core.Grant) {
	u.update(id, incarnation, func(record *agentRecord) {
		others := u.sent[id] - 1
		record.status.State, record.status.Limit, record.status.InFlight = load.State, load.Limit, load.InFlight
		record.status.Grant, record.status.Seen = grant, load.Seen
		record.sentAtReport, record.sentAtGrant = others, others
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
		u.put(record)
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
	u.put(record)
	u.notify()
}

// Remove forgets an agent.
func (u *Upstreams) Remove(id core.HostID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.remove(id)
}

// Reserve counts a request to the agent at the index that choose returns; a negative index means none.
//
// The agents are sorted by host ID, with requests in flight and grants corrected by the requests that this entry started
// or finished since the agent's report. choose runs under the table's lock and must not keep or change them.
func (u *Upstreams) Reserve(upstream core.Upstream, choose func(agents []core.AgentStatus) int) (core.AgentStatus, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	agents := u.groups[upstream]
	index := choose(agents)
	if index < 0 {
		return core.AgentStatus{}, false
	}
	chosen := agents[index]
	u.count(chosen.Host.ID, 1)
	return chosen, true
}

// Any reports whether test holds for an agent of an upstream. It runs under the table's lock.
func (u *Upstreams) Any(upstream core.Upstream, test func(agent *core.AgentStatus) bool) bool {
	u.mu.RLock()
	defer u.mu.RUnlock()
	agents := u.groups[upstream]
	for i := range agents {
		if test(&agents[i]) {
			return true
		}
	}
	return false
}

// Start counts a request sent to an agent.
func (u *Upstreams) Start(id core.HostID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.count(id, 1)
}

// Finish counts a request to an agent as ended.
func (u *Upstreams) Finish(id core.HostID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.count(id, -1)
	u.notify()
}

// List returns the agents, sorted by host ID, as Reserve shows them.
func (u *Upstreams) List() []core.AgentStatus {
	u.mu.RLock()
	defer u.mu.RUnlock()
	agents := make([]core.AgentStatus, 0, len(u.agents))
	for _, group := range u.groups {
		agents = append(agents, group...)
	}
	slices.SortFunc(agents, func(a, b core.AgentStatus) int { return compareID(a, b.Host.ID) })
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
	if !status.Grant.Blocks() {
		status.Grant.Slots = max(0, status.Grant.Slots-max(0, sent-r.sentAtGrant))
	}
	return status
}

// count adds n to the requests in flight to an agent; the caller holds the lock.
func (u *Upstreams) count(id core.HostID, n int) {
	u.sent[id] += n
	if u.sent[id] <= 0 {
		delete(u.sent, id)
	}
	if record, ok := u.agents[id]; ok {
		group, i, _ := u.find(record.status.Host)
		group[i] = record.current(u.sent[id])
	}
}

// put stores a record and its current status; the caller holds the lock.
func (u *Upstreams) put(record agentRecord) {
	host := record.status.Host
	u.agents[host.ID] = record
	current := record.current(u.sent[host.ID])
	group, i, found := u.find(host)
	if found {
		group[i] = current
		return
	}
	u.groups[host.Upstream] = slices.Insert(group, i, current)
}

// remove deletes an agent; the caller holds the lock.
func (u *Upstreams) remove(id core.HostID) {
	record, ok := u.agents[id]
	if !ok {
		return
	}
	delete(u.agents, id)
	group, i, _ := u.find(record.status.Host)
	group = slices.Delete(group, i, i+1)
	u.groups[record.status.Host.Upstream] = group
	if len(group) == 0 {
		delete(u.groups, record.status.Host.Upstream)
	}
}

// find returns the group of a host and its place there.
func (u *Upstreams) find(host core.Host) (group []core.AgentStatus, index int, found bool) {
	group = u.groups[host.Upstream]
	index, found = slices.BinarySearchFunc(group, host.ID, compareID)
	return group, index, found
}

func compareID(agent core.AgentStatus, id core.HostID) int {
	return strings.Compare(string(agent.Host.ID), string(id))
}

// notify wakes those who wait for capacity; the caller holds the lock.
func (u *Upstreams) notify() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// BlockedGrant returns a grant that keeps new work away until expires, whatever the routing policy.
func BlockedGrant(expires time.Time) core.Grant {
	return core.Grant{Slots: core.BlockedSlots, Expires: expires}
}
