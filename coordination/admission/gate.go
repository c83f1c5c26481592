// Package admission decides which requests an agent lets through to its back end.
//
// The package is a pure state machine: every call takes the time and returns a decision.
package admission

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// Config bounds the requests in flight. The zero Config admits nothing.
type Config struct {
	ColdLimit         int
	WarmLimit         int
	WarmupCompletions int
	// Versioned says that every request names the model version that must answer it. It is false for plain services.
	Versioned bool
	// MaxReportAge is the age at which the last report no longer identifies the back end; 0 means no bound.
	MaxReportAge time.Duration
}

// configured reports whether the limits are known.
func (c Config) configured() bool { return c.WarmLimit > 0 }

// Report is what the back end last said about itself.
type Report struct {
	BootID   string
	Digest   core.Digest
	Complete bool
	// ReadAt is the time at which the read of this report started.
	ReadAt time.Time
}

// Request is what admission needs to know about a request.
type Request struct {
	// Digest is the model version that must answer; it is empty for plain services.
	Digest core.Digest
	// Entry is the entry that sent the request; it is empty when the request does not say.
	Entry core.HostID
}

// Ticket is the proof of an admission, handed back when the request ends.
type Ticket struct {
	request Request
	boot    string
	epoch   uint64
}

// Outcome says how an admitted request ended.
type Outcome int

const (
	// OutcomeNeutral says nothing about the back end: the request was cancelled, refused or timed out.
	OutcomeNeutral Outcome = iota
	// OutcomeCompleted says that the back end answered the request whole.
	OutcomeCompleted
	// OutcomeBroken says that the connection was refused, reset or cut.
	OutcomeBroken
)

// Gate counts the requests in flight to one back end and refuses the excess.
//
// Gate is not safe for concurrent use; the owner serialises calls.
type Gate struct {
	cfg        Config
	report     Report
	identified bool
	// epoch counts the returns to cold.
	epoch uint64
	// completed counts the completions of requests admitted in this epoch.
	completed int
	// inFlight counts requests by the boot ID they were admitted for, because a new boot starts empty.
	inFlight  map[string]int
	total     int
	leaving   bool
	inService bool
	loading   bool
	offers    *Offers
}

// New returns a cold gate that admits nothing before the first report.
func New(cfg Config) *Gate {
	return &Gate{cfg: cfg, inService: true, inFlight: make(map[string]int), offers: NewOffers()}
}

// Configure replaces the limits.
func (g *Gate) Configure(cfg Config) { g.cfg = cfg }

// Observe takes a report; a new boot ID or version returns the gate to cold.
func (g *Gate) Observe(now time.Time, report Report) {
	g.expireReport(now)
	if !g.identified || report.BootID != g.report.BootID || report.Digest != g.report.Digest {
		g.cool()
	}
	g.report = report
	g.identified = true
	g.expireReport(now)
}

// InvalidateReport returns the gate to cold and admits nothing until the next report.
func (g *Gate) InvalidateReport(time.Time) {
	g.identified = false
	g.cool()
}

// SetLeaving stops all new work for good.
func (g *Gate) SetLeaving() { g.leaving = true }

// SetInService starts or stops new work; a return to service starts cold.
func (g *Gate) SetInService(inService bool) {
	if inService != g.inService {
		g.cool()
	}
	g.inService = inService
}

// SetLoading marks that a load order runs; its start and its end return the gate to cold.
func (g *Gate) SetLoading(loading bool) {
	g.loading = loading
	g.cool()
}

// Admit counts a request in, or returns the reason of its refusal.
func (g *Gate) Admit(now time.Time, request Request) (Ticket, Reason) {
	g.expireReport(now)
	if reason := g.refusal(request); reason != ReasonNone {
		return Ticket{}, reason
	}
	boot := g.report.BootID
	g.inFlight[boot]++
	g.total++
	g.offers.ConsumeSlot(now, request.Entry)
	return Ticket{request: request, boot: boot, epoch: g.epoch}, ReasonNone
}

// Confirm checks an admission right before the first byte of the request leaves.
//
// A ticket from before the last return to cold is admitted again or refused. After a refusal the ticket is void.
func (g *Gate) Confirm(now time.Time, ticket Ticket) (Ticket, Reason) {
	g.expireReport(now)
	if ticket.epoch == g.epoch {
		return ticket, ReasonNone
	}
	g.release(ticket)
	return g.Admit(now, ticket.request)
}

// Finish counts a request out.
func (g *Gate) Finish(now time.Time, ticket Ticket, outcome Outcome) {
	g.release(ticket)
	switch {
	case outcome == OutcomeCompleted && ticket.epoch == g.epoch:
		g.completed++
	case outcome == OutcomeBroken && ticket.boot == g.report.BootID:
		g.InvalidateReport(now)
	}
}

// Offer grants entry a share of the free slots until the grant expires.
func (g *Gate) Offer(now time.Time, entry core.HostID) core.Grant {
	g.expireReport(now)
	return g.offers.Offer(now, entry, g.openLimit()-g.inFlight[g.report.BootID])
}

// Entries returns the entries that asked for an offer lately.
func (g *Gate) Entries(now time.Time) []core.HostID { return g.offers.Entries(now) }

func (g *Gate) release(ticket Ticket) {
	g.total--
	g.inFlight[ticket.boot]--
	if g.inFlight[ticket.boot] <= 0 {
		delete(g.inFlight, ticket.boot)
	}
}

// cool starts a new epoch without completed work.
func (g *Gate) cool() {
	g.epoch++
	g.completed = 0
}

// expireReport treats a report that is too old as missed.
func (g *Gate) expireReport(now time.Time) {
	if g.identified && g.cfg.MaxReportAge > 0 && now.Sub(g.report.ReadAt) > g.cfg.MaxReportAge {
		g.InvalidateReport(now)
	}
}

// Digest returns the model version that the request was admitted for.
func (t Ticket) Digest() core.Digest { return t.request.Digest }

// Entry returns the entry that sent the request.
func (t Ticket) Entry() core.HostID { return t.request.Entry }
