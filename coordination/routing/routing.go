// Package routing chooses the agent for a request.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Request holds the properties of a request that determine which agents may serve it.
type Request struct {
	Upstream core.Upstream
	// Digest is the requested model version; empty means any.
	Digest core.Digest
	// NeedsVersion is true if only an agent with a completely loaded version can serve the request.
	NeedsVersion bool
	// FailureDomains lists the failure domains that may serve the request; empty means all.
	FailureDomains []core.FailureDomain
	// Exclude lists the hosts that earlier attempts were sent to.
	Exclude []core.HostID
	// Affinity identifies the prompt prefix that an agent may have cached; 0 means none.
	Affinity Affinity
}

// Policy determines which agents count as having a free slot, and which of them is chosen.
type Policy string

// Policies.
const (
	// PolicyGrants respects grants and chooses the less loaded of two random agents.
	PolicyGrants Policy = "grants"
	// PolicyTwoChoices chooses the less loaded of two random agents and relies on the agents to refuse excess requests. It
	// is the default.
	PolicyTwoChoices Policy = "two_choices"
	// PolicyLeastInFlight chooses the least loaded agent and relies on the agents to refuse excess requests.
	PolicyLeastInFlight Policy = "least_in_flight"
)

// Snapshot is the state on which a routing decision is based.
type Snapshot struct {
	Now       time.Time
	Agents    []core.AgentStatus
	InService func(core.FailureDomain) bool
	OwnDomain core.FailureDomain
	OwnRegion core.Region
	// Policy defaults to PolicyTwoChoices if empty.
	Policy Policy
}

// tierCount is the number of distance tiers: own failure domain, own region, elsewhere.
const tierCount = 3

// Choose returns the agent for a request among the nearest agents with a free slot: by affinity if the request has one,
// otherwise by the policy.
func Choose(snapshot Snapshot, request Request, random *rand.Rand) (core.AgentStatus, bool) {
	index := ChooseIndex(&snapshot, &request, random)
	if index < 0 {
		return core.AgentStatus{}, false
	}
	return snapshot.Agents[index], true
}

// ChooseIndex is like Choose but returns the index of the agent in the snapshot, or -1. It does not allocate.
func ChooseIndex(snapshot *Snapshot, request *Request, random *rand.Rand) int {
	if request.Affinity != 0 {
		return indexByAffinity(snapshot, request)
	}
	nearest := tierCount
	var nearby sample
	for i := range snapshot.Agents {
		agent := &snapshot.Agents[i]
		tier := snapshot.tier(&agent.Host)
		if tier > nearest || !usable(snapshot, request, agent) {
			continue
		}
		if tier < nearest {
			nearest, nearby = tier, sample{}
		}
		nearby.add(snapshot, i, random)
	}
	return nearby.choice(snapshot, random)
}

// Eligible reports whether an agent may serve a request, regardless of free slots.
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
	return snapshot.hasFreeSlot(agent) && Eligible(snapshot, request, agent)
}

// hasFreeSlot reports whether an agent is below its limit and not blocked by an unexpired grant. With PolicyGrants, an
// unexpired grant must also have slots left, and without one only a warm agent counts, because the limit of a cold agent may
// have fallen since its last report.
func (s *Snapshot) hasFreeSlot(agent *core.AgentStatus) bool {
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
