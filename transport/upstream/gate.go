// Package upstream forwards requests from entries to the back end that runs on the same host as the agent.
package upstream

import (
	"sync"
	"time"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol/wire"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// Gate is an admission gate that is safe for concurrent use.
type Gate struct {
	mu   sync.Mutex
	gate *admission.Gate
	now  func() time.Time
	// identity orders opened connections and status reads; it has its own synchronization.
	identity identitySequence
	// idle is closed while no request is in flight.
	idle   chan struct{}
	isIdle bool

	announcement announcement
}

// NewGate returns a Gate that reads the time from now.
func NewGate(cfg admission.Config, now func() time.Time) *Gate {
	idle := make(chan struct{})
	close(idle)
	return &Gate{gate: admission.New(cfg), now: now, idle: idle, isIdle: true, announcement: newAnnouncement()}
}

// Configure replaces the limits.
func (g *Gate) Configure(cfg admission.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Configure(cfg)
}

// Observe applies a status report of the back end.
func (g *Gate) Observe(report admission.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Observe(g.now(), report)
}

// InvalidateReport returns the gate to cold and admits nothing until the next report.
func (g *Gate) InvalidateReport() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.InvalidateReport(g.now())
}

// SetInService starts or stops the admission of requests.
func (g *Gate) SetInService(inService bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SetInService(inService)
}

// SetLoading sets whether the back end is loading a model version; meanwhile no request is admitted.
func (g *Gate) SetLoading(loading bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SetLoading(loading)
}

// Admit reserves a slot for a request, or returns the reason of its refusal.
func (g *Gate) Admit(request admission.Request) (admission.Ticket, admission.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, reason := g.gate.Admit(g.now(), request)
	g.updateIdle()
	return ticket, reason
}

// Confirm checks an admission right before the first byte of the request is sent.
func (g *Gate) Confirm(ticket admission.Ticket) (admission.Ticket, admission.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	confirmed, reason := g.gate.Confirm(g.now(), ticket)
	g.updateIdle()
	return confirmed, reason
}

// Finish releases the slot of a request.
func (g *Gate) Finish(ticket admission.Ticket, outcome admission.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Finish(g.now(), ticket, outcome)
	g.updateIdle()
}

// Offer grants entry a share of the free slots.
func (g *Gate) Offer(entry core.HostID) *wire.Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	grant := g.gate.Offer(now, entry)
	return &wire.Grant{Slots: uint32(grant.Slots), TtlMillis: uint32(grant.Expires.Sub(now).Milliseconds())}
}

// GrantWithState grants entry a share of the free slots and adds the admission state, for the last frame of a response.
func (g *Gate) GrantWithState(entry core.HostID) *wire.Grant {
	grant := g.Offer(entry)
	state := g.Snapshot()
	grant.Limit = uint32(state.Limit)
	grant.InFlight = uint32(state.InFlight)
	grant.State = stateToWire[state.State]
	return grant
}

// Entries returns the entries that recently asked for an offer.
func (g *Gate) Entries() []core.HostID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Entries(g.now())
}

// Idle returns a channel that is closed once no request is in flight.
func (g *Gate) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}

// Snapshot returns the gate's state.
func (g *Gate) Snapshot() admission.Snapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Snapshot(g.now())
}

// updateIdle replaces the idle channel when the first request is admitted and closes it when the last one ends.
func (g *Gate) updateIdle() {
	busy := g.gate.Snapshot(g.now()).InFlight > 0
	switch {
	case busy && g.isIdle:
		g.idle = make(chan struct{})
	case !busy && !g.isIdle:
		close(g.idle)
	}
	g.isIdle = !busy
}
