package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// MaxAgents bounds the agents to which an entry sends heartbeats, over all upstreams and failure domains.
	MaxAgents = 32
	// HeartbeatBytes is an upper bound for one status call and its response on an open HTTP/2 connection: 334 bytes above
	// TCP with all fields at their usual length, plus the headers of six packets.
	HeartbeatBytes = 640
	// HeartbeatBytesPerSecond bounds the bandwidth of all heartbeats of one entry.
	HeartbeatBytesPerSecond = 2000
)

// group identifies the agents of one upstream in one failure domain.
type group struct {
	upstream core.Upstream
	domain   core.FailureDomain
}

// rankedHost is a host with its rendezvous weight for one entry.
type rankedHost struct {
	host   core.Host
	weight uint64
}

// Subset returns the agents that entry self uses: the first k by rendezvous hash of each upstream and failure domain. k is
// the largest number for which the subset has at most limit agents, but at least 1.
func Subset(self core.HostID, hosts []core.Host, limit int) []core.Host {
	groups := rankedGroups(self, hosts)
	k := agentsPerGroup(groups, limit)
	var chosen []core.Host
	for _, members := range groups {
		for _, r := range members[:min(k, len(members))] {
			chosen = append(chosen, r.host)
		}
	}
	slices.SortFunc(chosen, func(a, b core.Host) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

// HeartbeatInterval returns the time between two heartbeats to the same agent: base, or longer if the heartbeats to that
// many agents would exceed HeartbeatBytesPerSecond.
func HeartbeatInterval(base time.Duration, agents int) time.Duration {
	needed := time.Duration(agents) * HeartbeatBytes * time.Second / HeartbeatBytesPerSecond
	return max(base, needed)
}

func rankedGroups(self core.HostID, hosts []core.Host) map[group][]rankedHost {
	groups := make(map[group][]rankedHost)
	for _, host := range hosts {
		if host.Role != core.RoleAgent {
			continue
		}
		g := group{upstream: host.Upstream, domain: host.FailureDomain}
		groups[g] = append(groups[g], rankedHost{host: host, weight: rendezvous(string(self), string(host.ID))})
	}
	for _, members := range groups {
		slices.SortFunc(members, func(a, b rankedHost) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host.ID, b.host.ID))
		})
	}
	return groups
}

func agentsPerGroup(groups map[group][]rankedHost, limit int) int {
	largest := 0
	for _, members := range groups {
		largest = max(largest, len(members))
	}
	for k := largest; k > 1; k-- {
		if subsetSize(groups, k) <= limit {
			return k
		}
	}
	return 1
}

func subsetSize(groups map[group][]rankedHost, k int) int {
	sum := 0
	for _, members := range groups {
		sum += min(k, len(members))
	}
	return sum
}

func rendezvous(key, node string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(node)
	return hash.Sum64()
}
