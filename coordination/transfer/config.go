// Package transfer plans which chunks of a model version a host fetches, when and from where.
//
// A Planner serves one host and one version. The caller passes it the host list, the chunks that peers hold and the outcome
// of each fetch, and executes the actions that it returns.
package transfer

import (
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// Strategy selects how weights are fetched.
type Strategy string

// Supported strategies.
const (
	// StrategySwarm fetches each chunk from the origin about once and distributes it between peers.
	StrategySwarm Strategy = "swarm"
	// StrategyDirect fetches every chunk from the origin.
	StrategyDirect Strategy = "direct"
)

// Config holds the settings of a Planner.
type Config struct {
	config.Transfer
	Strategy Strategy
	// OriginRegion is the region nearest to the origin; its hosts come first for fetches from the origin.
	OriginRegion core.Region
	// OriginReaders is the number of hosts of OriginRegion that fetch chunks from the origin before all others; 0 means all. Fewer of them
	// share its link, so that the first chunks arrive earlier.
	OriginReaders int
	// GainPolls is the number of peers in its region that a host polls at once when it has gained a chunk. Where polls carry the bitmap
	// of the host that sends them, chunks spread without waiting for the next poll.
	GainPolls int
}

// Target is the version that a Planner fetches.
type Target struct {
	Digest core.Digest
	// Chunks is the number of chunks of the version.
	Chunks int
}

// Source identifies where a chunk is fetched from.
type Source struct {
	// Peer is the host to fetch from; empty means the origin.
	Peer core.HostID
}

// IsOrigin reports whether the source is the origin.
func (s Source) IsOrigin() bool { return s.Peer == "" }

// Fetch is an instruction to fetch a chunk.
type Fetch struct {
	Index  int
	Source Source
	// CrossRegion is set when the source is a peer in another region.
	CrossRegion bool
}

// Actions lists what the caller of a Planner must start next.
type Actions struct {
	Fetches []Fetch
	// Polls lists the peers to ask which chunks they hold.
	Polls []core.Host
}

// Outcome is the result of a fetch.
type Outcome string

// Outcomes of a fetch.
const (
	// OutcomeHeld means that the chunk was received, verified and stored.
	OutcomeHeld Outcome = "held"
	// OutcomeCorrupt means that the chunk did not match its hash.
	OutcomeCorrupt Outcome = "bad"
	// OutcomeFailed means that the source stalled, closed the connection or was unreachable.
	OutcomeFailed Outcome = "failed"
	// OutcomeBusy means that the source has no slot or bandwidth now.
	OutcomeBusy Outcome = "busy"
	// OutcomeMissing means that the peer does not hold the chunk.
	OutcomeMissing Outcome = "missing"
)

// Result reports the end of a fetch.
type Result struct {
	Fetch   Fetch
	Outcome Outcome
	// RetryAfter is the delay that a busy source requested.
	RetryAfter time.Duration
}

// sortBy sorts items in the order given by less.
func sortBy[T any](items []T, less func(a, b T) bool) {
	slices.SortFunc(items, func(a, b T) int { return compareBy(a, b, less) })
}

// compareBy converts less to a three-way comparison of a and b.
func compareBy[T any](a, b T, less func(a, b T) bool) int {
	switch {
	case less(a, b):
		return -1
	case less(b, a):
		return 1
	default:
		return 0
	}
}
