package loadshare

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Sink receives the contents of reports from agents.
type Sink struct {
	Report func(fleet.ReplicaID, dispatch.Report)
	// VersionTime receives a version that an agent knows to be wanted, with the bounds of its time.
	VersionTime func(from netip.Addr, model core.Model, told fleet.WantedVersion)
	// EntryHostCounts receives the number of entry hosts that request reports from an agent and the number of those that the
	// store does not answer.
	EntryHostCounts func(hosts, unresponsive int)
	// Relay receives the address of the relay of this host's failure domain.
	Relay func(netip.Addr)
	// Outside, if set, receives the replicas from which this host requests no reports.
	Outside func(map[fleet.ReplicaID]bool)
}

// Notices holds what a host knows about prompts on which replicas crash.
type Notices interface {
	// Outgoing receives a value when TakeOutgoing has notices that other hosts have not been told yet.
	Outgoing() <-chan struct{}
	TakeOutgoing() []quarantine.Notice
	// Notices returns all notices, Digest their digest.
	Notices() []quarantine.Notice
	Digest() uint64
	Merge([]quarantine.Notice)
	// MarkCompared records that an agent has compared its notices with those of this host.
	MarkCompared()
}

// ListenerDependencies holds what a Listener tells agents about this host, and what it needs to know which agents there are.
type ListenerDependencies struct {
	FailureDomain core.FailureDomain
	// Regions maps all failure domains to their regions.
	Regions map[core.FailureDomain]core.Region
	View    func() *fleet.View
	// Replicas returns the replicas known so far, also before there is a view.
	Replicas func() []fleet.Member
	// StoreUnresponsive reports whether the store does not answer this host, Direct whether this host reads the store itself and
	// the store answers it.
	StoreUnresponsive func() bool
	Direct            func() bool
	// Demand returns the rate of requests per second of this host's callers for an upstream.
	Demand func(core.Upstream) float64
	// PriorityDemand, if set, returns the same by the level of the requests' priority, as of the last call of Demand; nil if the routes
	// of the upstream have only one priority.
	PriorityDemand func(core.Upstream) []float64
	// ArrivedAfter returns a time after which everything has arrived that this process reads now, as standstill.Monitor does; nil means
	// the present.
	ArrivedAfter func() bootclock.Instant
	// Notices, if set, is exchanged with other hosts.
	Notices Notices
	Sink    Sink
	Log     *logrus.Entry
}

// Listener requests load reports from agents and passes them to a Sink.
type Listener struct {
	ListenerDependencies
	conn packetConn
	port uint16
	// now reads the clock since boot.
	now func() time.Time
	// byHost holds the replicas that have an agent by the IP address of their host.
	byHost atomic.Pointer[map[netip.Addr][]fleet.Member]
	// demand holds the demand by upstream that agents have been told last.
	demand atomic.Pointer[map[core.Upstream]float64]
	// compared is set once an agent has compared its notices with those of this host.
	compared atomic.Bool
	// lacksTimes is set if an agent has listed a version of which this host doesn't know the time.
	lacksTimes atomic.Bool
	// divided is set while reports are requested from a subset of the agents.
	divided bool
	peers   peers
}

// Listen opens the UDP socket of an entry host at ip.
func Listen(ip string, port int, deps ListenerDependencies) (*Listener, error) {
	conn, err := listenUDP(ip, port)
	if err != nil {
		return nil, err
	}
	self, _ := netip.ParseAddr(ip)
	return &Listener{ListenerDependencies: deps, conn: conn, port: uint16(port), now: bootclock.Time, peers: newPeers(self, deps.FailureDomain, deps.Regions)}, nil
}

// Run requests and receives reports until ctx is done.
func (l *Listener) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(l.receive)
	if l.Notices != nil {
		loops.Go(func() { l.pushNotices(ctx) })
	}
	for {
		interval := RequestInterval
		if !l.View().Ready() {
			interval = hurriedInterval
		}
		l.requestReports()
		select {
		case <-ctx.Done():
			_ = l.conn.Close()
			loops.Wait()
			return
		case <-time.After(interval):
		}
	}
}

// requestReports requests reports from the agents of all engine replicas, and asks some of them for the relays. Before there is a
// configuration it is not known which replicas are engines, so all hosts of replicas are asked.
func (l *Listener) requestReports() {
	view := l.View()
	members := l.engines(view)
	byHost := make(map[netip.Addr][]fleet.Member)
	for _, member := range members {
		address, err := netip.ParseAddrPort(member.Address)
		if err != nil {
			l.Log.WithError(err).WithField("replica", member.ID).Warn("replica address is not an IP address with a port")
			continue
		}
		byHost[address.Addr()] = append(byHost[address.Addr()], member)
	}
	l.byHost.Store(&byHost)
	round := l.peers.startRound(l.now(), byHost, view.Ready())
	l.announce(&round, len(byHost))
	demand := make(map[core.Upstream]float64)
	lacksTimes := l.lacksTimes.Swap(false) || lackTimes(l.now(), view)
	asked := 0
	for _, host := range round.order {
		if !round.asks(host) {
			continue
		}
		upstream := byHost[host][0].Upstream
		if _, measured := demand[upstream]; !measured {
			demand[upstream] = l.Demand(upstream)
		}
		request := message{
			StoreUnresponsive: l.StoreUnresponsive(), Wanted: recentWanted(l.now(), view),
			FailureDomain: l.FailureDomain, Direct: l.Direct(), AskRelays: asked < relayQuestions, Demand: demand[upstream],
		}
		if l.PriorityDemand != nil {
			request.PriorityDemand = l.PriorityDemand(upstream)
		}
		round.complete(&request, host)
		if engine := engineOf(view, upstream); engine != nil {
			request.Newest = newestWithoutTime(view, engine.Models)
		}
		if l.Notices != nil && (asked < noticeQuestions || request.AskRelays && !l.compared.Load()) {
			digest := l.Notices.Digest()
			request.Digest = &digest
		}
		if lacksTimes && asked < timeQuestions {
			request.AskTimes = question(l.now())
		}
		body, err := json.Marshal(request)
		if err != nil {
			l.Log.WithError(err).Error("encode request for reports")
			return
		}
		asked++
		// Errors are ignored: a lost request is replaced by the next one.
		_, _ = l.conn.WriteToUDPAddrPort(body, netip.AddrPortFrom(host, l.port))
	}
	l.demand.Store(&demand)
}

// announce passes on and logs from which replicas no reports are requested.
func (l *Listener) announce(r *round, agents int) {
	if l.Sink.Outside != nil {
		l.Sink.Outside(r.outside)
	}
	if divided := len(r.outside) > 0; divided != l.divided {
		l.divided = divided
		l.Log.WithFields(logrus.Fields{"agents": agents, "replicas_outside": len(r.outside), "entry_hosts": r.entryHosts}).
			Info("agents that are asked for load reports change between all and a subset")
	}
}

// engineOf returns the engine settings of an upstream, or nil if it is no engine or there is no view yet.
func engineOf(view *fleet.View, upstream core.Upstream) *fleet.EngineSpec {
	if !view.Ready() {
		return nil
	}
	return view.Configuration.Upstreams[upstream].Engine
}

// engines returns the replicas that are engines, or all known replicas if there is no view yet.
func (l *Listener) engines(view *fleet.View) []fleet.Member {
	if !view.Ready() {
		return l.Replicas()
	}
	var engines []fleet.Member
	for _, member := range view.Members {
		if engineOf(view, member.Upstream) != nil {
			engines = append(engines, member)
		}
	}
	return engines
}

func (l *Listener) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		handleDatagram(l.Log, from, buffer[:n], func(received message) { l.record(from, received) })
	}
}

// record passes the content of a datagram on.
func (l *Listener) record(from netip.AddrPort, received message) {
	if address, ok := received.Relays[l.FailureDomain]; ok {
		l.Sink.Relay(address)
	}
	if readLate(l.now(), l.arrivedAfter()) {
		received.Notices, received.Digest, received.Counts = nil, nil, nil
	}
	if l.Notices != nil {
		l.exchangeNotices(from, received)
	}
	l.exchangeTimes(from, received)
	l.peers.learn(l.now(), &received)
	byHost := l.byHost.Load()
	if received.Report == nil || byHost == nil || !l.peers.isNewest(from.Addr().Unmap(), received.Report) {
		return
	}
	for _, member := range (*byHost)[from.Addr().Unmap()] {
		if member.Born == received.Report.Born || member.Born == 0 {
			report := received.Report.decode(l.toldDemand(member.Upstream))
			l.peers.countAll(l.now(), &report)
			l.Sink.Report(member.ID, report)
		}
	}
	l.Sink.EntryHostCounts(received.Report.Senders, received.Report.StoreUnresponsiveCount)
	if lacksAny(l.View(), received.Report.Wanted, false) {
		l.lacksTimes.Store(true)
	}
}

// exchangeTimes answers a question for the times of versions, and passes on the answer to one.
func (l *Listener) exchangeTimes(from netip.AddrPort, received message) {
	now := l.now()
	if received.AskTimes != nil {
		if times := answerQuestion(now, l.View(), *received.AskTimes); times != nil {
			sendMessage(l.conn, l.Log, from, message{Times: times})
		}
	}
	if received.Times != nil {
		received.Times.deliverTimes(now, from.Addr().Unmap(), l.Sink.VersionTime)
	}
}

// exchangeNotices adds the notices of an agent, and sends it those that it lacks if it has compared.
func (l *Listener) exchangeNotices(from netip.AddrPort, received message) {
	if len(received.Notices) > 0 {
		l.Notices.Merge(decodeNotices(l.now(), received.Notices))
	}
	if received.Digest == nil {
		return
	}
	l.compared.Store(true)
	l.Notices.MarkCompared()
	if *received.Digest != l.Notices.Digest() {
		l.sendNotices(from, l.Notices.Notices())
	}
}

// pushNotices sends new notices to some agents until ctx is done.
func (l *Listener) pushNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.Notices.Outgoing():
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(noticePushDelay):
		}
		outgoing := l.Notices.TakeOutgoing()
		byHost := l.byHost.Load()
		if len(outgoing) == 0 || byHost == nil {
			continue
		}
		for _, host := range l.peers.noticeTargets(l.now(), *byHost) {
			l.sendNotices(netip.AddrPortFrom(host, l.port), outgoing)
		}
	}
}

func (l *Listener) sendNotices(to netip.AddrPort, notices []quarantine.Notice) {
	datagrams, err := encodeDatagrams(l.now(), notices, nil)
	if err != nil {
		l.Log.WithError(err).Error("encode notices")
		return
	}
	for _, body := range datagrams {
		// Errors are ignored: the next comparison makes up for a lost datagram.
		_, _ = l.conn.WriteToUDPAddrPort(body, to)
	}
}

func (l *Listener) arrivedAfter() time.Time {
	if l.ArrivedAfter == nil {
		return l.now()
	}
	return time.Unix(0, int64(l.ArrivedAfter()))
}

// toldDemand returns the demand for an upstream that agents have been told last.
func (l *Listener) toldDemand(upstream core.Upstream) float64 {
	if demand := l.demand.Load(); demand != nil {
		return (*demand)[upstream]
	}
	return 0
}

// packetConn is a UDP socket, or a stand-in for one.
type packetConn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

func listenUDP(ip string, port int) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	return conn, eris.Wrapf(err, "listen on UDP port %d", port)
}
