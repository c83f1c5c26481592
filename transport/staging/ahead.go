package staging

import (
	"context"
	"time"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// aheadInterval is the time between two checks for a version to fetch into memory. At Kineplan's rates, the origin sends three pieces
// in it.
const aheadInterval = 100 * time.Millisecond

// fetchAhead fetches pieces of the next version into memory while an earlier one occupies the worker's staging area, until ctx ends.
func (a *Agent) fetchAhead(ctx context.Context) {
	for pause(ctx, aheadInterval) == nil {
		for _, t := range a.aheadTargets() {
			if err := a.fetch(ctx, t, true); err != nil && ctx.Err() == nil && a.wantsAhead(t) {
				a.Log.WithError(err).WithField("model", t.model).WithField("version", t.version).Warn("fetch ahead failed")
			}
		}
		a.setFetching(target{}, true)
	}
}

// aheadTargets returns the versions to fetch into memory that are not held completely.
func (a *Agent) aheadTargets() []target {
	view := a.View()
	if !view.Ready() {
		return nil
	}
	spec := view.Configuration.Upstreams[a.Upstream].Engine
	if spec == nil {
		return nil
	}
	var targets []target
	for _, model := range spec.Models {
		choice, ok := a.currentChoice(model)
		t := target{model: model, version: choice.Ahead}
		if ok && choice.Ahead != 0 && !a.pieces.isComplete(t) {
			targets = append(targets, t)
		}
	}
	return targets
}

// aheadFromOrigin reports whether the fetch into memory may use the origin.
func (a *Agent) aheadFromOrigin(model core.Model) bool {
	choice, ok := a.currentChoice(model)
	return ok && choice.AheadOrigin
}
