// Package loadshare carries load reports from agents to the entry hosts that send to their workers.
//
// An entry host requests reports from an agent by a datagram, which it repeats every RequestInterval. The agent sends reports
// to the hosts that requested them recently. A lost datagram does no harm: the next report replaces the lost one, and old
// reports expire.
package loadshare

import (
	"cmp"
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/dispatch"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

const (
	// RequestInterval is the interval between requests for reports to one agent.
	RequestInterval = time.Second
	// hurriedInterval is the interval between requests of an entry host that has no configuration yet.
	hurriedInterval = 100 * time.Millisecond
	// relayQuestions is the number of agents that an entry host asks for the relays in each round.
	relayQuestions = 6
	// requestLifetime is the time for which an agent sends reports after a request; two successive requests may be lost.
	requestLifetime = 3500 * time.Millisecond
	// ReportInterval is the interval between reports.
	ReportInterval = 200 * time.Millisecond
	// wantedLifetime is the time for which messages list a version after it became wanted. It is longer than the time in
	// which an activation must be complete.
	wantedLifetime = 20 * time.Second
	// maxToldVersions bounds the versions in a message, the newest of all models, so that it fits into a datagram.
	maxToldVersions = 24
	// maxWantedAge bounds the age of a version in a message.
	maxWantedAge = time.Hour
	// maxCount bounds the counts of a report, so that their sums don't overflow.
	maxCount = 1 << 20
	// maxRequesters bounds the entry hosts that one agent reports to.
	maxRequesters = 4096
	// maxDatagramBytes is the size of the receive buffer, enough for the largest report.
	maxDatagramBytes = 2048
)

// message is the content of a datagram. One from an entry host is a request for reports, unless it has notices.
type message struct {
	Report *report `json:"r,omitempty"`
	// Relays holds, in a response to AskRelays, the address of the relay of each failure domain.
	Relays map[core.FailureDomain]netip.Addr `json:"z,omitempty"`
	// FailureDomain is, in a request, the one of the sender. Direct is set if the sender reads the store itself and the store
	// answers it, AskRelays if it wants to know the relays.
	FailureDomain core.FailureDomain `json:"d,omitempty"`
	Direct        bool               `json:"s,omitempty"`
	AskRelays     bool               `json:"y,omitempty"`
	// Demand is, in a request, the rate of requests per second that the sender has for the upstream of the agent.
	Demand float64 `json:"e,omitempty"`
	// PriorityDemand is, in a request, the same by the level of the requests' priority. It is left out where the routes of the upstream
	// have only one priority.
	PriorityDemand []float64 `json:"p,omitempty"`
	// StoreUnresponsive is set in a request when the store does not answer the sender.
	StoreUnresponsive bool `json:"x,omitempty"`
	// Wanted lists, in a request, the versions that recently became wanted as known to the sender. Only hosts of an earlier version use
	// the ages: the datagram may be read at any time after it was sent. The others ask for them.
	Wanted []wantedVersion `json:"v,omitempty"`
	// Newest lists, in a request, the newest wanted versions of which the sender doesn't know since when they are wanted, as after its
	// start. Agents read the wanted versions by lists that may be seconds old.
	Newest []newestVersion `json:"u,omitempty"`
	// Presence is set in a request that only says that the sender is there, and requests no reports. IntervalMS is the time between two
	// reports that the sender requests, 0 for ReportInterval.
	Presence   bool  `json:"c,omitempty"`
	IntervalMS int64 `json:"i,omitempty"`
	// AskEntries asks for the IPv4 addresses of the entry hosts of the sender's failure domain, which a response holds in Entries.
	// EntriesHash is the hash of those that the sender knows; SameEntries is set in place of Entries if they are the same.
	AskEntries  bool   `json:"h,omitempty"`
	EntriesHash uint32 `json:"o,omitempty"`
	Entries     []byte `json:"l,omitempty"`
	SameEntries bool   `json:"w,omitempty"`
	// AskCounts asks for the Counts: the numbers of entry hosts that the sender knows, by failure domain. EntryHosts is, in a request, their sum.
	AskCounts  bool        `json:"b,omitempty"`
	Counts     []hostCount `json:"n,omitempty"`
	EntryHosts int         `json:"t,omitempty"`
	// Notices lists what the sender knows about prompts on which replicas crash. Digest is the digest of all that it knows: in a
	// request it asks for the notices that the sender lacks, and in a response for those that the agent lacks.
	Notices []notice `json:"k,omitempty"`
	Digest  *uint64  `json:"g,omitempty"`
	// AskTimes asks for the times of the versions that recently became wanted, in the clock of the sender. Times answers it.
	AskTimes *int64        `json:"q,omitempty"`
	Times    *versionTimes `json:"a,omitempty"`
}

type report struct {
	Born    int64 `json:"b"`
	Running int   `json:"n"`
	Waiting int   `json:"w"`
	Slots   int   `json:"s"`
	Loading bool  `json:"l,omitempty"`
	Leaving bool  `json:"q,omitempty"`
	// RequestLimit is the request rate per second that the worker takes from all hosts together, nil if it states none.
	RequestLimit *float64 `json:"t,omitempty"`
	Models       []model  `json:"m"`
	Senders      int      `json:"f"`
	// Demand is the total demand of the Senders in requests per second, 0 if one of them is unknown.
	Demand float64 `json:"e,omitempty"`
	// PriorityDemand is the total by the level of the requests' priority of those Senders that have told it.
	PriorityDemand []float64 `json:"i,omitempty"`
	Pace           float64   `json:"p,omitempty"`
	// CacheUsed and CacheTotal are the sizes of the engine's cache, 0 if unknown.
	CacheUsed  int64           `json:"c,omitempty"`
	CacheTotal int64           `json:"o,omitempty"`
	Wanted     []wantedVersion `json:"v,omitempty"`
	// StoreUnresponsiveCount is the number of Senders that the store does not answer.
	StoreUnresponsiveCount int `json:"x,omitempty"`
	// Requesters is the number of Senders that get the report, and Order rises with the agent's time; both are 0 in small fleets.
	Requesters int   `json:"h,omitempty"`
	Order      int64 `json:"j,omitempty"`
}

// hostCount is the number of entry hosts of a failure domain and the age of that count.
type hostCount struct {
	FailureDomain core.FailureDomain `json:"d"`
	Hosts         int                `json:"n"`
	AgeMS         int64              `json:"a"`
}

// wantedVersion is a version and the time since it became wanted, at most.
type wantedVersion struct {
	Model   string `json:"n"`
	Version int64  `json:"v"`
	AgeMS   int64  `json:"a"`
	// SpreadMS is, in versionTimes, the time by which the version may have become wanted later.
	SpreadMS int64 `json:"s,omitempty"`
}

// newestVersion is a model's newest wanted version.
type newestVersion struct {
	Model   string `json:"n"`
	Version int64  `json:"v"`
}

type model struct {
	Name    string `json:"n"`
	Version int64  `json:"v"`
	Layers  int    `json:"l"`
}

// recentWanted returns the versions that became wanted within wantedLifetime, as far as the time is known. Ages are rounded up and
// uncertainties with them, so that the bounds hold.
func recentWanted(now time.Time, view *fleet.View) []wantedVersion {
	if !view.Ready() {
		return nil
	}
	var list []wantedVersion
	for model, wanted := range view.Wanted {
		for _, version := range wanted {
			age := now.Sub(version.Since)
			if version.Since.IsZero() || age >= wantedLifetime {
				continue
			}
			told := wantedVersion{Model: string(model), Version: version.Version, AgeMS: max(roundUp(age), 0)}
			told.SpreadMS = told.AgeMS
			if !version.Until.IsZero() {
				told.SpreadMS -= max(now.Sub(version.Until).Milliseconds(), 0)
			}
			list = append(list, told)
		}
	}
	if len(list) > maxToldVersions {
		slices.SortFunc(list, func(a, b wantedVersion) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
		list = list[:maxToldVersions]
	}
	return list
}

// roundUp returns a time in whole milliseconds, rounded up.
func roundUp(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// newestWithoutTime returns the newest wanted versions of models as far as it is not known since when they are wanted.
func newestWithoutTime(view *fleet.View, models []core.Model) []newestVersion {
	var list []newestVersion
	for _, name := range models {
		wanted := view.Wanted[name]
		if len(wanted) > 0 && wanted[len(wanted)-1].Since.IsZero() {
			list = append(list, newestVersion{Model: string(name), Version: wanted.Newest()})
		}
	}
	return list
}

// encodeReport encodes a report, whose Demand is the total by priority, with the total demand.
func encodeReport(
	born int64, r dispatch.Report, demand float64, unresponsive int, order int64, versions []wantedVersion,
) ([]byte, error) {
	wire := &report{
		Born: born, Running: r.Running, Waiting: r.Waiting, Slots: r.Slots, Loading: r.Loading, Leaving: r.Leaving, Senders: r.Senders, Pace: r.Pace, Demand: demand,
		PriorityDemand: r.Demand, CacheUsed: max(r.CacheUsed, 0), CacheTotal: max(r.CacheTotal, 0), Wanted: versions,
		StoreUnresponsiveCount: unresponsive, Requesters: r.Requesters, Order: order,
	}
	if r.RequestLimit.Stated {
		wire.RequestLimit = &r.RequestLimit.PerSecond
	}
	for _, m := range r.Models {
		wire.Models = append(wire.Models, model{Name: string(m.Model), Version: m.Version, Layers: m.Layers})
	}
	return json.Marshal(message{Report: wire})
}

// decode returns the report for a host that has told the agent its own demand.
func (r *report) decode(ownDemand float64) dispatch.Report {
	decoded := dispatch.Report{
		Running: r.Running, Waiting: r.Waiting, Slots: r.Slots, Loading: r.Loading, Leaving: r.Leaving, Senders: r.Senders, Pace: r.Pace,
		CacheUsed: r.CacheUsed, CacheTotal: r.CacheTotal, Models: []fleet.LoadedModel{}, Demand: r.PriorityDemand,
		Requesters: r.Requesters,
	}
	if r.RequestLimit != nil {
		decoded.RequestLimit = fleet.RequestLimit{Stated: true, PerSecond: *r.RequestLimit}
	}
	if r.Demand > 0 {
		decoded.Share = min(ownDemand/r.Demand, 1)
	}
	for _, m := range r.Models {
		decoded.Models = append(decoded.Models, fleet.LoadedModel{Model: core.Model(m.Name), Version: m.Version, Layers: m.Layers})
	}
	return decoded
}

// roundDemand rounds a rate of requests per second to a tenth, which keeps messages short.
func roundDemand(perSecond float64) float64 { return math.Round(perSecond*10) / 10 }
