package staging

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// maxDamagedPieces is the number of staged pieces that may have become corrupt in a version that was staged completely.
const maxDamagedPieces = 2

// inheritedOrder tells whether the worker may still carry out an order of an earlier process on this host.
type inheritedOrder struct {
	// until is the time from which no such order is expected.
	until time.Time
	// startedAt is the start of this process in Unix milliseconds.
	startedAt int64
	// known is set with the worker's first report, which fills born and orders.
	known        bool
	born, orders int64
	settled      bool
}

// recordFirstReport records the first report of the worker. A process of the worker that was younger than minAge at the start of this
// process has got no order before.
func (i *inheritedOrder) recordFirstReport(report worker.Report, minAge time.Duration) {
	if i.known {
		return
	}
	i.known, i.born, i.orders = true, report.Born, report.Orders
	age := i.startedAt - report.Born
	if age >= 0 && age < minAge.Milliseconds() {
		i.settled = true
	}
}

// isPossible reports whether such an order may be outstanding, given the last report.
func (i inheritedOrder) isPossible(now time.Time, report worker.Report) bool {
	sameState := !i.known || (i.born == report.Born && i.orders == report.Orders)
	return !i.settled && sameState && now.Before(i.until)
}

// adoptInheritedOrder treats an order that an earlier process may have sent for a version as one of this process: until it is settled only
// that version is staged, and it is sent again.
func (a *Agent) adoptInheritedOrder(t target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inherited.settled = true
	a.unanswered = loadOrder{target: t, orders: a.report.Orders}
	a.adopted = a.unanswered
	a.unansweredSince, a.repeatPause = a.Now(), a.Config.RetryPause
	a.Log.WithField("model", t.model).WithField("version", t.version).Info("order of an earlier process may be outstanding, loading it first")
}

// isAdopted reports whether an order may have been sent by an earlier process and was not sent by this one yet.
func (a *Agent) isAdopted(order loadOrder) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !order.isZero() && a.adopted == order
}

// expireAdoptedOrder drops an adopted order that this process could not send until it was no longer expected; the caller holds the lock.
func (a *Agent) expireAdoptedOrder() {
	if !a.adopted.isZero() && !a.Now().Before(a.inherited.until) {
		a.unanswered, a.adopted = loadOrder{}, loadOrder{}
	}
}

// settleInheritedOrder makes sure that replacing the staged pieces can't mix versions: the worker may carry out an order of an earlier
// process, which loads whatever is staged then. It returns false if the pieces must not be replaced by those of t now.
func (a *Agent) settleInheritedOrder(ctx context.Context, t target) (bool, error) {
	if !a.orderMayBeInherited() {
		return true, nil
	}
	manifest, err := a.obtainManifest(ctx, t, func() bool { return a.wants(t) })
	if errors.Is(err, errSuperseded) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	staged, err := a.readAllStaged(ctx, t.model, len(manifest.Digests))
	if err != nil {
		return false, err
	}
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	var checked []fleet.LoadedModel
	for first := true; a.orderMayBeInherited() && a.wants(t); first = false {
		if models := a.loadedModels(); first || !slices.Equal(models, checked) {
			checked = models
			version, known, err := a.orderedVersion(ctx, t, manifest, models, staged)
			switch {
			case err != nil:
				return false, err
			case version != 0:
				a.adoptInheritedOrder(target{model: t.model, version: version})
				a.Wake()
				return false, nil
			case known:
				a.excludeInheritedOrder()
				return true, nil
			}
			a.Log.WithField("model", t.model).WithField("version", t.version).
				Info("fetch waits for an order of an earlier process")
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-ticker.C:
		}
	}
	return a.wants(t), nil
}

// readAllStaged returns the staged pieces of a model; a missing one is nil, one that is too large empty.
func (a *Agent) readAllStaged(ctx context.Context, model core.Model, count int) ([][]byte, error) {
	staged := make([][]byte, count)
	for index := range staged {
		data, err := a.readStaged(ctx, model, index)
		if err != nil && !isWrongPiece(err) {
			return nil, err
		}
		if protocol.CodeOf(err) == protocol.CodeMalformed {
			data = []byte{}
		}
		staged[index] = data
	}
	return staged, nil
}

// orderedVersion returns the version between the loaded one and the target that an earlier process may have ordered, or 0 if there is
// none. Such a version is staged completely but for damaged pieces, because the pieces of the next one are not staged before its order
// is settled. known is false if it may be a version whose manifest the origin no longer has.
func (a *Agent) orderedVersion(
	ctx context.Context, t target, manifest worker.Manifest, models []fleet.LoadedModel, staged [][]byte,
) (version int64, known bool, err error) {
	loadedVersion := int64(0)
	manifests := []worker.Manifest{manifest}
	for _, loaded := range models {
		if loaded.Model != t.model {
			continue
		}
		loadedVersion = max(loadedVersion, loaded.Version)
		if m, err := a.readManifest(ctx, target{model: t.model, version: loaded.Version}); err == nil {
			manifests = append(manifests, m)
		}
	}
	if areAllOf(staged, manifests) {
		return 0, true, nil
	}
	gone := false
	for version := t.version - 1; version > loadedVersion; version-- {
		m, err := a.readManifest(ctx, target{model: t.model, version: version})
		switch {
		case protocol.CodeOf(err) == protocol.CodeExpired:
			gone = true
		case protocol.CodeOf(err) == protocol.CodeNotFound:
			// The number was left out, or not published yet, so no process has read its manifest and ordered it.
		case err != nil:
			return 0, false, err
		case countMismatches(m.Digests, staged) <= maxDamagedPieces:
			return version, true, nil
		default:
			manifests = append(manifests, m)
		}
	}
	return 0, !gone || countUnrecognized(staged, manifests) < len(staged)-maxDamagedPieces, nil
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

// countUnrecognized returns the number of staged pieces that may belong to a version without a manifest: those that match none of the
// manifests, or all of them.
func countUnrecognized(staged [][]byte, manifests []worker.Manifest) int {
	count := 0
	for index, data := range staged {
		matches := 0
		for _, m := range manifests {
			if index < len(m.Digests) && m.Digests[index].Matches(data) {
				matches++
			}
		}
		if data != nil && (matches == 0 || matches == len(manifests)) {
			count++
		}
	}
	return count
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

func (a *Agent) excludeInheritedOrder() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inherited.settled = true
}

func (a *Agent) loadedModels() []fleet.LoadedModel {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report.Models
}
