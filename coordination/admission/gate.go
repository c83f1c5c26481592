// Package admission decides which requests an agent lets through to its back end.
package admission

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Config bounds the requests in flight.
type Config struct {
	ColdLimit         int
	WarmLimit         int
	WarmupCompletions int
}

// Report is what the back end last said about itself.
type Report struct {
	BootID   string
	Digest   core.Digest
	Complete bool
}

// Reason says why a request was refused.
type Reason string

// Reasons of a refusal; all of them mean that the request was not run.
const (
	ReasonNone         Reason = ""
	ReasonFull         Reason = "full"
	ReasonVersion      Reason = "version"
	ReasonLeaving      Reason = "leaving"
	ReasonOutOfService Reason = "out_of_service"
	ReasonUnidentified Reason = "unidentified"
	ReasonLoading      Reason = "loading"
)

// Snapshot is the gate's state for status reports and dumps.
type Snapshot struct {
	State     core.UpstreamState `json:"state"`
	InFlight  int                `json:"in_flight"`
	Limit     int                `json:"limit"`
	BootID    string             `json:"boot_id"`
	Digest    core.Digest        `json:"digest"`
	Complete  bool               `json:"complete"`
	Completed int                `json:"completed"`
	Leaving   bool               `json:"leaving"`
	InService bool               `json:"in_service"`
	Loading   bool               `json:"loading"`
}

// Gate counts the requests in flight to one back end and refuses the excess.
//
// Gate is not safe for concurrent use; the owner serialises calls.
type Gate struct {
	cfg        Config
	report     Report
	identified bool
	completed  int
	inFlight   int
	leaving    bool
	inService  bool
	loading    bool
}

// New returns a cold gate that admits nothing before the first report.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, inService: true}
}

// Configure replaces the limits.
func (g *Gate) Configure(cfg Config) { g.cfg = cfg }

// Observe takes a report; a new boot ID returns the gate to cold.
func (g *Gate) Observe(_ time.Time, report Report) {
	if !g.identified || report.BootID != g.report.BootID || report.Digest != g.report.Digest {
		g.completed = 0
	}
	g.report = report
	g.identified = true
}

// Doubt returns the gate to cold and admits nothing until the next report.
func (g *Gate) Doubt(_ time.Time) {
	g.identified = false
	g.completed = 0
}

// SetLeaving stops all new work for good.
func (g *Gate) SetLeaving() { g.leaving = true }

// SetInService starts or stops new work; a return to service starts cold.
func (g *Gate) SetInService(inService bool) {
	if inService && !g.inService {
		g.completed = 0
	}
	g.inService = inService
}

// SetLoading marks that a load order runs.
func (g *Gate) SetLoading(loading bool) {
	g.loading = loading
	g.completed = 0
}

// Admit counts a request in, or returns the reason of its refusal.
func (g *Gate) Admit(_ time.Time, digest core.Digest) Reason {
	switch {
	case g.leaving:
		return ReasonLeaving
	case !g.inService:
		return ReasonOutOfService
	case g.loading:
		return ReasonLoading
	case !g.identified:
		return ReasonUnidentified
	case digest != "" && (!g.report.Complete || digest != g.report.Digest):
		return ReasonVersion
	case g.inFlight >= g.limit():
		return ReasonFull
	}
	g.inFlight++
	return ReasonNone
}

// Finish counts a request out; completed says that the back end answered it.
func (g *Gate) Finish(_ time.Time, completed bool) {
	g.inFlight--
	if completed {
		g.completed++
	}
}

// Snapshot returns the gate's state.
func (g *Gate) Snapshot() Snapshot {
	return Snapshot{
		State:     g.state(),
		InFlight:  g.inFlight,
		Limit:     g.limit(),
		BootID:    g.report.BootID,
		Digest:    g.report.Digest,
		Complete:  g.report.Complete,
		Completed: g.completed,
		Leaving:   g.leaving,
		InService: g.inService,
		Loading:   g.loading,
	}
}

func (g *Gate) state() core.UpstreamState {
	switch {
	case g.completed >= g.cfg.WarmupCompletions && g.identified:
		return core.UpstreamWarm
	case g.completed > 0:
		return core.UpstreamWarming
	default:
		return core.UpstreamCold
	}
}

func (g *Gate) limit() int {
	if g.cfg.WarmupCompletions <= 0 || g.completed >= g.cfg.WarmupCompletions {
		return g.cfg.WarmLimit
	}
	span := g.cfg.WarmLimit - g.cfg.ColdLimit
	return g.cfg.ColdLimit + span*g.completed/g.cfg.WarmupCompletions
}
