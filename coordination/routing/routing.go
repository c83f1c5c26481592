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

// Policy names a way to judge free slots and to pick among the agents that have one.
type Policy string

// Policies.
const (
	// PolicyGrants heeds grants and takes the less loaded of two random agents.
	PolicyGrants Policy = "grants"
	// PolicyTwoChoices takes the less loaded of two random agents and leaves the rest to the agents' refusals. It is
	// the default.
	PolicyTwoChoices Policy = "two_choices"
	// PolicyLeastInFlight takes the least loaded agent and leaves the rest to the agents' refusals.
	PolicyLeastInFlight Policy = "least_in_flight"
)

// Snapshot is the state that a decision is made on.
type Snapshot struct {
	Now       time.Time
	Agents    []core.AgentStatus
	InService func(core.FailureDomain) bool
	OwnDomain core.FailureDomain
	OwnRegion core.Region
	// Policy is PolicyTwoChoices when it is empty.
	Policy Policy
}

// tiers are the classes of distance: own failure domain, own region, elsewhere.
const tiers = 3

// Choose returns the agent for a request among the nearest agents with a free slot: by affinity when the request has one,
// otherwise by the policy.
func Choose(snapshot Snapshot, request Request, random *rand.Rand) (core.AgentStatus, bool) {
	index := ChooseIndex(&snapshot, &request, random)
	if index < 0 {
		return core.AgentStatus{}, false
	}
	return snapshot.Agents[index], true
}

// ChooseIndex is Choose with the agent's index in the snapshot as the result, or -1. It allocates nothing.
func ChooseIndex(snapshot *Snapshot, request *Request, random *rand.Rand) int {
	if request.Affinity != 0 {
		return indexByAffinity(snapshot, request)
	}
	nearest := tiers
	var seen sample
	for i := range snapshot.Agents {
		agent := &snapshot.Agents[i]
		tier := snapshot.tier(&agent.Host)
		if tier > nearest || !usable(snapshot, request, agent) {
			continue
		}
		if tier < nearest {
			nearest, seen = tier, sample{}
		}
		seen.add(snapshot, i, random)
	}
	return seen.choice(snapshot, random)
}

// Eligible reports whether an agent may serve a request, whether or not it has a free slot now.
func Eligible(snapshot *Snapshot, request *Request, agent *core.AgentStatus) bool {
	switch {
	case agent.Host.Upstream != request.Upstream:
		return false
	case agent.Leaving, agent.Host.State == core.HostLeaving:
		return false
	case request.NeedsVersion && agent.VersionDigest == "":
		return false
	case request.Digest != "" && agent.VersionDigest != request.Digest:
		return false
	case len(request.FailureDomains) > 0 && !slices.Contains(request.FailureDomains, agent.Host.FailureDomain):
		return false
	case slices.Contains(request.Exclude, agent.Host.ID):
		return false
	}
	return snapshot.InService(agent.Host.FailureDomain)
}

func usable(snapshot *Snapshot, request *Request, agent *core.AgentStatus) bool {
	return snapshot.free(agent) && Eligible(snapshot, request, agent)
}

// free reports whether an agent has a slot. With PolicyGrants, a grant in force always counts; without one only a warm
// agent takes work, because the limit of a cold one may have fallen since the last report.
func (s *Snapshot) free(agent *core.AgentStatus) bool {
	granted := s.Now.Before(agent.Grant.Expires)
	switch {
	case agent.InFlight >= agent.Limit:
		return false
	case granted && agent.Grant.Blocks():
		return false
	case s.Policy != PolicyGrants:
		return true
	case granted:
		return agent.Grant.Slots > 0
	}
	return agent.State == core.UpstreamWarm
}

func (s *Snapshot) tier(host *core.Host) int {
	switch {
	case host.FailureDomain == s.OwnDomain:
		return 0
	case host.Region == s.OwnRegion:
		return 1
	default:
		return 2
	}
}

func load(agent *core.AgentStatus) float64 {
	return float64(agent.InFlight) / float64(agent.Limit)
}
