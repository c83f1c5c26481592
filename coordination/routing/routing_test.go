package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavatrestle/guavatrestle/coordination/routing"
	"github.com/guavatrestle/guavatrestle/internal/proptest"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/table"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	domains = []core.FailureDomain{"centro-a", "centro-b", "sur-a"}
	regions = map[core.FailureDomain]core.Region{"centro-a": "centro", "centro-b": "centro", "sur-a": "sur"}
)

const (
	agents   = 4
	upstream = "guava-llm"
)

// routingModel is the oracle: the last report of each agent and the requests of this entry, without the routing logic.
type routingModel struct {
	table        *table.Upstreams
	random       *rand.Rand
	now          time.Time
	outOfService map[core.FailureDomain]bool
	reported     map[core.HostID]*agentReport
	inFlight     map[core.HostID]int
	policy       routing.Policy
}

type agentReport struct {
	run             int
	leaving         bool
	limit           int
	version         core.Digest
	grantSlots      int
	blocked         bool
	grantExpires    time.Time
	sentSinceReport int
	warm            bool
}

func hostOf(i int) core.Host {
	domain := domains[i%len(domains)]
	return core.Host{ID: core.HostID(fmt.Sprintf("agent-%d", i)), Role: core.RoleAgent, Upstream: upstream, FailureDomain: domain, Region: regions[domain]}
}

func (m *routingModel) report(t *rapid.T) {
	i := rapid.IntRange(0, agents-1).Draw(t, "agent")
	host := hostOf(i)
	old := m.reported[host.ID]
	next := &agentReport{
		limit: rapid.IntRange(0, 4).Draw(t, "limit"), warm: rapid.Bool().Draw(t, "warm"),
		version:    rapid.SampledFrom([]core.Digest{"v1", "", "v1", "v2", "v1"}).Draw(t, "version"),
		grantSlots: rapid.IntRange(0, 3).Draw(t, "slots"), grantExpires: m.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ttl")) * time.Second),
	}
	if old != nil {
		next.run, next.leaving = old.run, old.leaving
		if rapid.IntRange(0, 3).Draw(t, "restarted") == 3 {
			next.run, next.leaving = old.run+1, false
		}
	}
	state := core.UpstreamCold
	if next.warm {
		state = core.UpstreamWarm
	}
	// The report never sets leaving: it models one that was sent before the agent began to leave.
	m.table.Set(core.AgentStatus{
		Host: host, Incarnation: incarnation(next.run), VersionDigest: next.version, State: state, Limit: next.limit,
		InFlight: m.inFlight[host.ID], Grant: core.Grant{Slots: next.grantSlots, Expires: next.grantExpires},
	})
	m.reported[host.ID] = next
}

func incarnation(run int) core.Incarnation { return core.Incarnation(fmt.Sprint(run)) }

func (m *routingModel) refuse(t *rapid.T) {
	id := hostOf(rapid.IntRange(0, agents-1).Draw(t, "agent")).ID
	report := m.reported[id]
	if report == nil {
		return
	}
	if rapid.IntRange(0, 2).Draw(t, "leaving") == 0 {
		m.table.MarkLeaving(id, incarnation(report.run))
		report.leaving = true
		return
	}
	m.table.SetGrant(id, incarnation(report.run), table.BlockedGrant(m.now.Add(time.Second)))
	report.grantSlots, report.grantExpires, report.sentSinceReport, report.blocked = 0, m.now.Add(time.Second), 0, true
}

func (m *routingModel) toggle(t *rapid.T) {
	domain := rapid.SampledFrom(domains).Draw(t, "domain")
	m.outOfService[domain] = !m.outOfService[domain]
}

func (m *routingModel) finish(t *rapid.T) {
	id := hostOf(rapid.IntRange(0, agents-1).Draw(t, "agent")).ID
	if m.inFlight[id] == 0 {
		return
	}
	m.table.Finish(id)
	m.inFlight[id]--
	if report := m.reported[id]; report != nil {
		report.sentSinceReport--
	}
}

func (m *routingModel) choose(t *rapid.T) {
	want := rapid.SampledFrom([]core.Digest{"", "v1"}).Draw(t, "want")
	snapshot := routing.Snapshot{
		Now: m.now, Agents: m.table.List(), OwnDomain: domains[0], OwnRegion: regions[domains[0]], Policy: m.policy,
		InService: func(d core.FailureDomain) bool { return !m.outOfService[d] },
	}
	affinity := routing.Affinity(rapid.IntRange(0, 3).Draw(t, "affinity"))
	request := routing.Request{Upstream: upstream, Digest: want, NeedsVersion: true, Affinity: affinity}
	agent, ok := routing.Choose(snapshot, request, m.random)
	usable := m.usable(want)
	if !ok {
		require.Empty(t, usable, "no agent was chosen although some are usable")
		return
	}
	require.Contains(t, usable, agent.Host.ID, "chosen agent is not usable")
	for _, id := range usable {
		require.LessOrEqual(t, distance(agent.Host.ID), distance(id), "agent chosen although %s is nearer", id)
	}
	m.table.Start(agent.Host.ID)
	m.inFlight[agent.Host.ID]++
	m.reported[agent.Host.ID].sentSinceReport++
}

// distance returns the expected tier of a host: own failure domain, own region, elsewhere.
func distance(id core.HostID) int {
	return map[core.HostID]int{"agent-0": 0, "agent-1": 1, "agent-2": 2, "agent-3": 0}[id]
}

// usable returns the agents that may get a request, by the rules of the design documentation.
func (m *routingModel) usable(want core.Digest) []core.HostID {
	var ids []core.HostID
	for i := range agents {
		host := hostOf(i)
		report := m.reported[host.ID]
		if report == nil || report.leaving || m.outOfService[host.FailureDomain] || report.version == "" || want != "" && report.version != want {
			continue
		}
		granted := report.warm || m.policy != routing.PolicyGrants
		if m.now.Before(report.grantExpires) {
			granted = report.grantSlots-max(0, report.sentSinceReport) > 0 || m.policy != routing.PolicyGrants && !report.blocked
		}
		if granted && m.inFlight[host.ID] < report.limit {
			ids = append(ids, host.ID)
		}
	}
	return ids
}

// TestNeverChoosesUnusableOrNeedlesslyDistantAgent guards against requests to agents that are leaving, full, on another version
// or in a failure domain that is out of service, to agents that just refused a request, and to cold agents without a grant under
// PolicyGrants. It also guards against spilling over to a farther agent while a nearer one is usable. Both can come about
// when the entry loses part of an agent's state or miscounts the requests that it sent since the agent's last report.
func TestNeverChoosesUnusableOrNeedlesslyDistantAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &routingModel{
			policy: rapid.SampledFrom([]routing.Policy{"", routing.PolicyGrants, routing.PolicyLeastInFlight}).Draw(t, "policy"),
			table:  table.NewUpstreams(), random: rand.New(rand.NewPCG(1, 2)), now: start,
			outOfService: map[core.FailureDomain]bool{}, reported: map[core.HostID]*agentReport{}, inFlight: map[core.HostID]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"report": m.report, "refuse": m.refuse, "toggle": m.toggle, "finish": m.finish, "choose": m.choose,
			"choose again": m.choose,
			"wait":         func(*rapid.T) { m.now = m.now.Add(500 * time.Millisecond) },
		})
	})
}

// TestSubsetIsBoundedAtFleetSize guards against heartbeats that exceed the control bandwidth of a node in a large fleet.
func TestSubsetIsBoundedAtFleetSize(t *testing.T) {
	const fleet, failureDomains, upstreams, entries = 6700, 11, 2, 200
	var hosts []core.Host
	for i := range fleet {
		hosts = append(hosts, core.Host{
			ID: core.HostID(fmt.Sprintf("agent-%d", i)), Role: core.RoleAgent,
			Upstream: core.Upstream(fmt.Sprint(i % upstreams)), FailureDomain: core.FailureDomain(fmt.Sprint(i % failureDomains)),
		})
	}
	subsetCounts := make(map[core.HostID]int)
	for e := range entries {
		subset := routing.Subset(core.HostID(fmt.Sprintf("entry-%d", e)), hosts, routing.MaxAgents)
		require.LessOrEqual(t, len(subset), routing.MaxAgents)
		require.Len(t, subset, failureDomains*upstreams, "each upstream and failure domain must have one agent")
		interval := routing.HeartbeatInterval(time.Second, len(subset))
		require.LessOrEqual(t, float64(len(subset)*routing.HeartbeatBytes)/interval.Seconds(), float64(routing.HeartbeatBytesPerSecond))
		for _, host := range subset {
			subsetCounts[host.ID]++
		}
	}
	for id, n := range subsetCounts {
		require.LessOrEqual(t, n, 12, "agent %s is in too many subsets for an even spread", id)
	}
}

// TestSubsetKeepsAllAgentsOfASmallFleet guards against unused agents in a fleet that is small enough to use all of them.
func TestSubsetKeepsAllAgentsOfASmallFleet(t *testing.T) {
	var hosts []core.Host
	for i := range 14 {
		hosts = append(hosts, hostOf(i))
	}
	require.Len(t, routing.Subset("entry-1", hosts, routing.MaxAgents), 14)
	require.ElementsMatch(t, routing.Subset("entry-1", hosts[1:], routing.MaxAgents), without(routing.Subset("entry-1", hosts, routing.MaxAgents), hosts[0].ID),
		"the rest of the subset must not change when a host leaves")
}

func without(hosts []core.Host, id core.HostID) []core.Host {
	var rest []core.Host
	for _, host := range hosts {
		if host.ID != id {
			rest = append(rest, host)
		}
	}
	return rest
}

func warmAgents(n, limit int) []core.AgentStatus {
	var agents []core.AgentStatus
	for i := range n {
		host := core.Host{ID: core.HostID(fmt.Sprintf("agent-%d", i)), Upstream: upstream, FailureDomain: domains[0]}
		agents = append(agents, core.AgentStatus{Host: host, State: core.UpstreamWarm, Limit: limit})
	}
	return agents
}

// TestSamePrefixGoesToTheSameAgent guards against requests with the same prompt prefix that miss the cache at another agent,
// and against one agent that is overloaded by a popular prefix.
func TestSamePrefixGoesToTheSameAgent(t *testing.T) {
	const n, limit = 8, 40
	random := rand.New(rand.NewPCG(1, 1))
	agents := warmAgents(n, limit)
	choose := func(prompt string) int {
		snapshot := routing.Snapshot{Agents: agents, OwnDomain: domains[0], InService: func(core.FailureDomain) bool { return true }}
		request := routing.Request{Upstream: upstream, Affinity: routing.AffinityOf("litoral", "guava", []byte(prompt))}
		require.NotZero(t, request.Affinity)
		chosen, ok := routing.Choose(snapshot, request, random)
		require.True(t, ok)
		for i := range agents {
			if agents[i].Host.ID == chosen.Host.ID {
				return i
			}
		}
		return -1
	}
	used := make(map[int]bool)
	for p := range 64 {
		prompt := fmt.Sprintf("%0300d", 0) + "question"
		prompt = fmt.Sprint(p) + prompt
		first := choose(prompt)
		require.Equal(t, first, choose(prompt+"another question"))
		used[first] = true
	}
	require.Len(t, used, n, "prefixes are not spread over all agents")
	popular := fmt.Sprintf("%0300d", 7)
	for total := 1; total <= n*limit*3/4; total++ {
		i := choose(popular)
		agents[i].InFlight++
		require.LessOrEqual(t, agents[i].InFlight, (total*5+4*n-1)/(4*n), "agent has more than 1.25 times the average, rounded up")
	}
	require.Zero(t, routing.AffinityOf("litoral", "guava", []byte("short")))
}
