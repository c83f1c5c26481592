package upstream

import (
	"context"
	"sync"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol"
)

// attempt is the forwarding of one admitted request to the back end.
//
// It records whether a byte of the request may have been sent, so that a refusal never reports not_run for a request
// that may have run.
type attempt struct {
	gate    *Gate
	monitor *Monitor

	mu     sync.Mutex
	ticket admission.Ticket
	// reason is why the request was refused after its admission.
	reason admission.Reason
	// tracked is set once Transport observes every write; before that, sent may miss a byte that was written.
	tracked       bool
	sent          bool
	writesStopped bool
}

// attemptKey is the context key of an attempt.
type attemptKey struct{}

func withAttempt(ctx context.Context, a *attempt) context.Context {
	return context.WithValue(ctx, attemptKey{}, a)
}

func attemptFrom(ctx context.Context) *attempt {
	a, _ := ctx.Value(attemptKey{}).(*attempt)
	return a
}

// track records that Transport observes every write of the request.
func (a *attempt) track() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracked = true
}

// authorizeSend reports an error unless the request may be sent on a connection that was opened at the given identity
// sequence number.
func (a *attempt) authorizeSend(ctx context.Context, openedAt uint64) error {
	if a.maybeSent() {
		return protocol.Errorf(protocol.CodeOutcomeUnknown, "the request may already have been sent and is not sent again")
	}
	if err := a.monitor.Verify(ctx, openedAt); err != nil {
		a.recordRefusal(admission.ReasonUnidentified)
		return err
	}
	return a.confirmTicket()
}

func (a *attempt) maybeSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.tracked || a.sent
}

func (a *attempt) recordRefusal(reason admission.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reason = reason
}

// confirmTicket renews the admission, because the back end may have restarted since the request was admitted.
func (a *attempt) confirmTicket() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ticketVoid() {
		return protocol.Errorf(protocol.CodeRefused, "the gate already refused the request: %s", a.reason)
	}
	ticket, reason := a.gate.Confirm(a.ticket)
	a.ticket, a.reason = ticket, reason
	if reason != admission.ReasonNone {
		return protocol.Errorf(protocol.CodeRefused, "the gate refused the request before it was sent: %s", reason)
	}
	return nil
}

// ticketVoid reports whether the gate refused to confirm the ticket, so that it holds no slot.
func (a *attempt) ticketVoid() bool { return a.ticket == admission.Ticket{} }

// beforeWrite records that a byte of the request may be sent; it returns an error after stopWrites.
func (a *attempt) beforeWrite() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writesStopped {
		return protocol.Errorf(protocol.CodeRefused, "the request has already ended")
	}
	a.sent = true
	return nil
}

// stopWrites forbids further writes. It reports whether a byte may have been sent, and the reason of a refusal.
func (a *attempt) stopWrites() (maybeSent bool, reason admission.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writesStopped = true
	return !a.tracked || a.sent, a.reason
}

// finish releases the request's slot unless the ticket is void.
func (a *attempt) finish(outcome admission.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ticketVoid() {
		a.gate.Finish(a.ticket, outcome)
	}
}
