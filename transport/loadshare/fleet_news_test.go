package loadshare

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/coordination/reporting"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// checkCounts requires that every report counts all entry hosts, and that all hosts together use at most a number of times the rate of a
// replica: those that get its reports their share, the others an equal one.
func (s *simulation) checkCounts(t *testing.T, entries int, most float64) {
	t.Helper()
	shares := map[fleet.ReplicaID]float64{}
	told := map[fleet.ReplicaID]int{}
	for _, reports := range s.reports {
		for id, report := range reports {
			require.GreaterOrEqual(t, report.Senders, entries, "replica %s", id)
			require.LessOrEqual(t, report.Senders, entries+1, "replica %s", id)
			shares[id] += report.Share
			told[id]++
		}
	}
	require.Len(t, shares, len(s.reporters), "every replica reports to some entry host")
	for id, share := range shares {
		require.LessOrEqual(t, share+float64(len(s.listeners)-told[id])/float64(entries), most, "replica %s", id)
	}
}

// settled returns a fleet of 200 hosts with reports of the last seconds.
func settled(t *testing.T, domains int) *simulation {
	t.Helper()
	s := newSimulation(t, 200, domains)
	s.run(6)
	clear(s.reports)
	s.run(2)
	return s
}

// TestReportsCountAllEntryHosts guards against a replica that gets more than it takes, because each host takes part of a rate that is
// divided among too few: those that request reports from the replica's agent.
func TestReportsCountAllEntryHosts(t *testing.T) { settled(t, 5).checkCounts(t, 74, 1.0001) }

// TestCutsAndOlderVersionsKeepTheCount guards against hosts that are not counted because a registrar doesn't hear from them, or because
// they or the registrars run an earlier version.
func TestCutsAndOlderVersionsKeepTheCount(t *testing.T) {
	// With two regions no subset holds all agents of its region.
	s := newSimulation(t, 200, 2)
	lost := registrarsOf(slices.Values([]core.FailureDomain{"brest-1"}), s.listeners[0].peers.regions, s.agents())[0]
	s.cut = func(from, to netip.Addr) bool { return to == lost && from.As4()[1] == 0 && from.As4()[3]%3 == 0 }
	for i := range 10 {
		s.listeners[3*i].peers.always = true
	}
	s.run(6)
	clear(s.reports)
	s.run(2)
	s.checkCounts(t, 74, 1.0001)
}

// TestAgentOfEarlierVersionCountsAllHosts guards against higher rates at replicas whose agents run an earlier version during a restart of
// the fleet, and so count only the hosts that request their reports.
func TestAgentOfEarlierVersionCountsAllHosts(t *testing.T) {
	s := settled(t, 5)
	for _, r := range s.reporters {
		r.earlier = true
	}
	clear(s.reports)
	s.run(2)
	// Hosts that asked until 3 s ago still count as requesters. Hosts use 0.8 of a cold replica's rate.
	s.checkCounts(t, 74, 1/dispatch.DefaultConfig().ColdShare)
}

// agents returns the agents as the entry hosts see them.
func (s *simulation) agents() []reporting.Agent {
	byHost := map[netip.Addr][]fleet.Member{}
	for _, member := range s.listeners[0].View().Members {
		byHost[netip.MustParseAddrPort(member.Address).Addr()] = []fleet.Member{member}
	}
	return s.listeners[0].peers.agents(byHost)
}

// TestHostsAgreeOnRelays guards against hosts that read the store although there is a relay, or follow one that is gone.
func TestHostsAgreeOnRelays(t *testing.T) {
	// With two regions no subset holds all agents of its region.
	s := settled(t, 2)
	requireRelays := func(entries int) {
		for host, relay := range s.relays {
			require.Equal(t, s.domainOf(host), s.domainOf(relay), "relay of %s", host)
			require.GreaterOrEqual(t, int(relay.As4()[3]), entries, "relay of %s", host)
		}
	}
	require.Len(t, s.relays, 200)
	requireRelays(0)
	// The first entry host of each failure domain is lost, and the next one reads the store.
	s.listeners = s.listeners[2:]
	for _, l := range s.listeners[:2] {
		l.ListenerDependencies.Direct = func() bool { return true }
	}
	s.run(5)
	clear(s.relays)
	s.run(4)
	require.Len(t, s.relays, 198)
	requireRelays(2)
}

func (s *simulation) domainOf(host netip.Addr) int {
	return (int(host.As4()[2])<<8 + int(host.As4()[3])) % s.domains
}

// TestNewsReachesAllHosts guards against agents that are not told of a wanted version, and entry hosts that are not told that a worker has
// ended, because no host knows all others.
func TestNewsReachesAllHosts(t *testing.T) {
	s := settled(t, 5)
	for _, l := range s.listeners {
		view := *l.View()
		view.Wanted = map[core.Model]fleet.Wanted{"m": {{Version: 4, Since: s.now}}}
		l.ListenerDependencies.View = func() *fleet.View { return &view }
	}
	s.run(1)
	require.Len(t, s.learned, len(s.reporters))
	s.now = s.now.Add(ReportInterval / 2)
	clear(s.reports)
	s.reporters[7].Send()
	require.Len(t, s.reports, len(s.reporters[7].dueRequesters(s.now, true)), "an urgent report goes to all before it is due")
	s.reporters[7].WorkerEnded(1)
	for range 2 {
		for _, r := range s.reporters {
			r.sendUnsent()
		}
	}
	require.Len(t, s.merged, len(s.listeners))

	// An entry host tells registrars of all failure domains.
	clear(s.merged)
	l := s.listeners[0]
	targets := l.peers.noticeTargets(s.now, *l.byHost.Load())
	for _, host := range targets {
		l.sendNotices(netip.AddrPortFrom(host, 1), []quarantine.Notice{quarantine.EndedNotice(s.now, quarantine.Process{Host: host, Born: 2})})
	}
	for _, r := range s.reporters {
		r.sendUnsent()
	}
	require.Len(t, s.merged, len(s.listeners))
	require.LessOrEqual(t, len(targets), 2*5)
}

// TestOvertakenReportIsDropped guards against an old report that arrives after a newer one and counts as the present load, and against
// dropping those of a restarted worker or host.
func TestOvertakenReportIsDropped(t *testing.T) {
	p := newPeers(simulated(0, 0), "brest-0", nil)
	agent := simulated(1, 0)
	require.True(t, p.isNewest(agent, &report{Born: 1, Order: 1000}))
	require.False(t, p.isNewest(agent, &report{Born: 1, Order: 998}))
	require.True(t, p.isNewest(agent, &report{Born: 1, Order: 1000}), "sent at about the same time")
	require.True(t, p.isNewest(agent, &report{Born: 1, Order: 5}), "the host was restarted")
	require.True(t, p.isNewest(agent, &report{Born: 2, Order: 4}), "the worker was restarted")
	require.True(t, p.isNewest(agent, &report{Born: 2}), "an earlier version")
}

// TestLostEntryHostIsForgotten guards against entry hosts that are counted long after they are gone.
func TestLostEntryHostIsForgotten(t *testing.T) {
	s := settled(t, 5)
	s.listeners = s.listeners[40:]
	s.run(15)
	clear(s.reports)
	s.run(1)
	for _, reports := range s.reports {
		for _, report := range reports {
			require.InDelta(t, 34, report.Senders, 1)
		}
	}
}

// TestUrgentReportsDontDelayTheNext guards against an agent that sends several urgent reports and then none for so long that its engine
// counts as silent.
func TestUrgentReportsDontDelayTheNext(t *testing.T) {
	now := time.Unix(1000, 0)
	h := requester{interval: 300 * time.Millisecond, dueAt: now}
	for range 10 {
		h.dueAt = h.nextDue(now)
		require.LessOrEqual(t, h.dueAt.Sub(now), h.interval)
		now = now.Add(10 * time.Millisecond)
	}
}
