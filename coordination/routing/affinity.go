package routing

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// loadBound is the load, relative to the average, up to which an agent is chosen by affinity. Higher values hit more
	// prompt caches but spread the load less evenly.
	loadBound = 1.25
	// prefixBytes is the length of the prompt prefix that identifies a cache entry. Shorter prompts are cheap to recompute,
	// so they are distributed by load alone.
	prefixBytes = 256
)

// Affinity identifies requests that share a cached prompt prefix; 0 means none.
type Affinity uint64

// AffinityOf returns the affinity of a prompt, or 0 if the prompt is shorter than prefixBytes. Teams and models do not share
// affinities.
func AffinityOf(team core.Team, model core.Model, prompt []byte) Affinity {
	if len(prompt) < prefixBytes {
		return 0
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(string(team) + "\x00" + string(model) + "\x00")
	_, _ = hash.Write(prompt[:prefixBytes])
	return Affinity(max(hash.Sum64(), 1))
}

// indexByAffinity returns the index of the agent with the highest rendezvous weight for the affinity, or -1. Candidates are
// the usable agents of the nearest tier whose load, with this request, stays within loadBound times the tier's average. The
// least loaded agent always qualifies.
func indexByAffinity(snapshot *Snapshot, request *Request) int {
	nearest, inFlight, limit := tierCount, 1, 0
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

// weight returns the rendezvous weight of an agent. It mixes the affinity with the hash of the ID by the finalizer of
// SplitMix64, which needs no buffer to concatenate the two.
func (a Affinity) weight(id core.HostID) uint64 {
	x := uint64(a) ^ xxhash.Sum64String(string(id))
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
