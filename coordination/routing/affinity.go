package routing

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// loadBound is the share of the average load up to which an agent is chosen for its cache.
	loadBound = 1.25
	// prefixBytes is the length of the prompt prefix that names a cache entry. Shorter prompts are cheap to compute
	// again, so they are spread by load alone.
	prefixBytes = 256
)

// Affinity names the requests that share a cached prompt prefix; 0 means none.
type Affinity uint64

// AffinityOf returns the affinity of a prompt of a team and model.
func AffinityOf(team core.Team, model core.Model, prompt []byte) Affinity {
	if len(prompt) < prefixBytes {
		return 0
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(string(team) + "\x00" + string(model) + "\x00")
	_, _ = hash.Write(prompt[:prefixBytes])
	return Affinity(max(hash.Sum64(), 1))
}

// indexByAffinity returns the nearest agent with the highest rendezvous weight for the affinity among those whose load,
// with this request, stays within loadBound times the average of its tier. The least loaded agent always does.
func indexByAffinity(snapshot *Snapshot, request *Request) int {
	nearest, inFlight, limit := tiers, 1, 0
	for i := range snapshot.Agents {
		agent := &snapshot.Agents[i]
		tier := snapshot.tier(&agent.Host)
		if tier > nearest || !usable(snapshot, request, agent) {
			continue
		}
		if tier < nearest {
			nearest, inFlight, limit = tier, 1, 0
		}
		inFlight += agent.InFlight
		limit += agent.Limit
	}
	bound := loadBound * float64(inFlight) / float64(limit)
	best, bestWeight := -1, uint64(0)
	for i := range snapshot.Agents {
		agent := &snapshot.Agents[i]
		if snapshot.tier(&agent.Host) != nearest || float64(agent.InFlight+1) > math.Ceil(bound*float64(agent.Limit)) {
			continue
		}
		if !usable(snapshot, request, agent) {
			continue
		}
		if weight := request.Affinity.weight(agent.Host.ID); best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// weight mixes the affinity with the hash of the ID by the finaliser of SplitMix64, which needs no buffer for both.
func (a Affinity) weight(id core.HostID) uint64 {
	x := uint64(a) ^ xxhash.Sum64String(string(id))
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
