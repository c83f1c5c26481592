// Package dispatch chooses the replica for a request from the load that replicas report and from the outcomes of earlier
// requests. It takes no locks and reads no clock: callers serialize access and pass in the time.
package dispatch

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Config holds the settings of a Balancer.
type Config struct {
	Region        core.Region
	FailureDomain core.FailureDomain
	Regions       map[core.FailureDomain]core.Region
	// RegionPenalty and DomainPenalty are added to the score of a replica in another region or failure domain. They are
	// shares of its slots: higher values keep more requests local before they spill over.
	RegionPenalty float64
	DomainPenalty float64
	// Jitter bounds the random part of a score. It keeps hosts that see the same reports from choosing the same replica.
	Jitter float64
	// Overcommit is the number of requests that a replica may have beyond its slots. Higher values keep its slots busy but let
	// more requests queue.
	Overcommit int
	// MovedOvercommit is added to Overcommit for a request that is moved away from another replica.
	MovedOvercommit int
	// StartOvercommit is added to Overcommit for a request that an engine with published figures is expected to start within its latency
	// objective.
	StartOvercommit int
	// LateReserve is the share of a replica's slots that a late request leaves free. Higher values answer more requests in time and
	// fewer of those that were refused before.
	LateReserve float64
	// PriorityReserve bounds the share of a replica's slots that a request leaves free for more urgent ones, ReserveTime is the time for
	// whose urgent requests it does so. It is somewhat shorter than the age of a load report: with 250 ms, 2 % fewer requests of a
	// replayed day were served in all.
	PriorityReserve float64
	ReserveTime     time.Duration
	// RankedOvercommit replaces Overcommit at engines whose demand by priority is known. They order their queue by priority, and some of
	// their slots become free while a report is on its way.
	RankedOvercommit int
	// HeadroomFactor scales this host's share of a replica's free slots between two load reports; the share is rounded up. Higher
	// values fill the slots when few hosts send at once, but let more requests queue at the replica when many do.
	HeadroomFactor float64
	// CrowdedHeadroomFactor replaces HeadroomFactor while more than MaxSendersPerSlot hosts send to a replica for each of its free
	// slots. The shares are then rounded at random, so that at 1 they add up to the free slots.
	CrowdedHeadroomFactor float64
	MaxSendersPerSlot     float64
	// RankedHeadroomFactor replaces HeadroomFactor where the demand by priority is known and RankedHeadroomShare of the slots or less
	// can still be filled. The shares are rounded at random then: requests beyond the free slots would wait at the replica, while at
	// the entry they wait in the order of their rank and may still be sent elsewhere.
	RankedHeadroomFactor float64
	RankedHeadroomShare  float64
	// MaxReportAge is the age beyond which a load report is ignored and only the requests of this host count.
	MaxReportAge time.Duration
	// SilentAfter is the time without a load report after which a model engine counts as silent. It gets no requests then, unless
	// more than MaxSilentShare of the engines of its upstream are silent, which is more likely a fault on the way to this host.
	SilentAfter    time.Duration
	MaxSilentShare float64
	// ReportLag is the assumed age of a load report on arrival. Requests sent within this time before the arrival are
	// counted on top of the reported load.
	ReportLag time.Duration
	// EjectBase is the time for which a replica is ejected after EjectAfter consecutive requests with OutcomeBroken. It
	// doubles with each further one, up to EjectCap.
	EjectBase time.Duration
	EjectCap  time.Duration
	// EjectAfter is the number of consecutive requests with OutcomeBroken after which a replica is ejected.
	EjectAfter int
	// IdleShare is the load, as a share of a replica's slots, below which the replica is expected to start a request
	// immediately. Higher values let more requests start too late on a version that is about to be outdated.
	IdleShare float64
	// ShedBackoff is the time for which a replica that refused a request as full gets no new ones.
	ShedBackoff time.Duration
	// FailureWeight is added to the score of a replica that fails every request, and in proportion to the failure rate
	// otherwise.
	FailureWeight float64
	// SlowWeight scales the penalty of a slow replica, which SlowCap bounds. It is added for each multiple of the baseline
	// latency beyond SlowThreshold or of the usual service time by which the reported pace exceeds 1, whichever gives more.
	SlowWeight    float64
	SlowThreshold float64
	SlowCap       float64
	// CurrentPaceWeight is added to the score for each multiple of the usual service time by which the stated one of this moment exceeds it.
	CurrentPaceWeight float64
	// DefaultSenders is the number of hosts assumed to send to a replica that is cold or has a request limit, while no report has given
	// the number.
	DefaultSenders int
	// ColdShare is the share of a cold replica's permitted request rate that all hosts together use.
	ColdShare float64
	// LimitShare is the share of a replica's request limit that all hosts together use. Since they take their parts at random phases, a
	// higher one lets them exceed the limit for some seconds more often.
	LimitShare float64
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		RegionPenalty:         0.9,
		DomainPenalty:         0.1,
		Jitter:                0.12,
		Overcommit:            1,
		MovedOvercommit:       2,
		StartOvercommit:       2,
		LateReserve:           0.3,
		PriorityReserve:       0.25,
		ReserveTime:           150 * time.Millisecond,
		HeadroomFactor:        0.7,
		CrowdedHeadroomFactor: 1.2,
		MaxSendersPerSlot:     5,
		RankedOvercommit:      3,
		RankedHeadroomFactor:  1.4,
		RankedHeadroomShare:   0.75,
		MaxReportAge:          1500 * time.Millisecond,
		SilentAfter:           time.Second,
		MaxSilentShare:        0.5,
		ReportLag:             250 * time.Millisecond,
		EjectBase:             800 * time.Millisecond,
		EjectCap:              6 * time.Second,
		EjectAfter:            2,
		IdleShare:             0.3,
		ShedBackoff:           80 * time.Millisecond,
		FailureWeight:         1.5,
		SlowWeight:            0.25,
		SlowThreshold:         1.8,
		SlowCap:               1.5,
		CurrentPaceWeight:     0.5,
		DefaultSenders:        24,
		ColdShare:             0.8,
		LimitShare:            0.8,
	}
}

// Request holds the properties of a request that determine which replicas may serve it.
type Request struct {
	Upstream core.Upstream
	// Model is empty for a request that needs no model.
	Model core.Model
	// Layers is the number of layers of a completely loaded model.
	Layers int
	// MinVersion is the oldest model version that may serve the request; 0 means any.
	MinVersion int64
	// NextMinVersion is the version that becomes the minimum shortly. A replica with an older version gets the request
	// only if it is expected to start it immediately.
	NextMinVersion int64
	// RouteRegions and TeamRegions list the regions that may serve the request; an empty list allows all. A replica must
	// satisfy both.
	RouteRegions []core.Region
	TeamRegions  []core.Region
	// Moved is true for a request that a replica has had already. It may exceed the capacity of a replica by MovedOvercommit, since
	// the work on it would be lost.
	Moved bool
	// Late is true for a request that can't be answered within its latency objective any more. It leaves LateReserve of the slots of
	// a replica to others: under overload as many requests are served either way, but more of them in time.
	Late bool
	// Guaranteed is true for a request of a priority of which fewer requests are started than its minimum share. It leaves no slots to
	// more urgent ones.
	Guaranteed bool
	// Once is true for a request to a service that must not run twice.
	Once bool
	// ObjectiveLeft and DeadlineLeft are the times until the request misses its latency objective and until its deadline; 0 means
	// unknown, or for the objective that it is missed already.
	ObjectiveLeft time.Duration
	DeadlineLeft  time.Duration
	// Exclude lists the replicas that earlier attempts were sent to.
	Exclude []fleet.ReplicaID
	// Only, if set, is the only replica that may serve the request.
	Only fleet.ReplicaID
	// inside excludes the replicas of Balancer.SetOutside.
	inside bool
	// Priority is the urgency of the request; 0 is the most urgent.
	Priority int
	// PromptTokens and OutputTokens are the sizes of a generation request, 0 if unknown. OutputTokens is an estimate.
	PromptTokens int
	OutputTokens int
}

// Verdict is the result of Pick.
type Verdict string

// Verdicts.
const (
	// VerdictChosen means that a replica was chosen.
	VerdictChosen Verdict = "chosen"
	// VerdictFull means that some replicas are eligible but none has capacity now.
	VerdictFull Verdict = "full"
	// VerdictHeldOff means that all eligible replicas have asked to get no requests for a while.
	VerdictHeldOff Verdict = "held_off"
	// VerdictLimited means that this host has used its part of the request limits of the eligible replicas.
	VerdictLimited Verdict = "limited"
	// VerdictNoCandidate means that no replica is eligible.
	VerdictNoCandidate Verdict = "none"
)

// Choice is a chosen replica.
type Choice struct {
	ID      fleet.ReplicaID
	Address string
	// Version is the loaded version of the request's model, as last reported.
	Version int64
	// Load is the estimated number of requests at the replica, for logs.
	Load int
	// HeldUntil is set only with VerdictHeldOff and VerdictLimited: the soonest time at which a replica takes a request of this host.
	HeldUntil time.Time
	// sendBefore is the time before which the request must be sent if the replica takes only a limited rate.
	sendBefore time.Time
	// modelled and forecast are the expected times to the first event before and after the correction, 0 without a model.
	modelled, forecast time.Duration
	// born distinguishes successive processes of a replica with the same ID.
	born int64
}

// Born returns the start of the replica's process in Unix milliseconds, 0 if it is not known.
func (c Choice) Born() int64 { return c.born }

// Outcome is how a request at a replica ended.
type Outcome string

// Outcomes.
const (
	OutcomeServed Outcome = "served"
	// OutcomeFailed means that the replica responded with an error of its own.
	OutcomeFailed Outcome = "failed"
	// OutcomeBroken means that the connection could not be opened, was cut, or was silent for too long.
	OutcomeBroken Outcome = "broken"
	// OutcomeShed means that the replica refused the request because it is full.
	OutcomeShed Outcome = "shed"
	// OutcomeMoved means that a different replica responded at the address.
	OutcomeMoved Outcome = "moved"
	// OutcomeAbandoned means that the caller disconnected or the deadline passed.
	OutcomeAbandoned Outcome = "abandoned"
)

// Report is the load that a replica reports.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Loading is true while the replica loads weights or is about to, and accepts no new requests.
	Loading bool
	// Leaving is true if the replica said that it is about to leave and wants no new requests.
	Leaving bool
	// Models lists the loaded versions; nil means that the report does not contain them.
	Models []fleet.LoadedModel
	// Senders is the number of hosts that send to the replica; 0 means unknown.
	Senders int
	// Requesters is the number of hosts that get the replica's reports; 0 means that all Senders do. The others send to it only if
	// the replicas that they get reports from are full.
	Requesters int
	// Share is this host's share of the requests that all hosts have for the replica's upstream; 0 means unknown.
	Share float64
	// Demand is the rate of requests per second that all hosts have for the replica's upstream, by the level of their priority; nil
	// means unknown.
	Demand []float64
	// Pace is the current service time as a multiple of the usual one; 0 means unknown.
	Pace float64
	// CurrentPace is the service time of this moment as a multiple of the usual one, as a response states it; 0 means unknown.
	CurrentPace float64
	// CacheUsed and CacheTotal are the sizes of an engine's cache in a unit of its own; 0 means unknown.
	CacheUsed, CacheTotal int64
	// RequestLimit is the request rate that the replica takes from all hosts together.
	RequestLimit fleet.RequestLimit
}

// share returns this host's share of the replica's capacity: in proportion to its demand, or the same as that of every other host
// if the demand is unknown.
func (r *Report) share() float64 {
	if r.Share > 0 {
		return r.Share
	}
	return 1 / float64(max(r.Senders, 1))
}

// requesters returns the number of hosts that get the replica's reports.
func (r *Report) requesters() int {
	if r.Requesters > 0 {
		return r.Requesters
	}
	return r.Senders
}

// reportedShare is share among the hosts that get the replica's reports.
func (r *Report) reportedShare() float64 {
	if r.requesters() == r.Senders {
		return r.share()
	}
	return min(r.share()*float64(max(r.Senders, 1))/float64(max(r.requesters(), 1)), 1)
}
