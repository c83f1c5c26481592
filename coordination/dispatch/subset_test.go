package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/reporting"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// TestOutsideReplicaGetsOnlyWhatSpillsOver guards against requests to replicas whose load this host doesn't know while others have
// capacity, against refusing requests while those have capacity, and against counting them as silent.
func TestOutsideReplicaGetsOnlyWhatSpillsOver(t *testing.T) {
	b := newBalancer(member("far", "b"), member("near", "a"), member("next", "a"))
	for _, id := range []fleet.ReplicaID{"far", "near", "next"} {
		b.RecordReport(start, id, dispatch.Report{Running: 2, Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}}, Senders: 40, Requesters: 1})
	}
	b.SetOutside(map[fleet.ReplicaID]bool{"near": true, "next": true})
	pick := func() fleet.ReplicaID {
		choice, _ := b.Pick(start, request())
		return choice.ID
	}
	for range 3 {
		require.EqualValues(t, "far", pick())
	}
	spilled := pick()
	require.Contains(t, []fleet.ReplicaID{"near", "next"}, spilled, "one request of each host may go to a replica that may be full, too")
	require.Empty(t, pick())
	now := start.Add(300 * time.Millisecond)
	b.RecordReport(now, "far", dispatch.Report{Running: 4, Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}}, Senders: 40})
	_, verdict := b.Pick(now, request())
	require.Equal(t, dispatch.VerdictFull, verdict, "the replica has a free slot, of which this host has no share before the next report")
	other := request()
	other.Exclude = []fleet.ReplicaID{"far"}
	_, verdict = b.Pick(now, other)
	require.Equal(t, dispatch.VerdictChosen, verdict, "none of the others can serve it")
	now = now.Add(time.Minute)
	require.False(t, b.Silent(now, "near"))
	b.SetOutside(nil)
	require.False(t, b.Silent(now, "near"), "the last report is from before")
}

// TestHeldOffReplicasLetRequestsSpillOver guards against refusing requests because the replicas with reports want none for now, while others
// have capacity.
func TestHeldOffReplicasLetRequestsSpillOver(t *testing.T) {
	for _, fullToo := range []bool{false, true} {
		b := newBalancer(member("held", "a"), member("other", "a"), member("outside", "a"))
		b.RecordReport(start, "held", dispatch.Report{Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}}, Senders: 1})
		b.RecordReport(start, "other", dispatch.Report{Running: 100, Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}}, Senders: 1})
		b.SetOutside(map[fleet.ReplicaID]bool{"outside": true, "other": !fullToo})
		b.HoldOff(start, "held", time.Minute)
		choice, verdict := b.Pick(start, request())
		require.Equal(t, dispatch.VerdictChosen, verdict, "full too: %t", fullToo)
		require.EqualValues(t, "outside", choice.ID)
	}
}

// TestHeadroomIsSharedByThoseWhoGetReports guards against slots that stay empty because each host takes a share as if all hosts sent.
func TestHeadroomIsSharedByThoseWhoGetReports(t *testing.T) {
	chosen := func(requesters int) int {
		b := newBalancer(member("r1", "a"))
		b.RecordReport(start, "r1", dispatch.Report{Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}}, Senders: 100, Requesters: requesters})
		count := 0
		for range 10 {
			if _, verdict := b.Pick(start, request()); verdict == dispatch.VerdictChosen {
				count++
			}
		}
		return count
	}
	require.LessOrEqual(t, chosen(0), 1)
	require.Equal(t, 3, chosen(2))
}

// TestColdRateCountsAllHosts guards against a cold replica that gets more than it takes when those without its reports send to it too.
func TestColdRateCountsAllHosts(t *testing.T) {
	const hosts, informed, seconds = 60, 20, 20
	sent := 0
	for host := range hosts {
		b := dispatch.NewBalancer(config(), rand.New(rand.NewPCG(7, uint64(host))))
		cold := member("r1", "a")
		cold.Slots, cold.ColdUntil = 1000, start.Add(time.Hour)
		b.SetView(view(cold, member("r2", "a")))
		for at := start; at.Before(start.Add(seconds * time.Second)); at = at.Add(20 * time.Millisecond) {
			if at.Sub(start)%(200*time.Millisecond) == 0 {
				id := fleet.ReplicaID("r1")
				if host >= informed {
					id = "r2"
					b.SetOutside(map[fleet.ReplicaID]bool{"r1": true})
				}
				b.RecordReport(at, id, dispatch.Report{Running: 5, Models: []fleet.LoadedModel{}, Senders: hosts, Requesters: informed, Share: 1.0 / hosts})
			}
			request := request()
			request.Only, request.Model = "r1", ""
			if choice, verdict := b.Pick(at, request); verdict == dispatch.VerdictChosen {
				sent++
				b.Done(at, choice, dispatch.OutcomeServed, time.Millisecond)
			}
		}
	}
	require.LessOrEqual(t, float64(sent)/seconds, 24.0, "ColdPerSecond")
	require.Greater(t, float64(sent)/seconds, 12.0)
}

// simulatedFleet is a fleet of 300 hosts in five regions, the first of which has twice as many callers as it has capacity for.
type simulatedFleet struct {
	hosts    []*dispatch.Balancer
	chosen   []map[fleet.ReplicaID]bool
	replicas []fleet.Member
	running  map[fleet.ReplicaID]int
	ends     map[time.Time][]finished
	random   *rand.Rand
	refused  int
	highest  int
}

type finished struct {
	host   int
	choice dispatch.Choice
}

func newSimulatedFleet(divided bool) *simulatedFleet {
	f := &simulatedFleet{running: map[fleet.ReplicaID]int{}, ends: map[time.Time][]finished{}, random: rand.New(rand.NewPCG(3, 3))}
	regions := map[core.FailureDomain]core.Region{}
	var agents []reporting.Agent
	var domains []core.FailureDomain
	entries := map[int][]netip.Addr{}
	for i := range 189 {
		domain := core.FailureDomain(fmt.Sprint("d", i%5))
		m := member(fleet.ReplicaID(fmt.Sprint("r", i)), domain)
		m.Slots = 12
		f.replicas = append(f.replicas, m)
		agents = append(agents, reporting.Agent{Host: netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), Region: core.Region(domain)})
	}
	for i := range 5 {
		domains = append(domains, core.FailureDomain(fmt.Sprint("d", i)))
		regions[domains[i]] = core.Region(domains[i])
	}
	for i := range 111 {
		entries[i%5] = append(entries[i%5], netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}))
	}
	for i := range 111 {
		cfg := config()
		cfg.Regions, cfg.FailureDomain, cfg.Region = regions, domains[i%5], core.Region(domains[i%5])
		b := dispatch.NewBalancer(cfg, rand.New(rand.NewPCG(9, uint64(i))))
		b.SetView(view(f.replicas...))
		known := &reporting.Fleet{Self: entries[i%5][i/5], FailureDomain: domains[i%5], Region: cfg.Region, Agents: agents}
		if divided {
			known.Domains, known.Entries, known.EntryCount = domains, entries[i%5], 111
		}
		chosen, outside := map[fleet.ReplicaID]bool{}, map[fleet.ReplicaID]bool{}
		intervals := reporting.Choose(known).Intervals
		for number, agent := range agents {
			if _, ok := intervals[agent.Host]; ok {
				chosen[f.replicas[number].ID] = true
			} else {
				outside[f.replicas[number].ID] = true
			}
		}
		b.SetOutside(outside)
		f.hosts, f.chosen = append(f.hosts, b), append(f.chosen, chosen)
	}
	return f
}

// demand returns the part of all requests that arrives at a host: a fifth of them only at those of the first region.
func demand(host int) float64 {
	if host%5 == 0 {
		return 0.8/111 + 0.2/23
	}
	return 0.8 / 111
}

func (f *simulatedFleet) report(now time.Time) {
	requesters, total := map[fleet.ReplicaID]int{}, map[fleet.ReplicaID]float64{}
	for i, chosen := range f.chosen {
		for id := range chosen {
			requesters[id]++
			total[id] += demand(i)
		}
	}
	for i, b := range f.hosts {
		for _, member := range f.replicas {
			id := member.ID
			if !f.chosen[i][id] {
				continue
			}
			b.RecordReport(now, id, dispatch.Report{
				Running: min(f.running[id], 12), Waiting: max(f.running[id]-12, 0), Slots: 12, Senders: 111, Requesters: requesters[id],
				Share:  demand(i) / total[id] * float64(requesters[id]) / 111,
				Models: []fleet.LoadedModel{{Model: "m", Version: 1, Layers: 16}},
			})
		}
	}
}

// run replays a number of arrivals in each 20 ms for some seconds, of which the replicas serve 23, and returns the share of refused requests and the most requests that
// a replica had at a time.
func (f *simulatedFleet) run(perTick int) (refused float64, highest int) {
	arrivals := 0
	for now := start; now.Before(start.Add(8 * time.Second)); now = now.Add(20 * time.Millisecond) {
		for _, end := range f.ends[now] {
			f.running[end.choice.ID]--
			f.hosts[end.host].Done(now, end.choice, dispatch.OutcomeServed, 0)
		}
		if now.Sub(start)%(200*time.Millisecond) == 0 {
			f.report(now)
		}
		for range perTick {
			host := f.random.IntN(111)
			if f.random.Float64() < 0.2 {
				host -= host % 5
			}
			arrivals++
			choice, verdict := f.hosts[host].Pick(now, request())
			if verdict != dispatch.VerdictChosen {
				f.refused++
				continue
			}
			f.running[choice.ID]++
			f.highest = max(f.highest, f.running[choice.ID])
			end := now.Add(time.Duration(50+f.random.IntN(100)) * 20 * time.Millisecond)
			f.ends[end] = append(f.ends[end], finished{host, choice})
		}
	}
	return float64(f.refused) / float64(arrivals), f.highest
}

// TestSubsetsEvenOutLoad guards against refused requests and full replicas next to idle ones because each host knows the load of a few
// replicas only. Reports of all replicas are the baseline.
func TestSubsetsEvenOutLoad(t *testing.T) {
	for _, perTick := range []int{16, 36} {
		refused, highest := newSimulatedFleet(false).run(perTick)
		dividedRefused, dividedHighest := newSimulatedFleet(true).run(perTick)
		t.Logf("%d requests in 20 ms: refused %.4f, at most %d requests at a replica; with subsets %.4f, %d",
			perTick, refused, highest, dividedRefused, dividedHighest)
		require.LessOrEqual(t, dividedRefused, refused+0.01)
		require.LessOrEqual(t, dividedHighest, highest+2)
	}
}
