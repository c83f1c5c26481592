// Package dispatch chooses the replica that a request goes to, from what the replicas reported and how earlier requests
// ended. It holds no lock and reads no clock: its owner passes the time in.
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
	// RegionPenalty and DomainPenalty are the load, as a share of a replica's slots, that a replica in another region or
	// failure domain must be below a near one to be chosen.
	RegionPenalty float64
	DomainPenalty float64
	// Jitter bounds the random part of a score, which keeps hosts with the same reports from choosing alike.
	Jitter float64
	// Overcommit is the number of requests beyond its slots that a replica is sent.
	Overcommit int
	// HeadroomFactor is the number of times that the free room of a replica is shared out to the hosts that send to it, within the
	// time that a report takes. It is above 1 because not all of them send at once.
	HeadroomFactor float64
	// MaxReportAge is the time for which a load report is used.
	MaxReportAge time.Duration
	// ReportLag is the age that a load report has when it arrives.
	ReportLag time.Duration
	// EjectBase and EjectCap bound the time for which a replica is left out after failures in a row.
	EjectBase time.Duration
	EjectCap  time.Duration
	// EjectAfter is the number of failures in a row after which a replica is left out.
	EjectAfter int
	// IdleShare is the share of a replica's slots below which a request begins at once.
	IdleShare float64
	// ShedBackoff is the time for which a replica that refused work as full is left out.
	ShedBackoff time.Duration
	// FailureWeight is the load that a replica which fails every request seems to have on top.
	FailureWeight float64
	// SlowWeight is the load on top per multiple of the usual latency above SlowFrom, at most SlowCap.
	SlowWeight    float64
	SlowThreshold float64
	SlowCap       float64
	// DefaultSenders is the number of hosts that are taken to send to a cold replica while the true number is not known.
	DefaultSenders int
	// ColdShare is the share of a cold replica's rate that is used.
	ColdShare float64
	// ColdBurst bounds the requests sent to a cold replica at once.
	ColdBurst float64
}

// DefaultConfig returns the settings used unless others are given.
func DefaultConfig() Config {
	return Config{
		RegionPenalty:  0.9,
		DomainPenalty:  0.1,
		Jitter:         0.12,
		Overcommit:     1,
		HeadroomFactor: 0.7,
		MaxReportAge:   1500 * time.Millisecond,
		ReportLag:      250 * time.Millisecond,
		EjectBase:      800 * time.Millisecond,
		EjectCap:       6 * time.Second,
		EjectAfter:     2,
		IdleShare:      0.3,
		ShedBackoff:    80 * time.Millisecond,
		FailureWeight:  1.5,
		SlowWeight:     0.25,
		SlowThreshold:  1.8,
		SlowCap:        1.5,
		DefaultSenders: 24,
		ColdShare:      0.9,
		ColdBurst:      1,
	}
}

// Request is what the choice of a replica needs to know about a request.
type Request struct {
	Upstream core.Upstream
	// Model is empty for a request that needs none.
	Model core.Model
	// Layers is the number of layers that a whole model has.
	Layers int
	// MinVersion is the oldest version that may answer; 0 means any.
	MinVersion int64
	// NextMinVersion is the version that will be the oldest allowed before long; a replica with an older one gets the request
	// only if it begins on it at once.
	NextMinVersion int64
	// RouteRegions and AlsoRegions list the regions that may serve the request; an empty list allows all. Both bind.
	RouteRegions []core.Region
	TeamRegions  []core.Region
	// Exclude lists replicas already tried.
	Exclude []fleet.ReplicaID
}

// Verdict says why a choice ended as it did.
type Verdict string

// Verdicts.
const (
	// VerdictChosen means that a replica was chosen.
	VerdictChosen Verdict = "chosen"
	// VerdictFull means that replicas could serve the request but have no room now.
	VerdictFull Verdict = "full"
	// VerdictNoCandidate means that no replica could serve the request.
	VerdictNoCandidate Verdict = "none"
)

// Choice is a chosen replica.
type Choice struct {
	ID      fleet.ReplicaID
	Address string
	// Version is the version of the request's model that the replica is known to have.
	Version int64
	// Load is the number of requests that the replica was taken to have, for logs.
	Load int
	// run tells apart two runs of a replica under one ID.
	run int64
}

// Outcome is how a request at a replica ended.
type Outcome string

// Outcomes.
const (
	OutcomeServed Outcome = "served"
	// OutcomeFailed means that the replica answered with a failure of its own.
	OutcomeFailed Outcome = "failed"
	// OutcomeBroken means that the replica did not connect, broke off, or stayed silent too long.
	OutcomeBroken Outcome = "broken"
	// OutcomeShed means that the replica refused the request as full.
	OutcomeShed Outcome = "shed"
	// OutcomeMoved means that another replica answers at the address.
	OutcomeMoved Outcome = "moved"
	// OutcomeAbandoned means that the caller or its deadline ended the request.
	OutcomeAbandoned Outcome = "abandoned"
)

// Report is what a replica says about its load.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Loading says that the replica is about to load weights or does so, and takes no new work.
	Loading bool
	// Models lists the versions loaded; nil means that the report does not say.
	Models []fleet.LoadedModel
	// Senders is the number of hosts that send to the replica; 0 means not known.
	Senders int
	// Pace is how many times slower than usual the replica works; 0 means not known.
	Pace float64
}
