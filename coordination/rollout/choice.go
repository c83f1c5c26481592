package rollout

import (
	"time"

	"github.com/guavatrestle/guavatrestle/state/fleet"
)

// Reason tells why a version was chosen.
type Reason string

// Reasons for the choice of a version.
const (
	// ReasonNewest means that the newest version is fetched and loaded next.
	ReasonNewest Reason = "newest"
	// ReasonUnanswered means that the worker may still carry out an order for the version.
	ReasonUnanswered Reason = "unanswered_order"
	// ReasonSooner means that the replica serves sooner if the superseded version is loaded first.
	ReasonSooner Reason = "serves_sooner"
	// ReasonHeadStart means that the superseded version is completed in case the origin fails.
	ReasonHeadStart Reason = "head_start"
	// ReasonStaged means that the superseded version stays staged until the newest is held completely.
	ReasonStaged Reason = "staged"
)

// Choice is the version that a host stages next.
type Choice struct {
	Version int64
	// Load is set if the version is loaded once it is staged. Otherwise it stays staged in case the newer one is late.
	Load bool
	// Ahead is the version whose pieces are fetched into memory meanwhile, or 0. Its pieces come only from peers unless AheadOrigin is
	// set.
	Ahead       int64
	AheadOrigin bool
	Reason      Reason
	// Gain is the time of service that the choice is expected to gain over the newest version.
	Gain time.Duration
}

// Progress holds how far a host has got with the versions of a model; 0 means none.
type Progress struct {
	// Loaded is the version loaded or being loaded.
	Loaded int64
	// Staged is the version whose pieces are all staged.
	Staged int64
	// Unanswered is the version of a load order that the worker may still carry out.
	Unanswered int64
	// Chosen is the version chosen before.
	Chosen int64
	// Supplies lists what the host lacks of the versions; all pieces of one that is not listed.
	Supplies []Supply
	Links    Links
}

// NextVersion returns the version that a host stages and loads next. It is the newest one, unless a superseded one that the worker
// lacks returns the replica to permitted service sooner by forecast, or can be completed without loss of service. While an order is
// unanswered it is the version of that order, because the worker loads whatever is staged when it accepts the order.
//
// Hosts with different news may choose differently. Peers serve the pieces of both versions, and each replica loads what it has
// staged, so a different choice costs time but no correctness.
func NextVersion(cfg Config, now time.Time, wanted fleet.Wanted, progress Progress) Choice {
	newest := wanted.Newest()
	if progress.Unanswered != 0 {
		choice := Choice{Version: progress.Unanswered, Load: true, Reason: ReasonUnanswered}
		choice.Ahead, choice.AheadOrigin = nextAfter(cfg, now, wanted, progress, choice.Version), true
		return choice
	}
	best := Choice{Version: newest, Load: true, Reason: ReasonNewest}
	if cfg.ActivationDelay <= 0 {
		return best
	}
	f := forecast{cfg: cfg, now: now, wanted: wanted, progress: progress}
	for _, candidate := range wanted {
		if candidate.Version <= progress.Loaded || candidate.Version == newest || candidate.Since.IsZero() {
			continue
		}
		if choice, ok := f.completes(candidate); ok && (best.Version == newest || choice.Gain > best.Gain) {
			best = choice
		}
	}
	if best.Ahead != 0 {
		best.Ahead = nextAfter(cfg, now, wanted, progress, best.Version)
	}
	return best
}

// nextAfter returns the version to stage after another one, or 0 if that is the newest.
func nextAfter(cfg Config, now time.Time, wanted fleet.Wanted, progress Progress, version int64) int64 {
	if version >= wanted.Newest() {
		return 0
	}
	progress.Loaded, progress.Staged, progress.Unanswered, progress.Chosen = version, 0, 0, 0
	return NextVersion(cfg, now, wanted, progress).Version
}

// completes returns the choice of a superseded version, and false if the newest one is chosen in its place.
func (f forecast) completes(candidate fleet.WantedVersion) (Choice, bool) {
	supply := f.progress.supply(candidate.Version)
	originAway := f.progress.Links.OriginAwayFor > 0
	if supply.Absent > 0 {
		// Both versions wait for the origin. What matters is which of them is fetched first when it answers.
		f.progress.Links.OriginAwayFor = 0
	}
	gain, pays := f.pays(candidate.Version)
	choice := Choice{Version: candidate.Version, Load: pays, Reason: ReasonSooner, Gain: gain}
	staged := f.progress.Staged == candidate.Version
	newestHeld := f.progress.supply(f.wanted.Newest()).Missing == 0
	_, useful := f.via(candidate.Version)
	switch {
	case pays:
	case staged && useful && !newestHeld:
		choice.Reason = ReasonStaged
	case !staged && f.isInsured(candidate):
		choice.Reason = ReasonHeadStart
	default:
		return Choice{}, false
	}
	if staged || supply.Absent == 0 || originAway {
		choice.Ahead, choice.AheadOrigin = f.wanted.Newest(), staged || supply.Absent == 0
	}
	return choice, true
}
