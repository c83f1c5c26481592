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
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Sink receives the contents of reports from agents.
type Sink struct {
	Report func(fleet.ReplicaID, dispatch.Report)
	// WantedVersion receives a wanted version and the time since it became wanted.
	WantedVersion func(model core.Model, version int64, age time.Duration)
	// EntryHostCounts receives the number of entry hosts that request reports from an agent and the number of those that the
	// store does not answer.
	EntryHostCounts func(hosts, unresponsive int)
}

// Listener requests load reports from agents and passes them to a Sink.
type Listener struct {
	conn *net.UDPConn
	port uint16
	view func() *fleet.View
	// storeUnresponsive reports whether the store does not answer this host.
	storeUnresponsive func() bool

	sink Sink
	log  *logrus.Entry
	// byHost holds the replicas that have an agent by the IP address of their host.
	byHost atomic.Pointer[map[netip.Addr][]fleet.Member]
}

// Listen opens the UDP socket of an entry host at ip.
func Listen(ip string, port int, view func() *fleet.View, storeUnresponsive func() bool, sink Sink, log *logrus.Entry) (*Listener, error) {
	conn, err := listenUDP(ip, port)
	if err != nil {
		return nil, err
	}
	return &Listener{conn: conn, port: uint16(port), view: view, storeUnresponsive: storeUnresponsive, sink: sink, log: log}, nil
}

// Run requests and receives reports until ctx is done.
func (l *Listener) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(l.receive)
	ticker := time.NewTicker(RequestInterval)
	defer ticker.Stop()
	for {
		l.requestReports()
		select {
		case <-ctx.Done():
			_ = l.conn.Close()
			loops.Wait()
			return
		case <-ticker.C:
		}
	}
}

// requestReports requests reports from the agents of all engine replicas.
func (l *Listener) requestReports() {
	view := l.view()
	if !view.Ready() {
		return
	}
	byHost := make(map[netip.Addr][]fleet.Member)
	for _, member := range view.Members {
		if view.Configuration.Upstreams[member.Upstream].Engine == nil {
			continue
		}
		address, err := netip.ParseAddrPort(member.Address)
		if err != nil {
			l.log.WithError(err).WithField("replica", member.ID).Warn("replica address is not an IP address with a port")
			continue
		}
		byHost[address.Addr()] = append(byHost[address.Addr()], member)
	}
	l.byHost.Store(&byHost)
	body, err := json.Marshal(message{StoreUnresponsive: l.storeUnresponsive(), Wanted: recentWanted(bootclock.Time(), view)})
	if err != nil {
		l.log.WithError(err).Error("encode request for reports")
		return
	}
	for host := range byHost {
		// Errors are ignored: a lost request is replaced by the next one.
		_, _ = l.conn.WriteToUDPAddrPort(body, netip.AddrPortFrom(host, l.port))
	}
}

func (l *Listener) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var received message
		if json.Unmarshal(buffer[:n], &received) != nil || received.Report == nil {
			continue
		}
		byHost := l.byHost.Load()
		if byHost == nil {
			continue
		}
		for _, member := range (*byHost)[from.Addr().Unmap()] {
			if member.Born == received.Report.Born || member.Born == 0 {
				l.sink.Report(member.ID, received.Report.decode())
			}
		}
		l.sink.EntryHostCounts(received.Report.Senders, received.Report.StoreUnresponsiveCount)
		deliverWanted(received.Report.Wanted, l.sink.WantedVersion)
	}
}

func listenUDP(ip string, port int) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	return conn, eris.Wrapf(err, "listen on UDP port %d", port)
}
