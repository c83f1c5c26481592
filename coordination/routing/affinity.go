package routing

import (
	"cmp"
	"math"
	"slices"

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

// pickByAffinity returns the agent with the highest rendezvous weight for the affinity among those whose load, with this
// request, stays within loadBound times the average. The least loaded agent always does.
func pickByAffinity(agents []core.AgentStatus, affinity Affinity) core.AgentStatus {
	inFlight, limit := 1, 0
	for _, agent := range agents {
		inFlight += agent.InFlight
		limit += agent.Limit
	}
	bound := loadBound * float64(inFlight) / float64(limit)
	within := slices.DeleteFunc(slices.Clone(agents), func(agent core.AgentStatus) bool {
		return float64(agent.InFlight+1) > math.Ceil(bound*float64(agent.Limit))
	})
	return slices.MaxFunc(within, func(a, b core.AgentStatus) int {
		return cmp.Or(cmp.Compare(affinity.weight(a.Host.ID), affinity.weight(b.Host.ID)), cmp.Compare(a.Host.ID, b.Host.ID))
	})
}

func (a Affinity) weight(id core.HostID) uint64 {
	key := make([]byte, 8)
	for i := range key {
		key[i] = byte(a >> (8 * i))
	}
	return rendezvous(string(key), string(id))
}
