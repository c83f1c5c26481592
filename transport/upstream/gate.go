// Package upstream carries requests from entries to the back end beside an agent.
package upstream

import (
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// Gate is an admission gate that is safe for concurrent use.
type Gate struct {
	mu   sync.Mutex
	gate *admission.Gate
	now  func() time.Time
}

// NewGate returns a Gate that reads the time from now.
func NewGate(cfg admission.Config, now func() time.Time) *Gate {
	return &Gate{gate: admission.New(cfg), now: now}
}

// Configure replaces the limits.
func (g *Gate) Configure(cfg admission.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Configure(cfg)
}

// Observe takes a report of the back end.
func (g *Gate) Observe(report admission.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Observe(g.now(), report)
}

// Doubt returns the gate to cold until the next report.
func (g *Gate) Doubt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Doubt(g.now())
}

// SetLeaving stops all new work.
func (g *Gate) SetLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SetLeaving()
}

// SetInService starts or stops new work.
func (g *Gate) SetInService(inService bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SetInService(inService)
}

// SetLoading marks that a load order runs.
func (g *Gate) SetLoading(loading bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SetLoading(loading)
}

// Admit counts a request in, or returns the reason of its refusal.
func (g *Gate) Admit(digest core.Digest) admission.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Admit(g.now(), digest)
}

// Finish counts a request out.
func (g *Gate) Finish(completed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Finish(g.now(), completed)
}

// Snapshot returns the gate's state.
func (g *Gate) Snapshot() admission.Snapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Snapshot()
}
