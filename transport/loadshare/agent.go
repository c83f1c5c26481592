package loadshare

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/coordination/relay"
	"github.com/guavatrestle/guavatrestle/internal/bootclock"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// requester is an entry host that requested reports.
type requester struct {
	lastRequest time.Time
	// storeUnresponsive is set when the store does not answer the host.
	storeUnresponsive bool
	failureDomain     core.FailureDomain
	demand            float64
	priorityDemand    []float64
	// direct is set when the host reads the store itself and the store answers it.
	direct bool
}

// RequestSink receives the contents of requests for reports from entry hosts.
type RequestSink struct {
	// EntryHostCounts receives the number of entry hosts that request reports and the number of those that the store does not
	// answer.
	EntryHostCounts func(hosts, unresponsive int)
	// WantedVersion receives a version that an entry host knows to be wanted and the time since it became wanted.
	WantedVersion func(model core.Model, version int64, age time.Duration)
	// NewestVersion receives the newest wanted version of a model from an entry host that doesn't know since when it is wanted.
	NewestVersion func(model core.Model, version int64)
	// Relays receives the relay of each failure domain every ReportInterval.
	Relays func(map[core.FailureDomain]netip.Addr)
}

// Reporter sends load reports to the entry hosts that requested them recently.
type Reporter struct {
	conn *net.UDPConn
	view func() *fleet.View
	sink RequestSink
	log  *logrus.Entry

	mu         sync.Mutex
	requesters map[netip.AddrPort]requester
	current    dispatch.Report
	born       int64
	hasReport  bool
	// ledger holds the notices of all entry hosts, unsent those that have not been passed on yet; push receives a value for them.
	ledger *quarantine.Ledger
	unsent []quarantine.Notice
	push   chan struct{}
	host   netip.Addr
}

// NewReporter opens the UDP socket of an agent at ip.
func NewReporter(ip string, port int, view func() *fleet.View, sink RequestSink, log *logrus.Entry) (*Reporter, error) {
	conn, err := listenUDP(ip, port)
	if err != nil {
		return nil, err
	}
	// An address that is not an IP address has no notices.
	host, _ := netip.ParseAddr(ip)
	return &Reporter{
		conn: conn, view: view, sink: sink, log: log, requesters: make(map[netip.AddrPort]requester),
		ledger: quarantine.NewLedger(quarantine.DefaultConfig()), push: make(chan struct{}, 1), host: host,
	}, nil
}

// Run receives requests and sends reports until ctx is done.
func (r *Reporter) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(r.receive)
	loops.Go(func() { r.pushNotices(ctx) })
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = r.conn.Close()
			loops.Wait()
			return
		case <-ticker.C:
			r.Send()
		}
	}
}

// SetReport replaces the report that is sent. born identifies the worker process that it is about.
func (r *Reporter) SetReport(born int64, report dispatch.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born, r.current, r.hasReport = born, report, true
}

// ClearReport stops the reports until the next SetReport. It is called when the worker does not respond.
func (r *Reporter) ClearReport() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasReport = false
}

// Send removes expired requesters and sends the report immediately.
func (r *Reporter) Send() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := bootclock.Time()
	unresponsive := 0
	for address, host := range r.requesters {
		if now.Sub(host.lastRequest) > requestLifetime {
			delete(r.requesters, address)
		} else if host.storeUnresponsive {
			unresponsive++
		}
	}
	r.sink.EntryHostCounts(len(r.requesters), unresponsive)
	r.sink.Relays(r.relays())
	if !r.hasReport || len(r.requesters) == 0 {
		return
	}
	r.current.Senders, r.current.Demand = len(r.requesters), r.totalPriorityDemand()
	body, err := encodeReport(r.born, r.current, r.totalDemand(), unresponsive, recentWanted(now, r.view()))
	if err != nil {
		r.log.WithError(err).Error("encode load report")
		return
	}
	for address := range r.requesters {
		// Errors are ignored: a lost report is replaced by the next one.
		_, _ = r.conn.WriteToUDPAddrPort(body, address)
	}
}

// totalDemand returns the demand of all requesters, 0 if one of them has not told its own; the caller holds the lock.
func (r *Reporter) totalDemand() float64 {
	total := 0.0
	for _, host := range r.requesters {
		if host.demand <= 0 {
			return 0
		}
		total += host.demand
	}
	return total
}

// totalPriorityDemand returns the demand by priority of all requesters that have told it; the caller holds the lock.
func (r *Reporter) totalPriorityDemand() []float64 {
	var total []float64
	for _, host := range r.requesters {
		for level, perSecond := range host.priorityDemand {
			if level == len(total) {
				total = append(total, 0)
			}
			total[level] = roundDemand(total[level] + perSecond)
		}
	}
	return total
}

// relays returns the relay of each failure domain; the caller holds the lock.
func (r *Reporter) relays() map[core.FailureDomain]netip.Addr {
	var candidates []relay.Candidate
	for address, host := range r.requesters {
		candidates = append(candidates, relay.Candidate{
			Address: address.Addr().Unmap(), FailureDomain: host.failureDomain, Direct: host.direct,
		})
	}
	return relay.Elect(candidates)
}

// recordRequest records the sender of a request and answers its question for the relays.
func (r *Reporter) recordRequest(from netip.AddrPort, request message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, registered := r.requesters[from]
	if len(request.Notices) == 0 && (registered || len(r.requesters) < maxRequesters) {
		r.requesters[from] = requester{
			lastRequest: bootclock.Time(), storeUnresponsive: request.StoreUnresponsive,
			failureDomain: request.FailureDomain, direct: request.Direct, demand: request.Demand,
			priorityDemand: request.PriorityDemand,
		}
	}
	r.addNotices(decodeNotices(bootclock.Time(), request.Notices))
	if request.Digest != nil {
		r.answerComparison(from, *request.Digest)
	}
	if !request.AskRelays {
		return
	}
	body, err := json.Marshal(message{Relays: r.relays()})
	if err != nil {
		r.log.WithError(err).Error("encode relays")
		return
	}
	// Errors are ignored: the host asks again.
	_, _ = r.conn.WriteToUDPAddrPort(body, from)
}

// WorkerEnded tells entry hosts that a process of the worker on this host has ended.
func (r *Reporter) WorkerEnded(born int64) {
	if !r.host.IsValid() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addNotices([]quarantine.Notice{
		quarantine.EndedNotice(bootclock.Time(), quarantine.Process{Host: r.host, Born: born}),
	})
}

// addNotices adds notices, which are passed on to all entry hosts if they are new; the caller holds the lock.
func (r *Reporter) addNotices(notices []quarantine.Notice) {
	for _, n := range notices {
		if r.ledger.Add(bootclock.Time(), n) {
			r.unsent = append(r.unsent, n)
		}
	}
	if len(r.unsent) == 0 {
		return
	}
	select {
	case r.push <- struct{}{}:
	default:
	}
}

// answerComparison tells an entry host the digest of the notices, and the notices if its own are others; the caller holds the lock.
func (r *Reporter) answerComparison(to netip.AddrPort, digest uint64) {
	r.ledger.Expire(bootclock.Time())
	own := r.ledger.Digest()
	var notices []quarantine.Notice
	if own != digest {
		notices = r.ledger.Notices()
	}
	r.sendNotices(notices, &own, to)
}

// pushNotices passes new notices on until ctx is done.
func (r *Reporter) pushNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.push:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(noticePushDelay):
		}
		r.mu.Lock()
		unsent := r.unsent
		r.unsent = nil
		r.sendNotices(unsent, nil, slices.Collect(maps.Keys(r.requesters))...)
		r.mu.Unlock()
	}
}

func (r *Reporter) sendNotices(notices []quarantine.Notice, digest *uint64, to ...netip.AddrPort) {
	datagrams, err := encodeDatagrams(bootclock.Time(), notices, digest)
	if err != nil {
		r.log.WithError(err).Error("encode notices")
		return
	}
	for _, address := range to {
		for _, body := range datagrams {
			// Errors are ignored: the next comparison makes up for a lost datagram.
			_, _ = r.conn.WriteToUDPAddrPort(body, address)
		}
	}
}

func (r *Reporter) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		handleDatagram(r.log, from, buffer[:n], func(request message) {
			if request.Report == nil {
				r.recordRequest(from, request)
				deliverWanted(request.Wanted, r.sink.WantedVersion)
				for _, newest := range request.Newest {
					r.sink.NewestVersion(core.Model(newest.Model), newest.Version)
				}
			}
		})
	}
}
