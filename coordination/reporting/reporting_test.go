package reporting_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/reporting"
	"github.com/guavatrestle/guavatrestle/internal/proptest"
	"github.com/guavatrestle/guavatrestle/state/core"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// hosts is a fleet whose failure domains are regions of their own.
type hosts struct {
	entries map[core.FailureDomain][]netip.Addr
	agents  []reporting.Agent
}

func address(role, region, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(role<<6 | region), byte(number >> 8), byte(number)})
}

// newHosts returns a fleet with the given numbers of entry and agent hosts in each region.
func newHosts(entries, agents []int) *hosts {
	h := &hosts{entries: map[core.FailureDomain][]netip.Addr{}}
	for region := range entries {
		name := fmt.Sprint("region-", region)
		for number := range entries[region] {
			h.entries[core.FailureDomain(name)] = append(h.entries[core.FailureDomain(name)], address(0, region, number))
		}
		for number := range agents[region] {
			h.agents = append(h.agents, reporting.Agent{Host: address(1, region, number), Region: core.Region(name)})
		}
	}
	return h
}

// even returns a fleet like the larger ones in use: 0.37 of the hosts are entries, in the given number of regions.
func even(total, regions int) *hosts {
	entries, agents := make([]int, regions), make([]int, regions)
	for i := range total {
		if i*37/100 != (i+1)*37/100 {
			entries[(i*37/100)%regions]++
		} else {
			agents[i%regions]++
		}
	}
	return newHosts(entries, agents)
}

func (h *hosts) count() int {
	total := 0
	for _, list := range h.entries {
		total += len(list)
	}
	return total
}

func (h *hosts) plan(domain core.FailureDomain, self netip.Addr) reporting.Plan {
	var domains []core.FailureDomain
	for name, list := range h.entries {
		if len(list) > 0 {
			domains = append(domains, name)
		}
	}
	slices.Sort(domains)
	return reporting.Choose(&reporting.Fleet{
		Self: self, FailureDomain: domain, Region: core.Region(domain), Agents: h.agents,
		Domains: domains, Entries: h.entries[domain], EntryCount: h.count(),
	})
}

// plans returns the plan of each entry host.
func (h *hosts) plans() map[netip.Addr]reporting.Plan {
	plans := make(map[netip.Addr]reporting.Plan)
	for domain, list := range h.entries {
		for _, self := range list {
			plans[self] = h.plan(domain, self)
		}
	}
	return plans
}

// rates returns the reports per second of each entry and each agent, and the number of entries that each agent reports to.
func rates(plans map[netip.Addr]reporting.Plan) (entries, agents map[netip.Addr]float64, requesters map[netip.Addr]int) {
	entries, agents, requesters = map[netip.Addr]float64{}, map[netip.Addr]float64{}, map[netip.Addr]int{}
	for self, plan := range plans {
		for host, interval := range plan.Intervals {
			rate := 5.0
			if interval > 0 {
				rate = 1 / interval.Seconds()
			}
			entries[self] += rate
			agents[host] += rate
			requesters[host]++
		}
	}
	return entries, agents, requesters
}

func busiest(rates map[netip.Addr]float64) float64 {
	most := 0.0
	for _, rate := range rates {
		most = max(most, rate)
	}
	return most
}

func drawHosts(t *rapid.T) *hosts {
	regions := rapid.IntRange(1, 6).Draw(t, "regions")
	number := func(label string, most int) []int {
		return rapid.SliceOfN(rapid.IntRange(0, most), regions, regions).Draw(t, label)
	}
	h := newHosts(number("entries", 40), number("agents", 80))
	if h.count() == 0 {
		h.entries["region-0"] = []netip.Addr{address(0, 0, 0)}
	}
	return h
}

// TestEveryAgentIsCovered guards against agents whose load no entry host knows, which get requests only when all others are full.
func TestEveryAgentIsCovered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHosts(t)
		_, _, requesters := rates(h.plans())
		require.Len(t, requesters, len(h.agents))
	})
}

// TestSmallFleetIsNotDivided guards against a change for fleets of up to 60 agent and 20 entry hosts.
func TestSmallFleetIsNotDivided(t *testing.T) {
	h := newHosts([]int{10, 10}, []int{30, 30})
	for _, plan := range h.plans() {
		require.Len(t, plan.Intervals, 60)
		require.Empty(t, plan.Registrars)
		for _, interval := range plan.Intervals {
			require.Zero(t, interval)
		}
	}
	require.False(t, reporting.Small(61, 1))
	require.False(t, reporting.Small(1, 21))
}

// TestReportsStayFlatAndEven guards against reports that grow with the fleet: from 100 to 300 hosts those of the busiest entry and agent
// must grow by less than a fifth, and no agent may send more than twice the mean. The earlier decision, five reports a second of every agent, is the baseline.
func TestReportsStayFlatAndEven(t *testing.T) {
	var entry, agent []float64
	for _, total := range []int{100, 300, 1000} {
		h := even(total, 5)
		entries, agents, _ := rates(h.plans())
		entry, agent = append(entry, busiest(entries)), append(agent, busiest(agents))
		t.Logf("%d hosts: busiest entry %.0f, busiest agent %.0f reports/s; earlier %d and %d",
			total, busiest(entries), busiest(agents), 5*len(h.agents), 5*h.count())
		require.Less(t, busiest(entries), 5*float64(len(h.agents)))
		sum := 0.0
		for _, rate := range agents {
			sum += rate
		}
		require.LessOrEqual(t, busiest(agents), 2*sum/float64(len(agents)), "%d hosts", total)
	}
	require.Less(t, entry[1], 1.2*entry[0])
	require.Less(t, agent[1], 1.2*agent[0])
}

// TestLostHostMovesFewAgents guards against subsets that change as a whole when a host is lost.
func TestLostHostMovesFewAgents(t *testing.T) {
	moves := func(before, after map[netip.Addr]reporting.Plan) (total, most int) {
		for self, plan := range after {
			own := 0
			for host := range plan.Intervals {
				if _, ok := before[self].Intervals[host]; !ok {
					own++
				}
			}
			total, most = total+own, max(most, own)
		}
		return total, most
	}
	rapid.Check(t, func(t *rapid.T) {
		h := even(rapid.IntRange(165, 220).Draw(t, "hosts"), 5)
		before := h.plans()
		lost := rapid.IntRange(0, len(h.agents)-1).Draw(t, "agent")
		agents := h.agents
		h.agents = slices.Delete(slices.Clone(agents), lost, lost+1)
		_, most := moves(before, h.plans())
		require.LessOrEqual(t, most, 1, "one agent replaces a lost one")
		h.agents = agents
		h.entries["region-0"] = h.entries["region-0"][1:]
		total, _ := moves(before, h.plans())
		require.LessOrEqual(t, total, len(h.agents), "a lost entry's agents have other guards")
	})
}

// TestDifferentViewsCoverAllAgents guards against an agent that every entry host leaves to another one, because each of them doesn't
// know of some hosts, or still counts one that is lost.
func TestDifferentViewsCoverAllAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// No entry host is in the region of most agents.
		h := newHosts([]int{6, 6, 0}, []int{20, 20, 150})
		all := h.agents
		domain := core.FailureDomain(fmt.Sprint("region-", rapid.IntRange(0, 1).Draw(t, "domain")))
		lost := h.entries[domain][rapid.IntRange(0, 5).Draw(t, "lost")]
		seed := rapid.IntRange(0, 1000).Draw(t, "seed")
		covered := map[netip.Addr]bool{}
		for name, list := range h.entries {
			for number, self := range list {
				if self == lost {
					continue
				}
				// Each host lacks some agents, which it has not heard of yet.
				h.agents = slices.DeleteFunc(slices.Clone(all), func(a reporting.Agent) bool {
					return (int(a.Host.As4()[3])+number+seed)%10 == 0
				})
				for host := range h.plan(name, self).Intervals {
					covered[host] = true
				}
			}
		}
		require.Len(t, covered, len(all))
	})
}

// TestUnknownEntryHostsMeanAllAgents guards against a subset that is chosen before the entry hosts are known.
func TestUnknownEntryHostsMeanAllAgents(t *testing.T) {
	h := even(300, 5)
	for _, count := range []int{0, 111} {
		plan := reporting.Choose(&reporting.Fleet{
			Self: address(0, 0, 0), FailureDomain: "region-0", Region: "region-0", Agents: h.agents, EntryCount: count,
		})
		require.Len(t, plan.Intervals, len(h.agents))
		require.Len(t, plan.Registrars, reporting.RegistrarCount)
	}
}

// TestCensusKeepsTheLatestCount guards against counts that are too low, with which hosts together send more than a cold replica takes: an
// old one that arrives late, and one of a registrar that doesn't know all hosts.
func TestCensusKeepsTheLatestCount(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	c := reporting.NewCensus()
	c.Learn(at(0), reporting.Count{FailureDomain: "a", Hosts: 22, At: at(0)})
	c.Learn(at(1), reporting.Count{FailureDomain: "b", Hosts: 9, At: at(1)})
	c.Learn(at(1), reporting.Count{FailureDomain: "a", Hosts: 3, At: at(-1)})
	require.Equal(t, 31, c.Total(at(1)), "older")
	c.Learn(at(2), reporting.Count{FailureDomain: "a", Hosts: 5, At: at(2)})
	require.Equal(t, 31, c.Total(at(2)), "lower")
	c.Learn(at(4), reporting.Count{FailureDomain: "a", Hosts: 20, At: at(4)})
	c.Learn(at(4), reporting.Count{FailureDomain: "a", Hosts: 22, At: at(0)})
	require.Equal(t, 29, c.Total(at(4)), "hosts that left")
	require.Equal(t, 20, c.Total(at(17)), "a domain that is gone")
}
