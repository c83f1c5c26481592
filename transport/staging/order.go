package staging

import (
	"time"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
)

// maxRepeatPause bounds the pause before an unanswered order is sent again. Each repeat verifies the staged pieces.
const maxRepeatPause = 2400 * time.Millisecond

// loadOrder is an order as far as it decides whether the worker can still accept it.
type loadOrder struct {
	target target
	// orders is the number of orders that the worker must have begun when it accepts this one.
	orders int64
}

func (o loadOrder) isZero() bool { return o == loadOrder{} }

// version returns the ordered version of a model, or 0 if the order is for another model.
func (o loadOrder) version(model core.Model) int64 {
	if o.target.model != model {
		return 0
	}
	return o.target.version
}

// isUnanswered reports whether the same order was sent before and not answered.
func (a *Agent) isUnanswered(order loadOrder) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unanswered == order
}

// beginOrder notes that the worker may carry out an order from now on, whether or not it answers. It returns an error, and the order
// must not be sent, if a staged piece was last read back longer ago than MaxVerificationAge, or not all pieces of a version were; age is
// that of the oldest read. The caller sends the order without waiting for anything else.
func (a *Agent) beginOrder(order loadOrder, verified *verification, pieces int) (age time.Duration, err error) {
	if err := verified.checkComplete(pieces); err != nil {
		a.clearStaged(order.target.model)
		return 0, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	oldest := verified.oldest()
	if oldest.IsZero() {
		return 0, protocol.Errorf(protocol.CodeChanged, "a staged piece of version %d has become corrupt", order.target.version)
	}
	age = now.Sub(oldest)
	if age > a.Config.MaxVerificationAge {
		return age, protocol.Errorf(protocol.CodeExpired, "a staged piece of version %d was last read back %v ago", order.target.version, age)
	}
	if a.unanswered != order {
		a.unansweredSince, a.repeatPause = now, a.Config.RetryPause
	}
	a.unanswered, a.accepted, a.adopted = order, target{}, loadOrder{}
	return age, nil
}

// endOrder notes the outcome of an order. Without an answer, the order stays unanswered unless a report has shown meanwhile
// that the worker has begun it.
func (a *Agent) endOrder(order loadOrder, err error, repeated bool) {
	varLoadOrders.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	a.orderedAt = now
	a.repeatAt = now.Add(a.repeatPause)
	a.repeatPause = min(2*a.repeatPause, maxRepeatPause)
	code := protocol.CodeOf(err)
	switch {
	case err == nil:
		a.unanswered, a.accepted = loadOrder{}, order.target
		if repeated {
			a.announced, a.loading = order.target, true
			a.publishReport(true)
		}
		return
	case code == protocol.CodeRefused, code == protocol.CodeConflict && !repeated:
		varLoadOrdersRefused.Add(1)
		a.unanswered = loadOrder{}
	case code == protocol.CodeConflict:
		varLoadOrdersRefused.Add(1)
		if now.Sub(a.unansweredSince) > a.Config.LateOrderTimeout {
			a.unanswered = loadOrder{}
		}
	default:
		varLoadOrdersUnanswered.Add(1)
		if a.accepted != order.target {
			a.unanswered = order
		}
	}
	if a.loading && a.accepted != order.target {
		a.loading = false
		a.publishReport(true)
	}
}

// settleOrders ends the wait for an unanswered order if the worker has begun one since or has restarted; the caller holds
// the lock and has not stored the report yet.
func (a *Agent) settleOrders(report worker.Report) {
	a.inherited.recordFirstReport(report, a.Config.MinWorkerAge)
	if a.unanswered.isZero() {
		return
	}
	if report.Born != a.report.Born {
		// A worker that still answered after the order had ended took the order with it. Otherwise its successor may have it.
		if report.Orders != a.unanswered.orders || a.reportedAt.After(a.orderedAt) {
			a.unanswered, a.adopted = loadOrder{}, loadOrder{}
		}
		return
	}
	if report.Orders > a.unanswered.orders {
		a.accepted, a.orderedAt = a.unanswered.target, a.Now()
		a.unanswered, a.adopted = loadOrder{}, loadOrder{}
	}
}
