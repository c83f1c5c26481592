package admission

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Snapshot is the gate's state for status reports and dumps.
type Snapshot struct {
	State core.UpstreamState `json:"state"`
	// InFlight counts all requests in flight, including those admitted for an earlier boot.
	InFlight int `json:"in_flight"`
	// Limit is the number of requests in flight that the gate allows now; it is 0 while the gate refuses all requests.
	Limit     int         `json:"limit"`
	BootID    string      `json:"boot_id"`
	Digest    core.Digest `json:"digest"`
	Complete  bool        `json:"complete"`
	Completed int         `json:"completed"`
	Epoch     uint64      `json:"epoch"`
	// Closed is the reason why the gate refuses every request; it is empty if there is none.
	Closed    Reason `json:"closed,omitempty"`
	Leaving   bool   `json:"leaving"`
	InService bool   `json:"in_service"`
	Loading   bool   `json:"loading"`
}

// Snapshot returns the gate's state.
func (g *Gate) Snapshot(now time.Time) Snapshot {
	g.expireReport(now)
	return Snapshot{
		State:     g.state(),
		InFlight:  g.totalInFlight,
		Limit:     g.currentLimit(),
		BootID:    g.report.BootID,
		Digest:    g.report.Digest,
		Complete:  g.report.Complete,
		Completed: g.completed,
		Epoch:     g.epoch,
		Closed:    g.closedReason(),
		Leaving:   g.leaving,
		InService: g.inService,
		Loading:   g.loading,
	}
}

func (g *Gate) state() core.UpstreamState {
	switch {
	case !g.identified || !g.cfg.configured():
		return core.UpstreamCold
	case g.completed >= g.cfg.WarmupCompletions:
		return core.UpstreamWarm
	case g.completed > 0:
		return core.UpstreamWarming
	default:
		return core.UpstreamCold
	}
}

// limit returns the allowed number of requests in flight, which rises with the number of completed requests.
func (g *Gate) limit() int {
	if g.completed >= g.cfg.WarmupCompletions {
		return g.cfg.WarmLimit
	}
	span := g.cfg.WarmLimit - g.cfg.ColdLimit
	return g.cfg.ColdLimit + span*g.completed/g.cfg.WarmupCompletions
}

func (g *Gate) currentLimit() int {
	if g.closedReason() != ReasonNone {
		return 0
	}
	return g.limit()
}
