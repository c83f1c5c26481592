package staging

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavatrestle/guavatrestle/coordination/rollout"
	"github.com/guavatrestle/guavatrestle/protocol"
	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// originSilence is the time without a new piece at this host and its known peers, while pieces are missing everywhere, after which the
// origin counts as unavailable. A piece takes the origin at most 0.3 s while ten of them share its link.
const originSilence = 700 * time.Millisecond

// minOriginOutage is the time from the first failed request to the origin after which the origin counts as unavailable. The request
// that follows a single failure succeeds before.
const minOriginOutage = 250 * time.Millisecond

// maxOriginFailureAge is the time after the last failed request from which the origin's failure is no longer assumed. A host that fetches
// from an origin without an answer fails again within 3.25 s; one whose turn is over learns of the origin's return only through peers.
const maxOriginFailureAge = 5 * time.Second

// wants reports whether a version is the one to stage.
func (a *Agent) wants(t target) bool {
	choice, ok := a.currentChoice(t.model)
	return !ok || choice.Version == t.version
}

// wantsAhead reports whether a version is the one to fetch into memory.
func (a *Agent) wantsAhead(t target) bool {
	choice, ok := a.currentChoice(t.model)
	return ok && choice.Ahead == t.version
}

// currentChoice returns the present choice for a model, and false if no version of it is wanted.
func (a *Agent) currentChoice(model core.Model) (rollout.Choice, bool) {
	view := a.View()
	wanted, ok := view.Wanted[model]
	spec := view.Configuration.Upstreams[a.Upstream].Engine
	if !ok || spec == nil {
		return rollout.Choice{}, false
	}
	return a.choose(wanted, model, spec), true
}

func (a *Agent) choose(wanted fleet.Wanted, model core.Model, spec *fleet.EngineSpec) rollout.Choice {
	links := a.links(spec)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireAdoptedOrder()
	progress := rollout.Progress{
		Loaded: a.loadedOrLoading(model, spec.Layers), Unanswered: a.unanswered.version(model), Chosen: a.choices[model].Version,
		Staged: a.staged[model], Links: links,
	}
	for _, w := range wanted {
		if supply, ok := a.supplies[target{model: model, version: w.Version}]; ok {
			progress.Supplies = append(progress.Supplies, supply)
		}
	}
	return rollout.NextVersion(a.Config.Rollout, a.Now(), wanted, progress)
}

// links returns what is known of the links over which versions are fetched.
func (a *Agent) links(spec *fleet.EngineSpec) rollout.Links {
	links := rollout.Links{Pieces: spec.Chunks, PieceBytes: spec.ChunkBytes, HostBytesPerSecond: a.LinkBytesPerSecond}
	if origin, ok := a.origin(); ok {
		links.OriginBytesPerSecond = origin.BytesPerSecond
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireOriginFailure()
	if away := a.Now().Sub(a.originFailedAt); !a.originFailedAt.IsZero() && away >= minOriginOutage {
		links.OriginAwayFor = away
	}
	return links
}

// noteChoice notes the choice for a model and logs it if it has changed.
func (a *Agent) noteChoice(model core.Model, choice rollout.Choice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.choices[model]
	if a.choices == nil {
		a.choices = map[core.Model]rollout.Choice{}
	}
	a.choices[model] = choice
	last.Gain = choice.Gain
	if last == choice {
		return
	}
	varVersionChoices.Add(string(choice.Reason), 1)
	fields := logrus.Fields{
		"model": model, "version": choice.Version, "reason": choice.Reason, "load": choice.Load, "ahead": choice.Ahead,
		"gain_ms": choice.Gain.Milliseconds(), "origin_failing": !a.originFailedAt.IsZero(), "staged": a.staged[model],
	}
	for _, version := range []int64{choice.Version, choice.Ahead} {
		if supply, ok := a.supplies[target{model: model, version: version}]; ok && version == choice.Version {
			fields["missing"], fields["absent"] = supply.Missing, supply.Absent
		} else if ok {
			fields["ahead_missing"], fields["ahead_absent"] = supply.Missing, supply.Absent
		}
	}
	a.Log.WithFields(fields).Info("version chosen")
}

// noteSupply notes what this host lacks of a version. idle is the time since a known host gained a piece of it.
func (a *Agent) noteSupply(t target, missing, absent int, idle time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.supplies == nil {
		a.supplies = map[target]rollout.Supply{}
	}
	if _, known := a.supplies[t]; !known {
		for old := range a.supplies {
			if old.model == t.model && old.version < t.version-maxHeldVersions {
				delete(a.supplies, old)
			}
		}
	}
	a.expireOriginFailure()
	a.supplies[t] = rollout.Supply{Version: t.version, Missing: missing, Absent: absent}
	if absent > 0 && idle >= originSilence && a.originFailedAt.IsZero() {
		a.originFailedAt, a.originSilent = a.Now().Add(-idle), true
	} else if a.originSilent && (absent == 0 || idle < originSilence) {
		a.originFailedAt, a.originSilent = time.Time{}, false
	}
}

// expireOriginFailure drops a failure of the origin that has not been seen again; the caller holds the lock.
func (a *Agent) expireOriginFailure() {
	if !a.originSilent && !a.originFailedAt.IsZero() && a.Now().Sub(a.originTriedAt) >= maxOriginFailureAge {
		a.originFailedAt = time.Time{}
	}
}

// noteOrigin notes the outcome of a request to the origin. A refusal or a corrupt response shows that it answers.
func (a *Agent) noteOrigin(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.originSilent = false
	switch protocol.CodeOf(err) {
	case protocol.CodeUnavailable:
		a.originTriedAt = a.Now()
		if a.originFailedAt.IsZero() {
			a.originFailedAt = a.Now()
		}
	default:
		a.originFailedAt = time.Time{}
	}
}
