package staging

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/protocol/worker"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// step carries out the next rollout action for each model of the engine.
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
		before := a.stagedVersion(model)
		if err := a.stepModel(ctx, view, spec, model); err != nil {
			return err
		}
		if a.stagedVersion(model) != before {
			// The next step loads what is staged before another model is staged, and does so without a pause.
			a.Wake()
			return nil
		}
	}
	return nil
}

func (a *Agent) stagedVersion(model core.Model) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.staged[model]
}

func (a *Agent) stepModel(ctx context.Context, view *fleet.View, spec *fleet.EngineSpec, model core.Model) error {
	wanted, ok := view.Wanted[model]
	if !ok {
		// Versions start at 1; without a wanted version that is the one to load.
		wanted = fleet.Wanted{{Version: 1}}
	}
	choice := a.choose(wanted, model, spec)
	a.noteChoice(model, choice)
	t := target{model: model, version: choice.Version}
	state, report := a.rolloutState(view, wanted, t, spec)
	state.Held = !choice.Load
	switch rollout.Decide(state) {
	case rollout.ActionFetch:
		return a.fetchAndStage(ctx, t)
	case rollout.ActionLoad:
		return a.orderLoad(ctx, t, report)
	case rollout.ActionNone:
		if !state.Busy {
			a.setLoading(false)
		}
		a.releaseSuperseded(wanted, t)
		return a.cacheForPeers(ctx, t, state)
	case rollout.ActionWait:
		return a.verifyOrdered(ctx, t)
	}
	return nil
}

// cacheForPeers reads the pieces of a loaded version from the worker's staging area into the cache, so that new hosts
// nearby fetch them from this host and not from the origin.
func (a *Agent) cacheForPeers(ctx context.Context, t target, state rollout.State) error {
	if state.Loaded != t.version || state.Staged || state.Busy || a.pieces.isComplete(t) {
		return nil
	}
	return a.fetchAndStage(ctx, t)
}

// releaseSuperseded releases the pieces of versions older than a loaded one once no replica may serve them, so that no peer needs them.
func (a *Agent) releaseSuperseded(wanted fleet.Wanted, loaded target) {
	delay := a.Config.Rollout.ActivationDelay
	if delay > 0 && wanted.Due(a.Now(), delay) >= loaded.version {
		a.pieces.removeBefore(loaded, a.inUse)
	}
}

// releaseLoaded releases the pieces of versions older than next that the worker has loaded. Hosts that fetch now want next or a newer one,
// so an agent needs the memory of two versions only while it lacks both.
func (a *Agent) releaseLoaded(next target) {
	a.pieces.removeBefore(next, func(older target) bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		pending := a.unanswered.target == older || a.ahead == older || a.fetching == older || a.executingOrder()
		return pending || !slices.ContainsFunc(a.report.Models, older.isLoaded)
	})
}

func (a *Agent) rolloutState(view *fleet.View, wanted fleet.Wanted, t target, spec *fleet.EngineSpec) (rollout.State, worker.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	loaded := a.loadedOrLoading(t.model, spec.Layers)
	unanswered := a.unanswered.target == t && a.adopted.isZero()
	earliest := a.repeatAt
	if !unanswered {
		if a.unanswered.target == t {
			// An adopted order waits for its turn as if no newer version were wanted.
			wanted = slices.DeleteFunc(slices.Clone(wanted), func(w fleet.WantedVersion) bool { return w.Version > t.version })
		}
		earliest = rollout.EarliestLoadTime(a.Config.Rollout, rollout.Load{
			Wanted: wanted, Loaded: loaded, Version: t.version, ReadyAt: a.readySince(t, now), Members: view.Members,
			Upstream: a.Upstream, Address: a.ReplicaAddress,
		})
	}
	return rollout.State{
		Now:          now,
		Wanted:       t.version,
		Loaded:       loaded,
		Busy:         !a.responding || a.executingOrder() || a.awaitsOtherModel(t.model),
		Staged:       a.isStaged(t),
		Unanswered:   unanswered,
		EarliestLoad: earliest,
	}, a.report
}

// readySince returns the time from which a version is staged and to be loaded; the caller holds the lock.
func (a *Agent) readySince(t target, now time.Time) time.Time {
	if !a.choices[t.model].Load || !a.isStaged(t) {
		delete(a.ready, t.model)
		return now
	}
	if ready, ok := a.ready[t.model]; ok && ready.version == t.version {
		return ready.since
	}
	if a.ready == nil {
		a.ready = map[core.Model]readyVersion{}
	}
	a.ready[t.model] = readyVersion{version: t.version, since: now}
	return now
}

// fetchAndStage fetches a version and stages it at the worker.
func (a *Agent) fetchAndStage(ctx context.Context, t target) error {
	a.mu.Lock()
	born, responding := a.report.Born, a.responding
	a.mu.Unlock()
	if !responding {
		return nil
	}
	started := a.Now()
	if replace, err := a.settleInheritedOrder(ctx, t); err != nil || !replace {
		return eris.Wrapf(err, "look for an order of an earlier process before version %d of %s", t.version, t.model)
	}
	if err := a.fetch(ctx, t, false); err != nil {
		return eris.Wrapf(err, "fetch version %d of %s", t.version, t.model)
	}
	if !a.wants(t) || !a.pieces.isComplete(t) {
		// The next step fetches the version that is chosen now, without a pause.
		a.Wake()
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.report.Born == born {
		if a.staged == nil {
			a.staged = map[core.Model]int64{}
		}
		a.staged[t.model] = t.version
	}
	a.Log.WithFields(logrus.Fields{
		"model": t.model, "version": t.version, "took_ms": a.Now().Sub(started).Milliseconds(),
	}).Info("version staged")
	return nil
}

// executingOrder reports whether the worker is carrying out an order or may not show a recent one in its report yet;
// the caller holds the lock. An unanswered order counts as executing only once the worker reports it.
func (a *Agent) executingOrder() bool {
	recent := a.unanswered.isZero() && a.Now().Sub(a.orderedAt) < a.Config.OrderReportDelay
	return a.report.Busy || recent
}

// awaitsOtherModel reports whether the worker may still carry out an order for another model; the caller holds the lock. Only one order
// without an answer is tracked, so the next one is not sent before.
func (a *Agent) awaitsOtherModel(model core.Model) bool {
	return !a.unanswered.isZero() && a.unanswered.target.model != model
}

// loadedOrLoading returns the version that the worker has loaded or was ordered to load; the caller holds the lock.
// Counting the ordered version lets the pieces of the next one be staged while the worker still finishes its requests
// before a load.
func (a *Agent) loadedOrLoading(model core.Model, layers int) int64 {
	loaded, _ := fleet.LoadedVersion(a.report.Models, model, layers)
	if a.accepted.model == model && a.executingOrder() {
		loaded = max(loaded, a.accepted.version)
	}
	return loaded
}
