// Package admission decides which requests an agent lets through to its back end.
//
// The package is a state machine without I/O: each call takes the current time and returns a decision.
package admission

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Config bounds the requests in flight. The zero Config admits nothing.
type Config struct {
	// The limit of requests in flight rises linearly from ColdLimit to WarmLimit over the first WarmupCompletions completed
	// requests after the back end became cold.
	ColdLimit         int
	WarmLimit         int
	WarmupCompletions int
	// Versioned is true if every request must name the model version that serves it, and false for plain services.
	Versioned bool
	// MaxReportAge is the age beyond which the last report no longer identifies the back end; 0 means no bound. Lower
	// values detect a silent restart earlier, but refuse requests after fewer missed reads.
	MaxReportAge time.Duration
}

// configured reports whether the limits are known.
func (c Config) configured() bool { return c.WarmLimit > 0 }

// Report is a status report of the back end.
type Report struct {
	BootID   string
	Digest   core.Digest
	Complete bool
	// ReadAt is the time at which reading this report started.
	ReadAt time.Time
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	// Digest is the model version that must serve the request; it is empty for plain services.
	Digest core.Digest
	// Entry is the entry that sent the request; it is empty if unknown.
	Entry core.HostID
}

// Ticket identifies an admitted request. The caller passes it to Finish when the request ends.
type Ticket struct {
	request Request
	bootID  string
	epoch   uint64
}

// Outcome is the way in which an admitted request ended.
type Outcome int

const (
	// OutcomeNeutral means that the request was canceled, refused or timed out, which tells nothing about the back end.
	OutcomeNeutral Outcome = iota
	// OutcomeCompleted means that the back end sent a complete response.
	OutcomeCompleted
	// OutcomeBroken means that the connection was refused, reset or cut.
	OutcomeBroken
)

// Gate counts the requests in flight to one back end and refuses those beyond its limit.
//
// Gate is not safe for concurrent use; its owner serializes the calls.
type Gate struct {
	cfg        Config
	report     Report
	identified bool
	// epoch counts the resets to the cold state.
	epoch uint64
	// completed counts the completed requests that were admitted in this epoch.
	completed int
	// inFlight counts requests by the boot ID for which they were admitted, because a restarted back end has none.
	inFlight      map[string]int
	totalInFlight int
	leaving       bool
	inService     bool
	loading       bool
	offers        *Offers
}

// New returns a cold gate that admits no requests before the first report.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, inService: true, inFlight: make(map[string]int), offers: NewOffers()}
}

// Configure replaces the limits.
func (g *Gate) Configure(cfg Config) { g.cfg = cfg }

// Observe stores a report. A new boot ID or version resets the gate to cold.
func (g *Gate) Observe(now time.Time, report Report) {
	g.expireReport(now)
	if !g.identified || report.BootID != g.report.BootID || report.Digest != g.report.Digest {
		g.resetToCold()
	}
	g.report = report
	g.identified = true
	g.expireReport(now)
}

// InvalidateReport resets the gate to cold and refuses all requests until the next report.
func (g *Gate) InvalidateReport(time.Time) {
	g.identified = false
	g.resetToCold()
}

// SetLeaving makes the gate refuse all new requests permanently.
func (g *Gate) SetLeaving() { g.leaving = true }

// SetInService sets whether the gate admits requests. A change resets the gate to cold.
func (g *Gate) SetInService(inService bool) {
	if inService != g.inService {
		g.resetToCold()
	}
	g.inService = inService
}

// SetLoading sets whether the back end is loading weights, during which the gate refuses all requests. Each call resets
// the gate to cold.
func (g *Gate) SetLoading(loading bool) {
	g.loading = loading
	g.resetToCold()
}

// Admit counts a request as in flight, or returns the reason why it is refused.
func (g *Gate) Admit(now time.Time, request Request) (Ticket, Reason) {
	g.expireReport(now)
	if reason := g.refusalReason(request); reason != ReasonNone {
		return Ticket{}, reason
	}
	boot := g.report.BootID
	g.inFlight[boot]++
	g.totalInFlight++
	g.offers.ConsumeSlot(now, request.Entry)
	return Ticket{request: request, bootID: boot, epoch: g.epoch}, ReasonNone
}

// Confirm checks an admission again immediately before the first byte of the request is sent.
//
// If the gate was reset to cold since the ticket was issued, the request is admitted anew or refused. After a refusal the
// ticket must not be used again.
func (g *Gate) Confirm(now time.Time, ticket Ticket) (Ticket, Reason) {
	g.expireReport(now)
	if ticket.epoch == g.epoch {
		return ticket, ReasonNone
	}
	g.release(ticket)
	return g.Admit(now, ticket.request)
}

// Finish releases the slot of an admitted request and records its outcome.
func (g *Gate) Finish(now time.Time, ticket Ticket, outcome Outcome) {
	g.release(ticket)
	switch {
	case outcome == OutcomeCompleted && ticket.epoch == g.epoch:
		g.completed++
	case outcome == OutcomeBroken && ticket.bootID == g.report.BootID:
		g.InvalidateReport(now)
	}
}

// Offer grants entry a share of the free slots for OfferTTL.
func (g *Gate) Offer(now time.Time, entry core.HostID) core.Grant {
	g.expireReport(now)
	return g.offers.Offer(now, entry, g.currentLimit()-g.inFlight[g.report.BootID])
}

// Entries returns the entries that recently asked for an offer.
func (g *Gate) Entries(now time.Time) []core.HostID { return g.offers.Entries(now) }

func (g *Gate) release(ticket Ticket) {
	g.totalInFlight--
	g.inFlight[ticket.bootID]--
	if g.inFlight[ticket.bootID] <= 0 {
		delete(g.inFlight, ticket.bootID)
	}
}

// resetToCold starts a new epoch without completed requests.
func (g *Gate) resetToCold() {
	g.epoch++
	g.completed = 0
}

// expireReport invalidates the last report if it is older than MaxReportAge.
func (g *Gate) expireReport(now time.Time) {
	if g.identified && g.cfg.MaxReportAge > 0 && now.Sub(g.report.ReadAt) > g.cfg.MaxReportAge {
		g.InvalidateReport(now)
	}
}

// Digest returns the model version that the request was admitted for.
func (t Ticket) Digest() core.Digest { return t.request.Digest }

// Entry returns the entry that sent the request.
func (t Ticket) Entry() core.HostID { return t.request.Entry }
