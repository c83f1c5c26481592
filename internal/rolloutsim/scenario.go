package rolloutsim

import (
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/coordination/transfer"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Deployment is a set of hosts in three regions, with an origin in the first.
type Deployment struct {
	Hosts                int
	Pieces, PieceBytes   int
	HostBytesPerSecond   float64
	OriginBytesPerSecond float64
	RegionBytesPerSecond float64
	// RegionDelay is the one-way delay between regions.
	RegionDelay time.Duration
	// OriginConnections bounds the concurrent requests to the origin; further ones are refused.
	OriginConnections int
	// ActivationTimeout is the time until a wanted version must serve all requests.
	ActivationTimeout time.Duration
	// Demand is the share of the replicas that the load occupies.
	Demand float64
}

const megabit = 1e6 / 8

// Brittany returns the larger customer's deployment, and Oberland the other's, both after the scale-out.
func Brittany() Deployment {
	return Deployment{
		Hosts: 58, Pieces: 48, PieceBytes: 49152, HostBytesPerSecond: 9.4 * megabit, OriginBytesPerSecond: 15 * megabit,
		RegionBytesPerSecond: 28 * megabit, RegionDelay: time.Millisecond, OriginConnections: 48,
		ActivationTimeout: 8 * time.Second, Demand: 0.5,
	}
}

// Oberland returns the deployment with the slower links.
func Oberland() Deployment {
	return Deployment{
		Hosts: 58, Pieces: 96, PieceBytes: 24576, HostBytesPerSecond: 7.3 * megabit, OriginBytesPerSecond: 7.3 * megabit,
		RegionBytesPerSecond: 23 * megabit, RegionDelay: 3600 * time.Microsecond, OriginConnections: 48,
		ActivationTimeout: 10 * time.Second, Demand: 0.5,
	}
}

// Links returns the links as hosts know them.
func (d Deployment) Links() rollout.Links {
	return rollout.Links{
		Pieces: d.Pieces, PieceBytes: d.PieceBytes, OriginBytesPerSecond: d.OriginBytesPerSecond, HostBytesPerSecond: d.HostBytesPerSecond,
	}
}

// LinkBound returns the time in which the slower of the links of the origin and of a host carries one version.
func (d Deployment) LinkBound() time.Duration { return d.Links().FetchTime(0) }

// Window is a time from From to To.
type Window struct{ From, To time.Duration }

func (w Window) contains(at time.Duration) bool { return at >= w.From && at < w.To }

// Scenario is what happens during a run. The version loaded at the start is 1; the wanted ones are 2 and up.
type Scenario struct {
	// WantedAt holds the times at which versions become wanted.
	WantedAt []time.Duration
	// OriginAway is the outage of the origin, RegionCut the time for which the last region has no connection to the others.
	OriginAway Window
	RegionCut  Window
	// Restarts holds the time at which an agent restarts and loses the pieces in its memory, by host.
	Restarts map[int]time.Duration
	// NewsDelay returns the delay with which a host learns that a version is wanted; nil means none.
	NewsDelay func(host int) time.Duration
	Until     time.Duration
	Seed      uint64
}

// Policy holds the decisions that a run compares.
type Policy struct {
	Transfer transfer.Config
	Rollout  rollout.Config
	// Next and EarliestLoad are the decisions of package rollout, or earlier ones.
	Next         func(cfg rollout.Config, now time.Time, wanted fleet.Wanted, progress rollout.Progress) rollout.Choice
	EarliestLoad func(EarliestLoadInput) time.Time
	// UploadShare is the share of a host's link that uploads may use; CrossRegionSlots are upload slots for other regions.
	UploadShare      float64
	CrossRegionSlots int
	// KeepVersions is the number of versions whose pieces are kept.
	KeepVersions int
	// ManifestsFromPeers is unset if each host reads manifests from the origin.
	ManifestsFromPeers bool
	// ThrottlePoll is the time between two checks for a free download slot; 0 means that a free slot is used at once.
	ThrottlePoll time.Duration
	// ThrottleOrigin is set if slow fetches from the origin reduce the number of concurrent fetches.
	ThrottleOrigin bool
	// ExchangeHeld is set if piece requests tell the peer what the requesting host holds.
	ExchangeHeld bool
	// BusyRetryAfter is set if a peer without a slot states when one is expected to be free.
	BusyRetryAfter bool
	// LoadPause is the pause between the end of a fetch and the next step of an agent.
	LoadPause time.Duration
	// RetryPause is the pause after a failed read of the manifest; used unless ManifestsFromPeers is set.
	RetryPause time.Duration
}

// EarliestLoadInput is the input of a decision about the earliest load.
type EarliestLoadInput struct {
	Config  rollout.Config
	Wanted  fleet.Wanted
	Loaded  int64
	Version int64
	// ReadyAt is the time from which the host would load the version.
	ReadyAt time.Time
	Members []fleet.Member
	Address string
}

// Result is the outcome of a run.
type Result struct {
	// HeldAt holds the times at which all hosts held all pieces of a version, by version; FirstHeldAt those of the first host.
	HeldAt, FirstHeldAt map[int64]time.Duration
	// LoadedAt holds the time of the last load of a version.
	LoadedAt map[int64]time.Duration
	// Shortage is the time during which fewer replicas were allowed to serve than the demand needs; LastShortage is its end.
	Shortage     time.Duration
	LastShortage time.Duration
	// Lowest is the lowest share of replicas that were allowed to serve.
	Lowest float64
	// OriginCopies is the number of copies of a version that the origin has sent.
	OriginCopies float64
	// OriginRefusals counts requests above the connection limit, Busy the refusals of peers without an upload slot.
	OriginRefusals, Busy int
	// Polls counts requests for what a peer holds, CrossPolls those of them to other regions.
	Polls, CrossPolls int
	// FirstRequestAfterOutage is the time from the return of the origin to the first request that reached it.
	FirstRequestAfterOutage time.Duration
	// PeakRequestsAfterOutage is the largest number of requests that reached the origin within 50 ms in the 1 s after its return.
	PeakRequestsAfterOutage int
	// Orders counts load orders; LateOrders those for versions that were staged before their bound but ordered after it.
	Orders, LateOrders int
	// Serving holds the share of replicas allowed to serve every 100 ms.
	Serving []float64
}
