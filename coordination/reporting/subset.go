// Package reporting decides which agents an entry host requests load reports from and how often, and counts the entry hosts of a fleet in
// which no host hears from all others. It takes no locks and reads no clock: callers serialize access and pass in the time.
package reporting

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// Fleets with at most MaxAgents agent hosts and MaxFullEntries entry hosts are small: every entry host gets reports from every agent,
	// five times a second.
	MaxAgents      = 60
	MaxFullEntries = 20
	// maxSubset bounds a subset, apart from the agents that an entry host guards. It is below MaxAgents because rendezvous hashes give some
	// agents twice as many distant entry hosts as others.
	maxSubset = 54
	// minAgents is the least size of a subset in a fleet with many entry hosts for each agent.
	minAgents = 12
	// requestersPerAgent is the mean number of entry hosts that an agent reports to, beyond which subsets become smaller.
	requestersPerAgent = 40
	// reportsPerSecond bounds the reports that an entry host requests, as far as minRate allows. It is below MaxAgents times fullRate, so that
	// agents of other regions report less often as the fleet grows.
	reportsPerSecond = 240
	// fullRate is the usual rate of reports per second. At minRate two reports may be lost before an engine counts as silent (1 s).
	fullRate = 5.0
	minRate  = 3.0
	// RegistrarCount is the number of agents that hear from all entry hosts of a failure domain.
	RegistrarCount = 3
	// guardDomains and guardsPerDomain are the numbers of failure domains whose entry hosts guard an agent, and of its guards in each. One
	// guard suffices; the others cover it while hosts disagree about who is there.
	guardDomains    = 2
	guardsPerDomain = 2
)

// Agent is the host of an agent.
type Agent struct {
	Host   netip.Addr
	Region core.Region
	// Unusable is set if its replicas get no requests. Only the entry hosts that guard it need its reports.
	Unusable bool
}

// Fleet is what an entry host knows of the fleet.
type Fleet struct {
	Self          netip.Addr
	FailureDomain core.FailureDomain
	Region        core.Region
	Agents        []Agent
	// Domains lists the failure domains that have entry hosts, Entries the entry hosts of the own one; empty if unknown.
	Domains []core.FailureDomain
	Entries []netip.Addr
	// EntryCount is the number of entry hosts in all failure domains, 0 if unknown.
	EntryCount int
}

// Small reports whether subsets are not needed.
func Small(agents, entryHosts int) bool { return agents <= MaxAgents && entryHosts <= MaxFullEntries }

// Plan is the choice of agents.
type Plan struct {
	// Intervals holds the time between two reports of each agent of the subset; 0 means the usual interval.
	Intervals map[netip.Addr]time.Duration
	// Registrars lists the agents that must know this host, whether or not they are in the subset.
	Registrars []netip.Addr
}

// Choose returns the plan of an entry host. As long as the entry hosts are not known, every agent is in the subset.
func Choose(f *Fleet) Plan {
	plan := Plan{Intervals: make(map[netip.Addr]time.Duration, len(f.Agents))}
	if Small(len(f.Agents), f.EntryCount) {
		for _, agent := range f.Agents {
			plan.Intervals[agent.Host] = 0
		}
		return plan
	}
	plan.Registrars = Registrars(f.FailureDomain, f.Region, f.Agents)
	ranked := slices.Clone(f.Agents)
	if f.EntryCount > 0 && len(f.Entries) > 0 {
		ranked = f.subset()
	}
	f.setIntervals(plan.Intervals, ranked)
	return plan
}

// subset returns the agents of the own region, those that this host guards, and others by rendezvous hash up to the limit.
func (f *Fleet) subset() []Agent {
	weights := make(map[netip.Addr]uint64, len(f.Agents))
	for _, agent := range f.Agents {
		weights[agent.Host] = weight(f.Self.AsSlice(), agent.Host.AsSlice())
	}
	ranked := slices.DeleteFunc(slices.Clone(f.Agents), func(agent Agent) bool { return agent.Unusable })
	slices.SortFunc(ranked, func(a, b Agent) int {
		if a.Region != b.Region && (a.Region == f.Region || b.Region == f.Region) {
			return cmp.Compare(distance(a, f.Region), distance(b, f.Region))
		}
		return cmp.Or(cmp.Compare(weights[b.Host], weights[a.Host]), a.Host.Compare(b.Host))
	})
	limit := requestersPerAgent * len(f.Agents) / f.EntryCount
	limit = min(max(limit, minAgents), maxSubset, len(ranked))
	own := min(limit, len(ranked)-f.distant(ranked))
	chosen, rest := ranked[:own:own], make([]Agent, 0, len(ranked))
	for _, agent := range f.Agents {
		if agent.Unusable && f.guards(agent) {
			chosen = append(chosen, agent)
		}
	}
	for _, agent := range ranked[own:] {
		if f.guards(agent) {
			chosen = append(chosen, agent)
		} else {
			rest = append(rest, agent)
		}
	}
	return append(chosen, rest[:max(min(limit-len(chosen), len(rest)), 0)]...)
}

// distant returns the number of agents in other regions.
func (f *Fleet) distant(agents []Agent) int {
	count := 0
	for _, agent := range agents {
		count += distance(agent, f.Region)
	}
	return count
}

func distance(agent Agent, region core.Region) int {
	if agent.Region == region {
		return 0
	}
	return 1
}

// guards reports whether this host must have an agent in its subset, so that every agent is in one.
func (f *Fleet) guards(agent Agent) bool {
	host := agent.Host.AsSlice()
	domains := highest(f.Domains, guardDomains, func(d core.FailureDomain) uint64 { return weight(host, []byte(d)) })
	if !slices.Contains(domains, f.FailureDomain) {
		return false
	}
	guards := highest(f.Entries, guardsPerDomain, func(e netip.Addr) uint64 { return weight(e.AsSlice(), host) })
	return slices.Contains(guards, f.Self)
}

// setIntervals divides reportsPerSecond: agents of the own region report at fullRate if possible, the others at what is left.
func (f *Fleet) setIntervals(intervals map[netip.Addr]time.Duration, agents []Agent) {
	own := len(agents) - f.distant(agents)
	ownRate := bounded(reportsPerSecond / float64(max(own, 1)))
	otherRate := bounded((reportsPerSecond - ownRate*float64(own)) / float64(max(len(agents)-own, 1)))
	for _, agent := range agents {
		rate := otherRate
		if agent.Region == f.Region {
			rate = ownRate
		}
		interval := time.Duration(math.Ceil(1000/rate)) * time.Millisecond
		if rate == fullRate {
			interval = 0
		}
		intervals[agent.Host] = interval
	}
}

func bounded(rate float64) float64 { return min(max(rate, minRate), fullRate) }

// Registrars returns the agents that hear from all entry hosts of a failure domain, if possible of its region. All hosts that know the
// same agents choose the same ones.
func Registrars(domain core.FailureDomain, region core.Region, agents []Agent) []netip.Addr {
	var own, all []netip.Addr
	for _, agent := range agents {
		all = append(all, agent.Host)
		if agent.Region == region {
			own = append(own, agent.Host)
		}
	}
	if len(own) >= RegistrarCount {
		all = own
	}
	return highest(all, RegistrarCount, func(host netip.Addr) uint64 { return weight([]byte(domain), host.AsSlice()) })
}

// highest returns up to n items with the highest weights.
func highest[T any](items []T, n int, weigh func(T) uint64) []T {
	var chosen []T
	var weights []uint64
	for _, item := range items {
		w := weigh(item)
		at, _ := slices.BinarySearchFunc(weights, w, func(a, b uint64) int { return cmp.Compare(b, a) })
		if at >= n {
			continue
		}
		chosen, weights = slices.Insert(chosen, at, item), slices.Insert(weights, at, w)
		chosen, weights = chosen[:min(n, len(chosen))], weights[:min(n, len(weights))]
	}
	return chosen
}

// weight is the rendezvous weight of a pair.
func weight(key, node []byte) uint64 {
	var buffer [64]byte
	return xxhash.Sum64(append(append(append(buffer[:0], key...), 0), node...))
}
