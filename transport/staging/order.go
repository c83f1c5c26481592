package staging

import (
	"context"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
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

// inheritedOrder tells whether the worker may still carry out an order of an earlier process on this host.
type inheritedOrder struct {
	// until is the time from which no such order is expected.
	until time.Time
	// known is set with the worker's first report, which fills born and orders.
	known        bool
	born, orders int64
	settled      bool
}

// isPossible reports whether such an order may be outstanding, given the last report.
func (i inheritedOrder) isPossible(now time.Time, report worker.Report) bool {
	sameState := !i.known || (i.born == report.Born && i.orders == report.Orders)
	return !i.settled && sameState && now.Before(i.until)
}

// isUnanswered reports whether the same order was sent before and not answered.
func (a *Agent) isUnanswered(order loadOrder) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unanswered == order
}

// beginOrder notes that the worker may carry out an order from now on, whether or not it answers.
func (a *Agent) beginOrder(order loadOrder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unanswered, a.accepted = order, target{}
}

// endOrder notes the outcome of an order. Without an answer, the order stays unanswered unless a report has shown meanwhile
// that the worker has begun it.
func (a *Agent) endOrder(order loadOrder, err error, repeated bool) {
	varLoadOrders.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orderedAt = a.Now()
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
		// The worker may have begun the earlier order, which the next report shows.
		varLoadOrdersRefused.Add(1)
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
	if !a.inherited.known {
		a.inherited.known, a.inherited.born, a.inherited.orders = true, report.Born, report.Orders
	}
	sameWorker := report.Born == a.report.Born
	if a.unanswered.isZero() || (sameWorker && report.Orders <= a.unanswered.orders) {
		return
	}
	if sameWorker {
		a.accepted, a.orderedAt = a.unanswered.target, a.Now()
	}
	a.unanswered = loadOrder{}
}

// awaitInheritedOrder waits while the worker may carry out an order of an earlier process: overwriting the pieces that were
// ordered would have it load a mixture. Pieces of the target itself and of the loaded version can't have such an order.
func (a *Agent) awaitInheritedOrder(ctx context.Context, t target, manifest worker.Manifest) error {
	if !a.orderMayBeInherited() {
		return nil
	}
	staged := make([][]byte, len(manifest.Digests))
	for index := range staged {
		data, err := a.readStaged(ctx, t.model, index)
		if protocol.CodeOf(err) == protocol.CodeNotFound {
			// A version is ordered only once all of its pieces are staged.
			a.settleInheritedOrder()
			return nil
		}
		if err != nil {
			return err
		}
		staged[index] = data
	}
	if allMatch(manifest.Digests, staged) {
		return nil
	}
	var checked []fleet.LoadedModel
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for a.orderMayBeInherited() && a.wants(t) {
		if models := a.loadedModels(); checked == nil || !slices.Equal(models, checked) {
			if a.isLoadedVersion(ctx, t.model, models, staged) {
				a.settleInheritedOrder()
				return nil
			}
			if checked == nil {
				a.Log.WithField("model", t.model).WithField("version", t.version).
					Info("fetch waits for an order of an earlier process")
			}
			checked = append([]fleet.LoadedModel{}, models...)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (a *Agent) orderMayBeInherited() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inherited.isPossible(a.Now(), a.report)
}

func (a *Agent) settleInheritedOrder() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inherited.settled = true
}

func (a *Agent) loadedModels() []fleet.LoadedModel {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report.Models
}

// isLoadedVersion reports whether the staged pieces are those of a version that the worker has loaded, as far as the origin
// still has its manifest. Versions may share pieces, so all of them are compared.
func (a *Agent) isLoadedVersion(ctx context.Context, model core.Model, models []fleet.LoadedModel, staged [][]byte) bool {
	for _, loaded := range models {
		if loaded.Model != model {
			continue
		}
		manifest, err := a.readManifest(ctx, target{model: model, version: loaded.Version})
		if err != nil {
			a.Log.WithError(err).WithField("version", loaded.Version).Info("manifest of the loaded version not read")
			continue
		}
		if allMatch(manifest.Digests, staged) {
			return true
		}
	}
	return false
}

// allMatch reports whether each piece has its digest.
func allMatch(digests []worker.Digest, pieces [][]byte) bool {
	return slices.EqualFunc(digests, pieces, worker.Digest.Matches)
}
