package loadshare

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/coordination/quarantine"
	"github.com/guavatrestle/guavatrestle/coordination/relay"
	"github.com/guavatrestle/guavatrestle/coordination/reporting"
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
	// presence is set when the host requested no reports. interval is the time between two reports, dueAt that of the next.
	presence bool
	interval time.Duration
	dueAt    time.Time
	// relay is the relay of its failure domain as the host knows it, which need not request reports from this agent.
	relay netip.Addr
	// entryHosts is the number of entry hosts that the host knows, 0 in a small fleet.
	entryHosts int
	// unconfirmed is set if the last request may have waited for long. The host gets reports but is neither counted nor named as a relay,
	// since it may be gone.
	unconfirmed bool
}

// RequestSink receives the contents of requests for reports from entry hosts.
type RequestSink struct {
	// EntryHostCounts receives the number of entry hosts that request reports and the number of those that the store does not
	// answer.
	EntryHostCounts func(hosts, unresponsive int)
	// VersionTime receives a version that an entry host knows to be wanted, with the bounds of its time.
	VersionTime func(from netip.Addr, model core.Model, told fleet.WantedVersion)
	// NewestVersion receives a wanted version of a model from an entry host that doesn't say since when it is wanted.
	NewestVersion func(model core.Model, version int64)
	// Relays receives the relay of each failure domain every ReportInterval.
	Relays func(map[core.FailureDomain]netip.Addr)
}

// Reporter sends load reports to the entry hosts that requested them recently.
type Reporter struct {
	conn packetConn
	port uint16
	// now reads the clock since boot.
	now func() time.Time
	// arrivedAfter returns a time after which everything has arrived that is read now.
	arrivedAfter func() time.Time
	view         func() *fleet.View
	sink         RequestSink
	log          *logrus.Entry

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
	// census counts the entry hosts of all failure domains, for those that ask this agent.
	census  *reporting.Census
	regions map[core.FailureDomain]core.Region
	// unansweredSince is the time of the first question for the times of versions since the last answer, zero if all were answered. Only the
	// goroutine that receives datagrams uses it.
	unansweredSince time.Time
	// earlier makes the agent report like one of an earlier version, in tests.
	earlier bool
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
		conn: conn, port: uint16(port), now: bootclock.Time, arrivedAfter: bootclock.Time, view: view, sink: sink, log: log, requesters: make(map[netip.AddrPort]requester),
		ledger: quarantine.NewLedger(quarantine.DefaultConfig()), push: make(chan struct{}, 1), host: host,
		census: reporting.NewCensus(),
	}, nil
}

// SetRegions sets the regions of the failure domains; it must be called before Run.
func (r *Reporter) SetRegions(regions map[core.FailureDomain]core.Region) { r.regions = regions }

// SetArrivedAfter sets a function that returns a time after which everything has arrived that this process reads now, as standstill.Monitor
// does; it must be called before Run.
func (r *Reporter) SetArrivedAfter(arrivedAfter func() bootclock.Instant) {
	r.arrivedAfter = func() time.Time { return time.Unix(0, int64(arrivedAfter())) }
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
			r.send(false)
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

// Send removes expired requesters and sends the report immediately to all that requested reports.
func (r *Reporter) Send() { r.send(true) }

// send is Send, or sends the report only to the requesters whose interval is over.
func (r *Reporter) send(urgent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	confirmed, unresponsive := 0, 0
	for address, host := range r.requesters {
		switch {
		case now.Sub(host.lastRequest) > requestLifetime:
			delete(r.requesters, address)
			continue
		case host.unconfirmed:
			continue
		case host.storeUnresponsive:
			unresponsive++
		}
		confirmed++
	}
	r.sink.EntryHostCounts(confirmed, unresponsive)
	r.sink.Relays(r.relays(true))
	due := r.dueRequesters(now, urgent)
	if !r.hasReport || len(due) == 0 {
		return
	}
	body, err := r.encodeReport(now, unresponsive)
	if err != nil {
		r.log.WithError(err).Error("encode load report")
		return
	}
	for _, address := range due {
		// Errors are ignored: a lost report is replaced by the next one.
		_, _ = r.conn.WriteToUDPAddrPort(body, address)
	}
	varReportsSent.Add(int64(len(due)))
}

// totalDemand returns the demand of all requesters, 0 if one of them has not told its own; the caller holds the lock.
func (r *Reporter) totalDemand() float64 {
	total := 0.0
	for _, host := range r.requesters {
		if host.presence {
			continue
		}
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
		if host.presence {
			continue
		}
		for level, perSecond := range host.priorityDemand {
			if level == len(total) {
				total = append(total, 0)
			}
			total[level] = roundDemand(total[level] + perSecond)
		}
	}
	return total
}

// relays returns the relay of each failure domain, elected from the requesters and, if told is set, from the relays that they have told.
// What entry hosts are answered must not depend on the latter, or they would confirm each other a relay that is gone. The caller holds
// the lock.
func (r *Reporter) relays(told bool) map[core.FailureDomain]netip.Addr {
	var candidates []relay.Candidate
	for address, host := range r.requesters {
		if host.unconfirmed {
			continue
		}
		if told && host.relay.IsValid() {
			candidates = append(candidates, relay.Candidate{Address: host.relay, FailureDomain: host.failureDomain, Direct: true})
		}
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
	late := readLate(r.now(), r.arrivedAfter())
	earlier, registered := r.requesters[from]
	if len(request.Notices) == 0 && (registered || len(r.requesters) < maxRequesters) {
		r.requesters[from] = requester{
			lastRequest: r.now(), storeUnresponsive: request.StoreUnresponsive,
			failureDomain: request.FailureDomain, direct: request.Direct, demand: request.Demand,
			priorityDemand: request.PriorityDemand,
			presence:       request.Presence && !r.earlier, interval: time.Duration(request.IntervalMS) * time.Millisecond, dueAt: earlier.dueAt,
			relay: request.Relays[request.FailureDomain], entryHosts: request.EntryHosts,
			unconfirmed: late,
		}
	}
	if !late {
		learnCounts(r.census, r.now(), request.Counts)
		r.addNotices(decodeNotices(r.now(), request.Notices))
	}
	if request.Digest != nil {
		r.answerComparison(from, *request.Digest)
	}
	if !request.AskRelays && !request.AskEntries && !request.AskCounts {
		return
	}
	body, err := json.Marshal(r.answer(&request))
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
	ended := []quarantine.Notice{quarantine.EndedNotice(r.now(), quarantine.Process{Host: r.host, Born: born})}
	r.addNotices(ended)
	r.sendNotices(ended, nil, r.otherRegistrars()...)
}

// addNotices adds notices, which are passed on to all entry hosts if they are new; the caller holds the lock.
func (r *Reporter) addNotices(notices []quarantine.Notice) {
	for _, n := range notices {
		if r.ledger.Add(r.now(), n) {
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
	r.ledger.Expire(r.now())
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
		r.sendUnsent()
	}
}

// sendUnsent passes new notices on to the entry hosts that this agent knows.
func (r *Reporter) sendUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	unsent := r.unsent
	r.unsent = nil
	r.sendNotices(unsent, nil, slices.Collect(maps.Keys(r.requesters))...)
}

func (r *Reporter) sendNotices(notices []quarantine.Notice, digest *uint64, to ...netip.AddrPort) {
	datagrams, err := encodeDatagrams(r.now(), notices, digest)
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
		handleDatagram(r.log, from, buffer[:n], r.take(from))
	}
}

// take returns a function that handles the message of a datagram from an address.
func (r *Reporter) take(from netip.AddrPort) func(message) {
	return func(request message) {
		switch {
		case request.Report != nil:
		case request.Times != nil:
			r.unansweredSince = time.Time{}
			request.Times.deliverTimes(r.now(), from.Addr().Unmap(), r.sink.VersionTime)
		default:
			r.recordRequest(from, request)
			r.learnVersions(from, request)
		}
	}
}

// learnVersions passes on what an entry host says of versions, and asks it for times that it may know more closely.
func (r *Reporter) learnVersions(from netip.AddrPort, request message) {
	now, view := r.now(), r.view()
	if request.AskTimes != nil {
		if times := answerQuestion(now, view, *request.AskTimes); times != nil {
			sendMessage(r.conn, r.log, from, message{Times: times})
		}
	}
	for _, newest := range request.Newest {
		r.sink.NewestVersion(core.Model(newest.Model), newest.Version)
	}
	if !lacksAny(view, request.Wanted, true) {
		return
	}
	sendMessage(r.conn, r.log, from, message{AskTimes: question(now)})
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
	if now.Sub(r.unansweredSince) <= answerPatience {
		return
	}
	for _, version := range request.Wanted {
		r.sink.NewestVersion(core.Model(version.Model), version.Version)
	}
}
