package upstream

import (
	"context"
	"sync"

	"github.com/guavatrestle/guavatrestle/coordination/admission"
	"github.com/guavatrestle/guavatrestle/protocol"
)

// attempt is one admitted request on its way to the back end.
//
// It knows whether a byte of the request may have left, so that a refusal never says not_run wrongly.
type attempt struct {
	gate    *Gate
	monitor *Monitor

	mu     sync.Mutex
	ticket admission.Ticket
	// reason says why the request was refused after its admission.
	reason admission.Reason
	// tracked says that Transport sees every write; without it a byte may have left unnoticed.
	tracked bool
	left    bool
	settled bool
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

// track records that Transport sees every write of the request.
func (a *attempt) track() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracked = true
}

// claim checks that the request may leave on a connection opened at the given point of the identity sequence.
func (a *attempt) claim(ctx context.Context, opened uint64) error {
	if a.mayHaveLeft() {
		return protocol.Errorf(protocol.CodeOutcomeUnknown, "a request is not sent again once a byte of it may have left")
	}
	if err := a.monitor.Verify(ctx, opened); err != nil {
		a.refuse(admission.ReasonUnidentified)
		return err
	}
	return a.confirm()
}

func (a *attempt) mayHaveLeft() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.tracked || a.left
}

func (a *attempt) refuse(reason admission.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reason = reason
}

// confirm renews the admission, because the back end may have restarted since.
func (a *attempt) confirm() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.void() {
		return protocol.Errorf(protocol.CodeRefused, "the gate already refused the request: %s", a.reason)
	}
	ticket, reason := a.gate.Confirm(a.ticket)
	a.ticket, a.reason = ticket, reason
	if reason != admission.ReasonNone {
		return protocol.Errorf(protocol.CodeRefused, "the gate refused the request before it left: %s", reason)
	}
	return nil
}

// void reports whether the ticket no longer counts because the gate refused to confirm it.
func (a *attempt) void() bool { return a.ticket == admission.Ticket{} }

// leave is called before each write of the request; it fails once the attempt is settled.
func (a *attempt) leave() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.settled {
		return protocol.Errorf(protocol.CodeRefused, "the request has already ended")
	}
	a.left = true
	return nil
}

// settle forbids further writes and reports whether a byte may have left, and the reason of a refusal.
func (a *attempt) settle() (mayHaveLeft bool, reason admission.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settled = true
	return !a.tracked || a.left, a.reason
}

// finish counts the request out.
func (a *attempt) finish(outcome admission.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.void() {
		a.gate.Finish(a.ticket, outcome)
	}
}
