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
}

// Heard records that a process answered at a host's address. Another incarnation than the record's is a
// fresh process, whatever the record says.
func (m *Members) Heard(id core.HostID, incarnation core.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.hosts[id]; ok {
		m.seen[id] = observation{incarnation: incarnation}
	}
}

// Refused records that a host did not accept a connection or did not answer.
func (m *Members) Refused(id core.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.hosts[id]; ok {
		m.seen[id] = observation{incarnation: m.seen[id].incarnation, refused: true}
	}
}

// List returns the hosts, sorted by ID. A host that refuses connections is suspect, unless it is leaving.
func (m *Members) List() []core.Host {
	m.mu.RLock()
	defer m.mu.RUnlock()
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
