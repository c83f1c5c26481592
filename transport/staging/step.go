package staging

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// step looks at the worker and the wanted versions and does what comes next.
func (a *Agent) step(ctx context.Context) error {
	view := a.View()
	if !view.Ready() {
		return nil
	}
	spec := view.Configuration.Upstreams[a.Upstream].Engine
	if spec == nil {
		return nil
	}
	for _, model := range spec.Models {
		if err := a.stepModel(ctx, view, spec, model); err != nil {
			return err
		}
	}
	return nil
}

func (a *Agent) stepModel(ctx context.Context, view *fleet.View, spec *fleet.EngineSpec, model core.Model) error {
	wanted, ok := view.Wanted[model]
	if !ok {
		// Versions start at 1, and nothing newer has been named.
		wanted = fleet.Wanted{{Version: 1}}
	}
	t := target{model: model, version: a.targetVersion(wanted, model, spec.Layers)}
	state, report := a.state(view, wanted, t, spec)
	switch rollout.Decide(state) {
	case rollout.ActionFetch:
		return a.collect(ctx, t)
	case rollout.ActionLoad:
		return a.load(ctx, t, report)
	case rollout.ActionNone:
		if !state.Busy {
			a.setLoading(false)
		}
		return a.keepForPeers(ctx, t, state)
	}
	return nil
}

// keepForPeers collects the pieces of a loaded version from the worker's staging area, so that new hosts nearby get them
// here and not from the origin.
func (a *Agent) keepForPeers(ctx context.Context, t target, state rollout.State) error {
	if state.Loaded != t.version || state.Staged || state.Busy {
		return nil
	}
	return a.collect(ctx, t)
}

func (a *Agent) state(view *fleet.View, wanted fleet.Wanted, t target, spec *fleet.EngineSpec) (rollout.State, worker.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	loaded := a.loadedOrLoading(t.model, spec.Layers)
	return rollout.State{
		Now:          now,
		Wanted:       t.version,
		Loaded:       loaded,
		Busy:         !a.answered || a.carryingOut(),
		Staged:       a.complete == t,
		EarliestLoad: rollout.EarliestLoadTime(a.Config.Rollout, wanted, loaded, view.Members, a.Upstream, a.ReplicaAddress),
	}, a.report
}

// collect fetches and stages a version.
func (a *Agent) collect(ctx context.Context, t target) error {
	a.mu.Lock()
	born, answered := a.report.Born, a.answered
	a.mu.Unlock()
	if !answered {
		return nil
	}
	started := a.Now()
	if err := a.fetch(ctx, t); err != nil {
		return eris.Wrapf(err, "fetch version %d of %s", t.version, t.model)
	}
	if !a.wants(t) {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.report.Born == born {
		a.complete = t
	}
	a.Log.WithFields(logrus.Fields{
		"model": t.model, "version": t.version, "took_ms": a.Now().Sub(started).Milliseconds(),
	}).Info("version staged")
	return nil
}

// wants reports whether a version is still the one to bring in.
func (a *Agent) wants(t target) bool {
	view := a.View()
	wanted, ok := view.Wanted[t.model]
	spec := view.Configuration.Upstreams[a.Upstream].Engine
	return !ok || spec == nil || a.targetVersion(wanted, t.model, spec.Layers) <= t.version
}

func (a *Agent) targetVersion(wanted fleet.Wanted, model core.Model, layers int) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	staged := int64(0)
	if a.complete.model == model {
		staged = a.complete.version
	}
	return rollout.NextVersion(a.Config.Rollout, a.Now(), wanted, a.loadedOrLoading(model, layers), staged)
}

// carryingOut reports whether the worker is at an order, or may not show it in its report yet; the caller holds the lock.
func (a *Agent) carryingOut() bool {
	return a.report.Busy || a.Now().Sub(a.ordered) < a.Config.OrderReportDelay
}

// loadedOrLoading returns the version that the worker has loaded or was ordered to load; the caller holds the lock. The pieces
// of the next version may come in while the worker still ends its requests before a load.
func (a *Agent) loadedOrLoading(model core.Model, layers int) int64 {
	loaded, _ := fleet.LoadedVersion(a.report.Models, model, layers)
	if a.accepted.model == model && a.carryingOut() {
		loaded = max(loaded, a.accepted.version)
	}
	return loaded
}
