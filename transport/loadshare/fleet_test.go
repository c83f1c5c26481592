package loadshare

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/coordination/reporting"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// headerBytes is the size of the Ethernet, IP and UDP headers of a datagram.
const headerBytes = 46

// wire delivers datagrams between hosts at once, without a network.
type wire struct {
	now    time.Time
	sent   map[netip.Addr]int
	counts map[netip.Addr]int
	hosts  map[netip.Addr]func(from netip.AddrPort, data []byte)
	// cut drops the datagrams of one direction.
	cut func(from, to netip.Addr) bool
}

// wiredConn is the socket of a host.
type wiredConn struct {
	*wire
	self netip.AddrPort
}

func (c wiredConn) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	for _, host := range []netip.Addr{c.self.Addr(), to.Addr()} {
		c.sent[host] += len(data) + headerBytes
		c.counts[host]++
	}
	if deliver := c.hosts[to.Addr()]; deliver != nil && !c.cut(c.self.Addr(), to.Addr()) {
		deliver(c.self, data)
	}
	return len(data), nil
}

func (wiredConn) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, io.EOF
}
func (wiredConn) Close() error { return nil }

// simulation is a fleet of entries and agents in five regions.
type simulation struct {
	wire
	listeners []*Listener
	reporters []*Reporter
	reports   map[netip.Addr]map[fleet.ReplicaID]dispatch.Report
	learned   map[netip.Addr]bool
	relays    map[netip.Addr]netip.Addr
	merged    map[netip.Addr]bool
	domains   int
}

// notices records that a host has been told of something.
type notices struct {
	s    *simulation
	self netip.Addr
}

func (n notices) Outgoing() <-chan struct{}         { return nil }
func (n notices) TakeOutgoing() []quarantine.Notice { return nil }
func (n notices) Notices() []quarantine.Notice      { return nil }
func (n notices) Digest() uint64                    { return 0 }
func (n notices) Merge([]quarantine.Notice)         { n.s.merged[n.self] = true }
func (n notices) MarkCompared()                     {}

// newSimulation returns a fleet like the larger ones in use: 0.37 of the hosts are entries, in some regions.
func newSimulation(t testing.TB, total, domains int) *simulation {
	t.Helper()
	s := &simulation{
		wire: wire{
			now: time.Unix(1<<20, 0), sent: map[netip.Addr]int{}, counts: map[netip.Addr]int{},
			hosts: map[netip.Addr]func(netip.AddrPort, []byte){}, cut: func(_, _ netip.Addr) bool { return false },
		},
		reports: map[netip.Addr]map[fleet.ReplicaID]dispatch.Report{}, learned: map[netip.Addr]bool{},
		relays: map[netip.Addr]netip.Addr{}, merged: map[netip.Addr]bool{}, domains: domains,
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	regions := map[core.FailureDomain]core.Region{}
	for i := range domains {
		regions[core.FailureDomain(fmt.Sprintf("brest-%d", i))] = core.Region(fmt.Sprintf("brest%d", i))
	}
	table := fleet.NewTable()
	table.SetConfiguration(&fleet.Configuration{Version: 1, Upstreams: map[core.Upstream]fleet.UpstreamSpec{
		"llm": {Engine: &fleet.EngineSpec{Models: []core.Model{"m"}}},
	}})
	entries := total * 37 / 100
	for i := range total - entries {
		table.SetReplica(s.now, 1, &fleet.Replica{
			ID: fleet.ReplicaID(fmt.Sprintf("llm-%04d", i)), Upstream: "llm", Address: simulated(1, i).String() + ":8000",
			FailureDomain: core.FailureDomain(fmt.Sprintf("brest-%d", i%domains)), Born: int64(1773693574193 + i),
		})
	}
	view := table.View()
	for i := range total - entries {
		s.addAgent(simulated(1, i), core.FailureDomain(fmt.Sprintf("brest-%d", i%domains)), regions, view, logrus.NewEntry(log))
		s.reporters[i].SetReport(int64(1773693574193+i), dispatch.Report{
			Running: 11, Waiting: 3, Slots: 12, Pace: 1.25, Models: []fleet.LoadedModel{{Model: "m", Version: 3, Layers: 16}},
		})
	}
	for i := range entries {
		s.addEntry(simulated(0, i), core.FailureDomain(fmt.Sprintf("brest-%d", i%domains)), regions, view, logrus.NewEntry(log), i < domains)
	}
	return s
}

func simulated(role, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(role), byte(number >> 8), byte(number)})
}

func (s *simulation) time() time.Time { return s.now }

func (s *simulation) addAgent(
	address netip.Addr, domain core.FailureDomain, regions map[core.FailureDomain]core.Region, view *fleet.View, log *logrus.Entry,
) {
	r, err := NewReporter("127.0.0.1", 0, func() *fleet.View { return view }, RequestSink{
		EntryHostCounts: func(int, int) {},
		VersionTime:     func(netip.Addr, core.Model, fleet.WantedVersion) { s.learned[address] = true },
		NewestVersion:   func(core.Model, int64) { s.learned[address] = true },
		Relays:          func(relays map[core.FailureDomain]netip.Addr) { s.relays[address] = relays[domain] },
	}, log)
	if err != nil {
		panic(err)
	}
	_ = r.conn.Close()
	r.SetRegions(regions)
	r.host, r.port, r.now, r.arrivedAfter = address, 1, s.time, s.time
	r.conn = wiredConn{wire: &s.wire, self: netip.AddrPortFrom(address, 1)}
	s.reporters = append(s.reporters, r)
	s.hosts[address] = func(from netip.AddrPort, data []byte) { handleDatagram(log, from, data, r.take(from)) }
}

func (s *simulation) addEntry(
	address netip.Addr, domain core.FailureDomain, regions map[core.FailureDomain]core.Region, view *fleet.View, log *logrus.Entry, direct bool,
) {
	l := &Listener{
		ListenerDependencies: ListenerDependencies{
			FailureDomain: domain, Regions: regions, View: func() *fleet.View { return view },
			StoreUnresponsive: func() bool { return false }, Direct: func() bool { return direct },
			Demand: func(core.Upstream) float64 { return 3.25 }, Notices: notices{s, address}, Log: log,
			Sink: Sink{
				Report: func(id fleet.ReplicaID, report dispatch.Report) {
					if s.reports[address] == nil {
						s.reports[address] = map[fleet.ReplicaID]dispatch.Report{}
					}
					s.reports[address][id] = report
				},
				VersionTime:     func(netip.Addr, core.Model, fleet.WantedVersion) {},
				EntryHostCounts: func(int, int) {}, Relay: func(relay netip.Addr) { s.relays[address] = relay },
			},
		},
		conn: wiredConn{wire: &s.wire, self: netip.AddrPortFrom(address, 1)}, port: 1, now: s.time,
		peers: newPeers(address, domain, regions),
	}
	s.listeners = append(s.listeners, l)
	s.hosts[address] = func(from netip.AddrPort, data []byte) {
		handleDatagram(log, from, data, func(m message) { l.record(from, m) })
	}
}

// run lets the fleet exchange messages for some seconds.
func (s *simulation) run(seconds int) {
	for range seconds {
		for _, l := range s.listeners {
			l.requestReports()
		}
		for range 5 {
			s.now = s.now.Add(ReportInterval)
			for _, r := range s.reporters {
				r.send(false)
			}
		}
	}
}

// introduce tells all entry hosts of each other.
func (s *simulation) introduce() {
	entries := map[core.FailureDomain][]netip.Addr{}
	for _, l := range s.listeners {
		entries[l.FailureDomain] = append(entries[l.FailureDomain], l.peers.self)
	}
	for _, l := range s.listeners {
		l.peers.entries, l.peers.entriesAt = entries[l.FailureDomain], s.now
		for domain, list := range entries {
			l.peers.census.Learn(s.now, reporting.Count{FailureDomain: domain, Hosts: len(list), At: s.now})
		}
	}
}

// busiest returns the bytes and datagrams per second of the busiest entry and agent over some seconds.
func (s *simulation) busiest(seconds int) (entry, agent [2]int) {
	clear(s.sent)
	clear(s.counts)
	s.run(seconds)
	for host, size := range s.sent {
		role := &entry
		if host.As4()[1] == 1 {
			role = &agent
		}
		role[0], role[1] = max(role[0], size/seconds), max(role[1], s.counts[host]/seconds)
	}
	return entry, agent
}

// TestControlBytesStayFlat guards against control traffic that grows with the square of the number of hosts: from 100 to 300 hosts that
// of the busiest entry and agent must grow by less than a fifth. In the first seconds every entry host requests reports from every agent,
// which is the earlier decision and the baseline.
func TestControlBytesStayFlat(t *testing.T) {
	var entries, agents []int
	totals := []int{30, 100, 300}
	if os.Getenv("CONTROL_TRAFFIC_LARGE") != "" {
		totals = append(totals, 2500)
	}
	for _, total := range totals {
		if total > 300 {
			// The baseline and a start without any knowledge take minutes to replay.
			s := newSimulation(t, total, 5)
			s.introduce()
			s.run(3)
			entry, agent := s.busiest(3)
			t.Logf("%d hosts: bytes and datagrams per second, busiest entry %d, busiest agent %d", total, entry, agent)
			continue
		}
		before := newSimulation(t, total, 5)
		for _, l := range before.listeners {
			l.peers.always = true
		}
		before.run(1)
		entryBefore, agentBefore := before.busiest(1)
		s := newSimulation(t, total, 5)
		s.run(6)
		entry, agent := s.busiest(6)
		t.Logf("%d hosts: bytes and datagrams per second, busiest entry %d (before %d), busiest agent %d (before %d)",
			total, entry, entryBefore, agent, agentBefore)
		entries, agents = append(entries, entry[0]), append(agents, agent[0])
		if total == 30 {
			require.InDelta(t, entryBefore[0], entry[0], 0.02*float64(entry[0]), "a small fleet is served as before")
		}
	}
	require.Less(t, float64(entries[2]), 1.2*float64(entries[1]))
	require.Less(t, float64(agents[2]), 1.2*float64(agents[1]))
}
