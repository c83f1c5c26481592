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

const (
	// maxDamagedPieces is the number of staged pieces that may have become corrupt in a version that was staged completely.
	maxDamagedPieces = 2
	// maxRepeatPause bounds the pause before an unanswered order is sent again. Each repeat verifies the staged pieces.
	maxRepeatPause = 2400 * time.Millisecond
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
	if a.unanswered != order {
		a.unansweredSince, a.repeatPause = a.Now(), a.Config.RetryPause
	}
	a.unanswered, a.accepted = order, target{}
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
	if !a.inherited.known {
		a.inherited.known, a.inherited.born, a.inherited.orders = true, report.Born, report.Orders
	}
	if a.unanswered.isZero() {
		return
	}
	if report.Born != a.report.Born {
		// A worker that still answered after the order had ended took the order with it. Otherwise its successor may have it.
		if report.Orders != a.unanswered.orders || a.reportedAt.After(a.orderedAt) {
			a.unanswered = loadOrder{}
		}
		return
	}
	if report.Orders > a.unanswered.orders {
		a.accepted, a.orderedAt = a.unanswered.target, a.Now()
		a.unanswered = loadOrder{}
	}
}

// awaitInheritedOrder waits while the worker may carry out an order of an earlier process: overwriting the pieces that were
// ordered would have it load a mixture.
func (a *Agent) awaitInheritedOrder(ctx context.Context, t target, manifest worker.Manifest) error {
	if !a.orderMayBeInherited() {
		return nil
	}
	staged, err := a.readAllStaged(ctx, t.model, len(manifest.Digests))
	if err != nil {
		return err
	}
	var checked []fleet.LoadedModel
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for first := true; a.orderMayBeInherited() && a.wants(t); first = false {
		if models := a.loadedModels(); first || !slices.Equal(models, checked) {
			checked = models
			if !a.mayHaveBeenOrdered(ctx, t, manifest, models, staged) {
				a.settleInheritedOrder()
				return nil
			}
			a.Log.WithField("model", t.model).WithField("version", t.version).
				Info("fetch waits for an order of an earlier process")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// readAllStaged returns the staged pieces of a model; a missing one is nil.
func (a *Agent) readAllStaged(ctx context.Context, model core.Model, count int) ([][]byte, error) {
	staged := make([][]byte, count)
	for index := range staged {
		data, err := a.readStaged(ctx, model, index)
		if err != nil && protocol.CodeOf(err) != protocol.CodeNotFound {
			return nil, err
		}
		staged[index] = data
	}
	return staged, nil
}

// mayHaveBeenOrdered reports whether the staged pieces may be those of a version between the loaded one and the target, which
// an earlier process has ordered. It is so if one of these versions is staged but for damaged pieces, or has no manifest any
// more at the origin.
func (a *Agent) mayHaveBeenOrdered(
	ctx context.Context, t target, manifest worker.Manifest, models []fleet.LoadedModel, staged [][]byte,
) bool {
	loadedVersion := int64(0)
	known := []worker.Manifest{manifest}
	for _, loaded := range models {
		if loaded.Model != t.model {
			continue
		}
		loadedVersion = max(loadedVersion, loaded.Version)
		if m, err := a.readManifest(ctx, target{model: t.model, version: loaded.Version}); err == nil {
			known = append(known, m)
		}
	}
	if areAllOf(staged, known) {
		return false
	}
	for version := t.version - 1; version > loadedVersion; version-- {
		m, err := a.readManifest(ctx, target{model: t.model, version: version})
		if err != nil {
			a.Log.WithError(err).WithField("version", version).Info("manifest of an earlier version not read")
			return true
		}
		if countMismatches(m.Digests, staged) <= maxDamagedPieces {
			return true
		}
	}
	return false
}

// areAllOf reports whether each staged piece is missing or belongs to one of the versions.
func areAllOf(staged [][]byte, versions []worker.Manifest) bool {
	for index, data := range staged {
		matches := func(m worker.Manifest) bool { return index < len(m.Digests) && m.Digests[index].Matches(data) }
		if data != nil && !slices.ContainsFunc(versions, matches) {
			return false
		}
	}
	return true
}

func countMismatches(digests []worker.Digest, staged [][]byte) int {
	mismatches := 0
	for index, data := range staged {
		if index >= len(digests) || !digests[index].Matches(data) {
			mismatches++
		}
	}
	return mismatches
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
