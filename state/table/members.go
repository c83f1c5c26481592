package table

import (
	"maps"
	"slices"
	"strings"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Members holds the hosts that the process knows, from membership records and from its own connections.
type Members struct {
	mu    mutex[rankMembers]
	hosts map[core.HostID]core.Host
	// seen holds what connections to a host have shown since its record last changed.
	seen map[core.HostID]observation
	// sorted caches List; nil after a change. At 2,500 hosts sorting takes longer than an exchange.
	sorted []core.Host
}

// observation is what a connection to a host has shown.
type observation struct {
	incarnation core.Incarnation
	refused     bool
}

// NewMembers returns an empty table.
func NewMembers() *Members {
	return &Members{hosts: make(map[core.HostID]core.Host), seen: make(map[core.HostID]observation)}
}

// Replace sets the hosts to the given list. What connections have shown about a host is kept until
// its record changes.
func (m *Members) Replace(hosts []core.Host) {
	next := make(map[core.HostID]core.Host, len(hosts))
	for _, host := range hosts {
		next[host.ID] = host
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.seen {
		if next[id] != m.hosts[id] {
			delete(m.seen, id)
		}
	}
	m.hosts = next
	m.sorted = nil
}

// MarkReachable records that a process answered at a host's address. Another incarnation than the record's is a
// fresh process, whatever the record says.
func (m *Members) MarkReachable(id core.HostID, incarnation core.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(id, observation{incarnation: incarnation})
}

// MarkUnreachable records that a host did not accept a connection or did not answer.
func (m *Members) MarkUnreachable(id core.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(id, observation{incarnation: m.seen[id].incarnation, refused: true})
}

// observe records an observation of a host that is known; the caller holds the lock.
func (m *Members) observe(id core.HostID, o observation) {
	if _, ok := m.hosts[id]; !ok || m.seen[id] == o {
		return
	}
	m.seen[id] = o
	m.sorted = nil
}

// List returns the hosts, sorted by ID. A host that refuses connections is suspect, unless it is leaving.
func (m *Members) List() []core.Host { return slices.Clone(m.Snapshot()) }

// Snapshot returns the same as List without a copy; callers must not change it.
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
		hosts[i] = m.seen[hosts[i].ID].apply(hosts[i])
	}
	slices.SortFunc(hosts, func(a, b core.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return hosts
}

func (o observation) apply(host core.Host) core.Host {
	if o.incarnation != "" && o.incarnation != host.Incarnation {
		// The record is about an earlier process; that one may have been leaving, this one is not.
		fresh := host.Incarnation != ""
		host.Incarnation = o.incarnation
		if fresh {
			host.State = core.HostLive
		}
	}
	if o.refused && host.State == core.HostLive {
		host.State = core.HostSuspect
	}
	return host
}
