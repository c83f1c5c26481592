package staging

import (
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
)

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

// beginOrder notes that the worker may carry out an order from now on, whether or not it answers, and reports whether the
// same order was sent before.
func (a *Agent) beginOrder(t target, report worker.Report) (repeated bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	order := loadOrder{target: t, orders: report.Orders}
	repeated = a.unanswered == order
	a.unanswered, a.accepted = order, target{}
	return repeated
}

// endOrder notes the outcome of an order. Without an answer, the order stays unanswered unless a report has shown meanwhile
// that the worker has begun it.
func (a *Agent) endOrder(t target, report worker.Report, err error, repeated bool) {
	varLoadOrders.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orderedAt = a.Now()
	code := protocol.CodeOf(err)
	switch {
	case err == nil:
		a.unanswered, a.accepted = loadOrder{}, t
		if repeated {
			a.announced, a.loading = t, true
			a.publishReport(true)
		}
		return
	case code == protocol.CodeRefused, code == protocol.CodeConflict && !repeated:
		varLoadOrdersRefused.Add(1)
		a.unanswered = loadOrder{}
	case code == protocol.CodeConflict:
		// The worker may have begun the earlier order, which the next report shows.
		varLoadOrdersRefused.Add(1)
	default:
		varLoadOrdersUnanswered.Add(1)
		if a.accepted != t {
			a.unanswered = loadOrder{target: t, orders: report.Orders}
		}
	}
	if a.loading && a.accepted != t {
		a.loading = false
		a.publishReport(true)
	}
}

// settleOrders ends the wait for an unanswered order if the worker has begun one since or has restarted; the caller holds
// the lock and has not stored the report yet.
func (a *Agent) settleOrders(report worker.Report) {
	if a.unanswered.isZero() || (report.Born == a.report.Born && report.Orders == a.unanswered.orders) {
		return
	}
	if report.Born == a.report.Born && report.Orders > a.unanswered.orders {
		a.accepted, a.orderedAt = a.unanswered.target, a.Now()
	}
	a.unanswered = loadOrder{}
}
