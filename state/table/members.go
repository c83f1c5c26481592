package table

import (
	"maps"
	"slices"
	"strings"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Members holds the known hosts, as described by membership records and by the process's own connections to them.
type Members struct {
	mu    mutex[rankMembers]
	hosts map[core.HostID]core.Host
	// observations holds, for each host, the result of the latest connections since its record last changed.
	observations map[core.HostID]observation
	// sorted caches the result of Snapshot; nil after a change. At 2,500 hosts sorting takes longer than an exchange.
	sorted []core.Host
}

// observation is what the process's own connections to a host have shown.
type observation struct {
	incarnation core.Incarnation
	unreachable bool
}

// NewMembers returns an empty Members table.
func NewMembers() *Members {
	return &Members{hosts: make(map[core.HostID]core.Host), observations: make(map[core.HostID]observation)}
}

// Replace replaces the hosts by the given list. The observations of a host are kept unless its record changes.
func (m *Members) Replace(hosts []core.Host) {
	next := make(map[core.HostID]core.Host, len(hosts))
	for _, host := range hosts {
		next[host.ID] = host
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.observations {
		if next[id] != m.hosts[id] {
			delete(m.observations, id)
		}
	}
	m.hosts = next
	m.sorted = nil
}

// MarkReachable records that a process of the given incarnation answered at a host's address. If the record has another
// incarnation, it is outdated: the process has been restarted since.
func (m *Members) MarkReachable(id core.HostID, incarnation core.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(id, observation{incarnation: incarnation})
}

// MarkUnreachable records that a host refused a connection or did not answer.
func (m *Members) MarkUnreachable(id core.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(id, observation{incarnation: m.observations[id].incarnation, unreachable: true})
}

// observe stores an observation unless the host is unknown; the caller holds the lock.
func (m *Members) observe(id core.HostID, o observation) {
	if _, ok := m.hosts[id]; !ok || m.observations[id] == o {
		return
	}
	m.observations[id] = o
	m.sorted = nil
}

// List returns the hosts, sorted by ID. A live host that was unreachable is shown as suspect.
func (m *Members) List() []core.Host { return slices.Clone(m.Snapshot()) }

// Snapshot returns the same hosts as List without copying them; callers must not modify the slice.
func (m *Members) Snapshot() []core.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sorted == nil {
		m.sorted = m.list()
	}
	return m.sorted
}

func (m *Members) list() []core.Host {
	hosts := slices.Collect(maps.Values(m.hosts))
	for i := range hosts {
		hosts[i] = m.observations[hosts[i].ID].apply(hosts[i])
	}
	slices.SortFunc(hosts, func(a, b core.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return hosts
}

func (o observation) apply(host core.Host) core.Host {
	if o.incarnation != "" && o.incarnation != host.Incarnation {
		// The record describes an earlier process. That process may have been leaving, but this one is not.
		restarted := host.Incarnation != ""
		host.Incarnation = o.incarnation
		if restarted {
			host.State = core.HostLive
		}
	}
	if o.unreachable && host.State == core.HostLive {
		host.State = core.HostSuspect
	}
	return host
}
