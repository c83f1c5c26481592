// Package transfer plans which chunks of a model version a host fetches, when and from where.
//
// A Planner makes the plan of one host for one version. Its owner tells it the host list, the
// chunks that peers hold and the outcome of each fetch, and carries out the actions it returns.
package transfer

import (
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/state/config"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// Strategy selects how weights are fetched.
type Strategy string

// Strategies.
const (
	// StrategySwarm fetches each chunk from the origin about once and spreads it between peers.
	StrategySwarm Strategy = "swarm"
	// StrategyDirect fetches every chunk from the origin.
	StrategyDirect Strategy = "direct"
)

// Config holds the settings of a Planner.
type Config struct {
	config.Transfer
	Strategy Strategy
	// OriginRegion names the region nearest to the origin.
	OriginRegion core.Region
}

// Target is the version that a Planner fetches.
type Target struct {
	Digest core.Digest
	// Chunks is the number of chunks of the version.
	Chunks int
}

// Source is where a chunk comes from.
type Source struct {
	// Peer is the host that the chunk comes from; empty means the origin.
	Peer core.HostID
}

// IsOrigin reports whether the source is the origin.
func (s Source) IsOrigin() bool { return s.Peer == "" }

// Fetch is the action to fetch a chunk.
type Fetch struct {
	Index  int
	Source Source
	// CrossRegion says that the chunk crosses a link between regions.
	CrossRegion bool
}

// Actions are what the owner of a Planner does next.
type Actions struct {
	Fetches []Fetch
	// Polls lists the peers to ask for the chunks they hold.
	Polls []core.Host
}

// Outcome says how a fetch or a poll ended.
type Outcome string

// Outcomes.
const (
	// OutcomeHeld means that the chunk was received, verified and stored.
	OutcomeHeld Outcome = "held"
	// OutcomeCorrupt means that the chunk did not match its hash.
	OutcomeCorrupt Outcome = "bad"
	// OutcomeFailed means that the source stalled, broke off or was not reachable.
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
	// RetryAfter is the time that a busy source asked for.
	RetryAfter time.Duration
}

// sortBy sorts items by less.
func sortBy[T any](items []T, less func(a, b T) bool) {
	slices.SortFunc(items, func(a, b T) int { return compareBy(a, b, less) })
}

// compareBy compares two items by less.
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
