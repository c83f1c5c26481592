package table

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Upstreams holds what an entry knows about the agents to which it sends requests.
type Upstreams struct {
	mu     mutex[rankUpstreams]
	agents map[core.HostID]agentRecord
	// groups holds the current status of the agents of each upstream, sorted by host ID. It is updated on each
	// change, so that Reserve doesn't need to copy or compute it.
	groups map[core.Upstream][]core.AgentStatus
	// ownInFlight is the number of this entry's own requests in flight per agent.
	ownInFlight map[core.HostID]int
	changed     chan struct{}
}

// agentRecord is an agent's latest status, with the number of this entry's own requests in flight when the status and the
// grant arrived.
type agentRecord struct {
	status              core.AgentStatus
	ownInFlightAtReport int
	ownInFlightAtGrant  int
}

// NewUpstreams returns an empty Upstreams table.
func NewUpstreams() *Upstreams {
	return &Upstreams{
		agents:      make(map[core.HostID]agentRecord),
		groups:      make(map[core.Upstream][]core.AgentStatus),
		ownInFlight: make(map[core.HostID]int),
		changed:     make(chan struct{}),
	}
}

// Changed returns a channel that is closed on the next change that may free capacity.
func (u *Upstreams) Changed() <-chan struct{} {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return u.changed
}

// Set stores an agent's status. Once an agent is leaving, it stays so until its incarnation changes.
func (u *Upstreams) Set(status core.AgentStatus) {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous, ok := u.agents[status.Host.ID]
	if ok && previous.status.Incarnation == status.Incarnation && previous.status.Leaving {
		status.Leaving = true
	}
	if ok && previous.status.Host.Upstream != status.Host.Upstream {
		u.remove(status.Host.ID)
	}
	ownInFlight := u.ownInFlight[status.Host.ID]
	u.put(agentRecord{status: status, ownInFlightAtReport: ownInFlight, ownInFlightAtGrant: ownInFlight})
	u.notify()
}

// SetGrant replaces an agent's grant by one that arrived with a response frame.
func (u *Upstreams) SetGrant(id core.HostID, incarnation core.Incarnation, grant core.Grant) {
	u.update(id, incarnation, func(record *agentRecord) {
		record.status.Grant = grant
		record.ownInFlightAtGrant = u.ownInFlight[id]
	})
}

// Load is the load and admission state that an agent reports.
type Load struct {
	State    core.UpstreamState
	Limit    int
	InFlight int
	// Seen is the time at which the entry received the report.
	Seen time.Time
}

// RecordResponseEnd replaces an agent's load and grant by those in the last frame of a response. They no longer include the
// completed request, which this entry still counts until the caller calls Finish; it is therefore subtracted here.
func (u *Upstreams) RecordResponseEnd(id core.HostID, incarnation core.Incarnation, load Load, grant core.Grant) {
	u.update(id, incarnation, func(record *agentRecord) {
		remaining := u.ownInFlight[id] - 1
		record.status.State, record.status.Limit, record.status.InFlight = load.State, load.Limit, load.InFlight
		record.status.Grant, record.status.Seen = grant, load.Seen
		record.ownInFlightAtReport, record.ownInFlightAtGrant = remaining, remaining
	})
}

// MarkLeaving records that an agent refused a request because it is leaving.
func (u *Upstreams) MarkLeaving(id core.HostID, incarnation core.Incarnation) {
	u.update(id, incarnation, func(record *agentRecord) { record.status.Leaving = true })
}

// SetHostState stores the state that the host list shows for an agent.
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

// Remove deletes an agent.
func (u *Upstreams) Remove(id core.HostID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.remove(id)
}

// Reserve counts a request as sent to the agent at the index that choose returns; a negative index means none.
//
// The agents are sorted by host ID. Their requests in flight and grants are adjusted for the requests that this entry started
// or finished since the agent's report. choose runs with the table locked and must neither keep nor modify the slice.
func (u *Upstreams) Reserve(upstream core.Upstream, choose func(agents []core.AgentStatus) int) (core.AgentStatus, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	agents := u.groups[upstream]
	index := choose(agents)
	if index < 0 {
		return core.AgentStatus{}, false
	}
	chosen := agents[index]
	u.addInFlight(chosen.Host.ID, 1)
	return chosen, true
}

// Any reports whether test holds for any agent of an upstream. test runs with the table locked.
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

// Start counts a request as sent to an agent.
func (u *Upstreams) Start(id core.HostID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.addInFlight(id, 1)
}

// Finish counts a request to an agent as finished.
func (u *Upstreams) Finish(id core.HostID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.addInFlight(id, -1)
	u.notify()
}

// List returns the agents of all upstreams, sorted by host ID, adjusted as for Reserve.
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

func (r agentRecord) current(ownInFlight int) core.AgentStatus {
	status := r.status
	status.InFlight = max(ownInFlight, status.InFlight+ownInFlight-r.ownInFlightAtReport)
	if !status.Grant.Blocks() {
		status.Grant.Slots = max(0, status.Grant.Slots-max(0, ownInFlight-r.ownInFlightAtGrant))
	}
	return status
}

// addInFlight adds n to the requests in flight to an agent; the caller holds the lock.
func (u *Upstreams) addInFlight(id core.HostID, n int) {
	u.ownInFlight[id] += n
	if u.ownInFlight[id] <= 0 {
		delete(u.ownInFlight, id)
	}
	if record, ok := u.agents[id]; ok {
		group, i, _ := u.find(record.status.Host)
		group[i] = record.current(u.ownInFlight[id])
	}
}

// put stores a record and updates its adjusted status in groups; the caller holds the lock.
func (u *Upstreams) put(record agentRecord) {
	host := record.status.Host
	u.agents[host.ID] = record
	current := record.current(u.ownInFlight[host.ID])
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

// find returns the agents of a host's upstream, and the index at which the host is or would be inserted.
func (u *Upstreams) find(host core.Host) (group []core.AgentStatus, index int, found bool) {
	group = u.groups[host.Upstream]
	index, found = slices.BinarySearchFunc(group, host.ID, compareID)
	return group, index, found
}

func compareID(agent core.AgentStatus, id core.HostID) int {
	return strings.Compare(string(agent.Host.ID), string(id))
}

// notify wakes all goroutines that wait for capacity; the caller holds the lock.
func (u *Upstreams) notify() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// BlockedGrant returns a grant that forbids new requests until expires under every routing policy.
func BlockedGrant(expires time.Time) core.Grant {
	return core.Grant{Slots: core.BlockedSlots, Expires: expires}
}
