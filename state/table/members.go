package table

import (
	"maps"
	"slices"
	"strings"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Members holds the hosts that the process knows.
type Members struct {
	mu    mutex[rankMembers]
	hosts map[core.HostID]core.Host
}

// NewMembers returns an empty table.
func NewMembers() *Members {
	return &Members{hosts: make(map[core.HostID]core.Host)}
}

// Replace sets the hosts to the given list.
func (m *Members) Replace(hosts []core.Host) {
	next := make(map[core.HostID]core.Host, len(hosts))
	for _, host := range hosts {
		next[host.ID] = host
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts = next
}

// List returns the hosts, sorted by ID.
func (m *Members) List() []core.Host {
	m.mu.RLock()
	defer m.mu.RUnlock()
	hosts := slices.Collect(maps.Values(m.hosts))
	slices.SortFunc(hosts, func(a, b core.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return hosts
}
