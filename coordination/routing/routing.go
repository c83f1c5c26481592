// Package routing chooses the agent that a request goes to.
package routing

import (
	"math/rand/v2"
	"slices"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Request is what routing needs to know about a request.
type Request struct {
	Upstream core.Upstream
	// Digest is the version wanted; empty means any.
	Digest core.Digest
	// FailureDomains lists the failure domains that may serve the request; empty means all.
	FailureDomains []core.FailureDomain
	// Exclude lists hosts already tried.
	Exclude []core.HostID
}

// Snapshot is the state that a decision is made on.
type Snapshot struct {
	Agents    []core.AgentStatus
	InService func(core.FailureDomain) bool
	Own       core.FailureDomain
}

// Choose returns the agent for a request by power of two choices, own failure domain first.
func Choose(snapshot Snapshot, request Request, random *rand.Rand) (core.AgentStatus, bool) {
	var own, others []core.AgentStatus
	for _, agent := range snapshot.Agents {
		if !eligible(snapshot, request, agent) {
			continue
		}
		if agent.Host.FailureDomain == snapshot.Own {
			own = append(own, agent)
			continue
		}
		others = append(others, agent)
	}
	if chosen, ok := pickOfTwo(own, random); ok {
		return chosen, true
	}
	return pickOfTwo(others, random)
}

func eligible(snapshot Snapshot, request Request, agent core.AgentStatus) bool {
	switch {
	case agent.Host.Upstream != request.Upstream:
		return false
	case agent.Leaving, agent.Host.State == core.HostLeaving:
		return false
	case !snapshot.InService(agent.Host.FailureDomain):
		return false
	case request.Digest != "" && agent.VersionDigest != request.Digest:
		return false
	case len(request.FailureDomains) > 0 && !slices.Contains(request.FailureDomains, agent.Host.FailureDomain):
		return false
	case slices.Contains(request.Exclude, agent.Host.ID):
		return false
	}
	return agent.InFlight < agent.Limit
}

func pickOfTwo(agents []core.AgentStatus, random *rand.Rand) (core.AgentStatus, bool) {
	if len(agents) == 0 {
		return core.AgentStatus{}, false
	}
	a := agents[random.IntN(len(agents))]
	b := agents[random.IntN(len(agents))]
	if load(b) < load(a) {
		return b, true
	}
	return a, true
}

func load(agent core.AgentStatus) float64 {
	return float64(agent.InFlight) / float64(agent.Limit)
}
