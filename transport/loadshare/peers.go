package loadshare

import (
	"hash/crc32"
	"iter"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/reporting"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// entriesSettleTime is the time for which a shorter list of entry hosts doesn't replace a longer one, and entriesLifetime the time for
	// which a list is used.
	entriesSettleTime = 3 * time.Second
	entriesLifetime   = 15 * time.Second
	// relayLifetime is the time for which agents are told of a relay after a registrar has named it.
	relayLifetime = 3 * time.Second
	// staleWindow bounds the time by which a report may have been overtaken. A larger step back means that the agent's host was restarted.
	staleWindow = 10 * time.Second
	// noticeRegistrars is the number of registrars of each failure domain that new notices are sent to.
	noticeRegistrars = 2
	// exchangeRounds is the number of rounds in each of which a third of the entry hosts exchange counts with another failure domain.
	exchangeRounds = 3
)

// peers holds what an entry host knows of the other entry hosts.
type peers struct {
	self    netip.Addr
	domain  core.FailureDomain
	regions map[core.FailureDomain]core.Region

	mu        *sync.Mutex
	census    *reporting.Census
	entries   []netip.Addr
	entriesAt time.Time
	relay     netip.Addr
	relayAt   time.Time
	// senders is the number of entry hosts in the last report; divided is set if not all agents are asked for reports.
	senders int
	divided bool
	// newest holds the last report of each agent.
	newest map[netip.Addr]reportOrder
	// rounds counts the rounds from a number that differs between hosts, so that they don't ask the same agents at the same time.
	rounds int
	// always makes every round one of a small fleet, as a baseline of tests.
	always bool
}

// reportOrder is the place of a report among those of an agent.
type reportOrder struct{ born, order int64 }

func newPeers(self netip.Addr, domain core.FailureDomain, regions map[core.FailureDomain]core.Region) peers {
	return peers{
		self: self, domain: domain, regions: regions, mu: &sync.Mutex{},
		census: reporting.NewCensus(), newest: make(map[netip.Addr]reportOrder),
		rounds: int(crc32.ChecksumIEEE([]byte(self.String()))),
	}
}

// round is one round of requests for reports.
type round struct {
	plan reporting.Plan
	// small is set in a fleet in which all agents are asked.
	small   bool
	outside map[fleet.ReplicaID]bool
	// question is the registrar that is asked for the entry hosts and the relay of the failure domain in this round.
	question netip.Addr
	// order lists the agents, the next one in turn first.
	order []netip.Addr
	// exchange is the registrar of another failure domain that counts are exchanged with in this round.
	exchange    netip.Addr
	counts      []hostCount
	entriesHash uint32
	// entryHosts is the number of entry hosts, 0 if unknown.
	entryHosts int
	// relays holds the relay of the own failure domain if agents of its region may not hear from it.
	relays map[core.FailureDomain]netip.Addr
}

// startRound chooses the agents of a round. All are asked as long as it is not known which replicas have agents.
func (p *peers) startRound(now time.Time, byHost map[netip.Addr][]fleet.Member, ready bool) round {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rounds++
	f := &reporting.Fleet{Self: p.self, FailureDomain: p.domain, Region: p.regions[p.domain], Agents: p.agents(byHost)}
	f.EntryCount = max(p.census.Total(now), p.senders)
	for _, count := range p.census.Counts(now) {
		f.Domains = append(f.Domains, count.FailureDomain)
	}
	if now.Sub(p.entriesAt) <= entriesLifetime {
		f.Entries = p.entries
	}
	for host := range p.newest {
		if _, ok := byHost[host]; !ok {
			delete(p.newest, host)
		}
	}
	r := round{
		small:   p.always || !ready || reporting.Small(len(f.Agents), f.EntryCount),
		outside: make(map[fleet.ReplicaID]bool), order: p.inTurn(byHost),
	}
	p.divided = false
	varEntryHosts.Set(float64(f.EntryCount))
	varSubsetAgents.Set(float64(len(byHost)))
	varSubsetOutside.Set(0)
	if r.small {
		return r
	}
	r.plan = reporting.Choose(f)
	r.setOutside(byHost)
	p.divided = len(r.outside) > 0
	varSubsetAgents.Set(float64(len(r.plan.Intervals)))
	varSubsetOutside.Set(float64(len(r.outside)))
	if len(r.plan.Registrars) == 0 {
		return r
	}
	r.question = r.plan.Registrars[p.rounds%len(r.plan.Registrars)]
	r.exchange = p.otherRegistrar(f.Agents)
	r.counts, r.entriesHash, r.entryHosts = encodeCounts(p.census, now), hashEntries(f.Entries), p.census.Total(now)
	if p.relay.IsValid() && r.leavesOut(f) && now.Sub(p.relayAt) <= relayLifetime {
		r.relays = map[core.FailureDomain]netip.Addr{p.domain: p.relay}
	}
	return r
}

// otherRegistrar returns a registrar of one of the other failure domains in turn, or none in this round; the caller holds the lock.
func (p *peers) otherRegistrar(agents []reporting.Agent) netip.Addr {
	domains := slices.DeleteFunc(slices.Sorted(maps.Keys(p.regions)), func(d core.FailureDomain) bool { return d == p.domain })
	if len(domains) == 0 || p.rounds%exchangeRounds != 0 {
		return netip.Addr{}
	}
	turn := p.rounds / exchangeRounds
	domain := domains[turn%len(domains)]
	registrars := reporting.Registrars(domain, p.regions[domain], agents)
	return registrars[turn/len(domains)%len(registrars)]
}

// inTurn returns the hosts of agents, rotated by one with every round. The order of a map with few entries starts with the first one in
// seven of eight cases, so that the others were asked for relays and notices seldom. The caller holds the lock.
func (p *peers) inTurn(byHost map[netip.Addr][]fleet.Member) []netip.Addr {
	hosts := slices.SortedFunc(maps.Keys(byHost), netip.Addr.Compare)
	if len(hosts) == 0 {
		return nil
	}
	first := p.rounds % len(hosts)
	return slices.Concat(hosts[first:], hosts[:first])
}

func (r *round) setOutside(byHost map[netip.Addr][]fleet.Member) {
	for host, members := range byHost {
		if _, chosen := r.plan.Intervals[host]; chosen {
			continue
		}
		for _, member := range members {
			r.outside[member.ID] = true
		}
	}
}

// agents returns the hosts of agents with their regions; the caller holds the lock.
func (p *peers) agents(byHost map[netip.Addr][]fleet.Member) []reporting.Agent {
	agents := make([]reporting.Agent, 0, len(byHost))
	for host, members := range byHost {
		unusable := !slices.ContainsFunc(members, func(member fleet.Member) bool { return member.Usable() })
		agents = append(agents, reporting.Agent{Host: host, Region: p.regions[members[0].FailureDomain], Unusable: unusable})
	}
	return agents
}

// asks reports whether an agent gets a request.
func (r *round) asks(host netip.Addr) bool {
	_, chosen := r.plan.Intervals[host]
	return r.small || chosen || host == r.exchange || slices.Contains(r.plan.Registrars, host)
}

// complete adds to a request what is only told in large fleets.
func (r *round) complete(request *message, host netip.Addr) {
	if r.small {
		return
	}
	interval, chosen := r.plan.Intervals[host]
	request.IntervalMS, request.Presence = interval.Milliseconds(), !chosen
	request.EntryHosts, request.Relays = r.entryHosts, r.relays
	request.AskRelays = host == r.question
	switch host {
	case r.question:
		request.AskEntries, request.Counts, request.EntriesHash = true, r.counts, r.entriesHash
	case r.exchange:
		request.AskCounts, request.Counts = true, r.counts
	}
}

// leavesOut reports whether an agent of the own region is not in the subset.
func (r *round) leavesOut(f *reporting.Fleet) bool {
	return slices.ContainsFunc(f.Agents, func(agent reporting.Agent) bool {
		_, chosen := r.plan.Intervals[agent.Host]
		return agent.Region == f.Region && !chosen
	})
}

// learn records what a message says about the other entry hosts.
func (p *peers) learn(now time.Time, received *message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if received.Report != nil && received.Report.Senders > 0 {
		p.senders = received.Report.Senders
	}
	if address, ok := received.Relays[p.domain]; ok {
		p.relay, p.relayAt = address, now
	}
	learnCounts(p.census, now, received.Counts)
	if received.SameEntries {
		p.entriesAt = now
	}
	entries := decodeEntries(received.Entries)
	if len(entries) > 0 && (len(entries) >= len(p.entries) || now.Sub(p.entriesAt) > entriesSettleTime) {
		p.entries, p.entriesAt = entries, now
	}
}

// isNewest reports whether no later report of an agent has arrived, and records the report if so.
func (p *peers) isNewest(from netip.Addr, r *report) bool {
	if r.Order == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.newest[from]
	if last.born == r.Born && r.Order < last.order && last.order-r.Order < int64(staleWindow/orderUnit) {
		varReportsStale.Add(1)
		return false
	}
	p.newest[from] = reportOrder{born: r.Born, order: r.Order}
	return true
}

// countAll makes a report of an agent of an earlier version, which counts only the hosts that request its reports, count all entry hosts.
func (p *peers) countAll(now time.Time, report *dispatch.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := p.census.Total(now)
	if !p.divided || report.Requesters > 0 || report.Senders <= 0 || total <= report.Senders {
		return
	}
	report.Share *= float64(report.Senders) / float64(total)
	report.Requesters, report.Senders = report.Senders, total
}

// noticeTargets returns the agents that new notices are sent to, which pass them on to all entry hosts.
func (p *peers) noticeTargets(now time.Time, byHost map[netip.Addr][]fleet.Member) []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	agents := p.agents(byHost)
	if total := p.census.Total(now); total > 0 && !reporting.Small(len(agents), max(total, p.senders)) {
		return registrarsOf(maps.Keys(p.regions), p.regions, agents)
	}
	hosts := p.inTurn(byHost)
	return hosts[:min(noticePushAgents, len(hosts))]
}

// registrarsOf returns agents that together are known to all entry hosts of some failure domains.
func registrarsOf(
	domains iter.Seq[core.FailureDomain], regions map[core.FailureDomain]core.Region, agents []reporting.Agent,
) []netip.Addr {
	var targets []netip.Addr
	for domain := range domains {
		registrars := reporting.Registrars(domain, regions[domain], agents)
		targets = append(targets, registrars[:min(noticeRegistrars, len(registrars))]...)
	}
	slices.SortFunc(targets, netip.Addr.Compare)
	return slices.Compact(targets)
}
