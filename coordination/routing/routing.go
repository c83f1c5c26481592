// Package routing chooses the agent that a request goes to.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Request is what routing needs to know about a request.
type Request struct {
	Upstream core.Upstream
	// Digest is the version wanted; empty means any.
	Digest core.Digest
	// NeedsVersion says that only an agent with a complete version can serve the request.
	NeedsVersion bool
	// FailureDomains lists the failure domains that may serve the request; empty means all.
	FailureDomains []core.FailureDomain
	// Exclude lists hosts already tried.
	Exclude []core.HostID
	// Affinity names the prompt prefix that an agent may hold in its cache; 0 means none.
	Affinity Affinity
}

// Snapshot is the state that a decision is made on.
type Snapshot struct {
	Now       time.Time
	Agents    []core.AgentStatus
	InService func(core.FailureDomain) bool
	Own       core.FailureDomain
	OwnRegion core.Region
}

// tiers are the classes of distance: own failure domain, own region, elsewhere.
const tiers = 3

// Choose returns the agent for a request among the nearest agents with a free slot: by affinity when the request has one,
// otherwise by power of two choices.
func Choose(snapshot Snapshot, request Request, random *rand.Rand) (core.AgentStatus, bool) {
	var byTier [tiers][]core.AgentStatus
	for _, agent := range snapshot.Agents {
		if !Eligible(snapshot, request, agent) || !free(snapshot.Now, agent) {
			continue
		}
		tier := snapshot.tier(agent.Host)
		byTier[tier] = append(byTier[tier], agent)
	}
	for _, agents := range byTier {
		if request.Affinity != 0 && len(agents) > 0 {
			return pickByAffinity(agents, request.Affinity), true
		}
		if chosen, ok := pickOfTwo(agents, random); ok {
			return chosen, true
		}
	}
	return core.AgentStatus{}, false
}

// Eligible reports whether an agent may serve a request, whether or not it has a free slot now.
func Eligible(snapshot Snapshot, request Request, agent core.AgentStatus) bool {
	switch {
	case agent.Host.Upstream != request.Upstream:
		return false
	case agent.Leaving, agent.Host.State == core.HostLeaving:
		return false
	case !snapshot.InService(agent.Host.FailureDomain):
		return false
	case request.NeedsVersion && agent.VersionDigest == "":
		return false
	case request.Digest != "" && agent.VersionDigest != request.Digest:
		return false
	case len(request.FailureDomains) > 0 && !slices.Contains(request.FailureDomains, agent.Host.FailureDomain):
		return false
	}
	return !slices.Contains(request.Exclude, agent.Host.ID)
}

// free reports whether an agent has a slot. A grant in force always counts; without one only a warm agent takes work,
// because the limit of a cold one may have fallen since the last report.
func free(now time.Time, agent core.AgentStatus) bool {
	if agent.InFlight >= agent.Limit {
		return false
	}
	if now.Before(agent.Grant.Expires) {
		return agent.Grant.Slots > 0
	}
	return agent.State == core.UpstreamWarm
}

func (s Snapshot) tier(host core.Host) int {
	switch {
	case host.FailureDomain == s.Own:
		return 0
	case host.Region == s.OwnRegion:
		return 1
	default:
		return 2
	}
}

func pickOfTwo(agents []core.AgentStatus, random *rand.Rand) (core.AgentStatus, bool) {
	switch len(agents) {
	case 0:
		return core.AgentStatus{}, false
	case 1:
		return agents[0], true
	}
	first := random.IntN(len(agents))
	second := (first + 1 + random.IntN(len(agents)-1)) % len(agents)
	if load(agents[second]) < load(agents[first]) {
		return agents[second], true
	}
	return agents[first], true
}

func load(agent core.AgentStatus) float64 {
	return float64(agent.InFlight) / float64(agent.Limit)
}
