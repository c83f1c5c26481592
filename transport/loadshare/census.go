package loadshare

import (
	"expvar"
	"hash/crc32"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/reporting"
	"github.com/guavatrestle/guavatrestle/state/core"
)

const (
	// addressBytes is the size of an IPv4 address in a message, maxEntries the number of addresses that fit into a datagram with the rest.
	addressBytes = 4
	maxEntries   = 256
	// orderUnit is the unit of the order of reports. Reports that are sent within it count as equally new.
	orderUnit = 100 * time.Millisecond
)

var (
	varReportsSent   = expvar.NewInt("loadshare_reports_sent")
	varReportsStale  = expvar.NewInt("loadshare_reports_stale")
	varSubsetAgents  = expvar.NewFloat("loadshare_subset_agents")
	varSubsetOutside = expvar.NewFloat("loadshare_subset_outside")
	varEntryHosts    = expvar.NewFloat("loadshare_entry_hosts")
)

// learnCounts adds the counts of a message to a census.
func learnCounts(census *reporting.Census, now time.Time, counts []hostCount) {
	for _, count := range counts {
		at := now.Add(-time.Duration(count.AgeMS) * time.Millisecond)
		census.Learn(now, reporting.Count{FailureDomain: count.FailureDomain, Hosts: count.Hosts, At: at})
	}
}

// encodeCounts returns the counts of a census for a message.
func encodeCounts(census *reporting.Census, now time.Time) []hostCount {
	var counts []hostCount
	for _, count := range census.Counts(now) {
		counts = append(counts, hostCount{FailureDomain: count.FailureDomain, Hosts: count.Hosts, AgeMS: now.Sub(count.At).Milliseconds()})
	}
	return counts
}

func encodeEntries(entries []netip.Addr) []byte {
	var body []byte
	for _, entry := range entries {
		if entry.Is4() && len(body) < maxEntries*addressBytes {
			body = append(body, entry.AsSlice()...)
		}
	}
	return body
}

// hashEntries returns the hash of a sorted list of addresses; 0 stands for none.
func hashEntries(entries []netip.Addr) uint32 {
	if len(entries) == 0 {
		return 0
	}
	return max(crc32.ChecksumIEEE(encodeEntries(entries)), 1)
}

func decodeEntries(body []byte) []netip.Addr {
	var entries []netip.Addr
	for part := range slices.Chunk(body, addressBytes) {
		if entry, ok := netip.AddrFromSlice(part); ok {
			entries = append(entries, entry)
		}
	}
	return entries
}

// answer returns the response to a question of an entry host; the caller holds the lock. It names the entry hosts of the sender's failure
// domain, all of which send requests to the agents that the sender asks for them.
func (r *Reporter) answer(request *message) message {
	relays, now := r.relays(false), r.now()
	switch {
	case request.AskCounts:
		return message{Counts: encodeCounts(r.census, now)}
	case !request.AskEntries:
		return message{Relays: relays}
	}
	domain := request.FailureDomain
	var entries []netip.Addr
	for address, host := range r.requesters {
		if host.failureDomain == domain && !host.unconfirmed {
			entries = append(entries, address.Addr().Unmap())
		}
	}
	slices.SortFunc(entries, netip.Addr.Compare)
	r.census.Learn(now, reporting.Count{FailureDomain: domain, Hosts: len(entries), At: now})
	result := message{Entries: encodeEntries(entries), Counts: encodeCounts(r.census, now)}
	if hashEntries(entries) == request.EntriesHash {
		result.Entries, result.SameEntries = nil, true
	}
	if address, ok := relays[domain]; ok {
		result.Relays = map[core.FailureDomain]netip.Addr{domain: address}
	}
	return result
}

// entryHosts returns the number of entry hosts, the highest that a requester knows, 0 in small fleets; the caller holds the lock. Hosts
// learn at different times of one that is lost, and a number that is too high only makes hosts send less to a replica with a limited rate.
func (r *Reporter) entryHosts() int {
	highest := 0
	if r.earlier {
		return highest
	}
	for _, host := range r.requesters {
		highest = max(highest, host.entryHosts)
	}
	return highest
}

// dueRequesters returns the hosts to which a report is due, all that requested reports if it is urgent; the caller holds the lock.
func (r *Reporter) dueRequesters(now time.Time, urgent bool) []netip.AddrPort {
	var due []netip.AddrPort
	for address, host := range r.requesters {
		if host.presence || !urgent && host.interval > 0 && now.Before(host.dueAt) {
			continue
		}
		due = append(due, address)
		if host.interval > 0 {
			host.dueAt = host.nextDue(now)
			r.requesters[address] = host
		}
	}
	return due
}

// nextDue returns the time of the report after one at now. Reports are only made every ReportInterval, so the time that one is late is
// subtracted from the next interval. An urgent report is earlier than due; the next one follows it after the usual interval.
func (h *requester) nextDue(now time.Time) time.Time {
	latest := now.Add(h.interval)
	if next := h.dueAt.Add(h.interval); next.After(now) && next.Before(latest) {
		return next
	}
	return latest
}

// encodeReport encodes the present report; the caller holds the lock. Where not all entry hosts request reports, the numbers hold for all
// of them: those that do not may send requests too.
func (r *Reporter) encodeReport(now time.Time, unresponsive int) ([]byte, error) {
	requesters := 0
	for _, host := range r.requesters {
		if !host.presence {
			requesters++
		}
	}
	present, total := len(r.requesters), r.entryHosts()
	r.current.Senders, r.current.Requesters = max(present, total), 0
	demand, order := r.totalDemand(), int64(0)
	r.current.Demand = r.totalPriorityDemand()
	if total > 0 {
		r.current.Requesters = requesters
		scale := float64(r.current.Senders) / float64(requesters)
		demand *= scale
		for level := range r.current.Demand {
			r.current.Demand[level] = min(roundDemand(scale*r.current.Demand[level]), maxCount)
		}
		unresponsive = unresponsive * r.current.Senders / present
		order = now.UnixNano() / int64(orderUnit)
	}
	return encodeReport(r.born, r.current, demand, unresponsive, order, recentWanted(now, r.view()))
}

// otherRegistrars returns the agents that pass notices on to the entry hosts that this agent doesn't know, none in small fleets; the caller
// holds the lock.
func (r *Reporter) otherRegistrars() []netip.AddrPort {
	view := r.view()
	if r.entryHosts() == 0 || !view.Ready() {
		return nil
	}
	seen := make(map[netip.Addr]bool)
	var agents []reporting.Agent
	for _, member := range view.Members {
		address, err := netip.ParseAddrPort(member.Address)
		if err != nil || engineOf(view, member.Upstream) == nil || seen[address.Addr()] {
			continue
		}
		seen[address.Addr()] = true
		agents = append(agents, reporting.Agent{Host: address.Addr(), Region: r.regions[member.FailureDomain]})
	}
	var others []netip.AddrPort
	for _, host := range registrarsOf(maps.Keys(r.regions), r.regions, agents) {
		if host != r.host {
			others = append(others, netip.AddrPortFrom(host, r.port))
		}
	}
	return others
}
