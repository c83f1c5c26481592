package fleet

import (
	"cmp"
	"slices"
	"time"
)

// maxWantedVersions bounds the versions kept per model; more than one may be wanted within one activation delay.
const maxWantedVersions = 8

// WantedVersion is a model version that operators set as the target.
type WantedVersion struct {
	Version int64
	// Since is the start of the activation delay: the time at which the version was set as the target, a lower bound of it, or
	// the end of a later store outage. Zero means unknown.
	Since time.Time
}

// Wanted holds the versions of a model that operators set as the target, the newest last. The activation delay of each runs
// separately, so that a newer version doesn't restart the delay of an older one.
type Wanted []WantedVersion

// Newest returns the version that every replica should serve, or 0.
func (w Wanted) Newest() int64 {
	if len(w) == 0 {
		return 0
	}
	return w[len(w)-1].Version
}

// Due returns the newest version that has been wanted for at least the given delay, or 0. A version of unknown time is due.
func (w Wanted) Due(now time.Time, delay time.Duration) int64 {
	for _, wanted := range slices.Backward(w) {
		if now.Sub(wanted.Since) >= delay {
			return wanted.Version
		}
	}
	return 0
}

// Pending returns the oldest wanted version that is newer than loaded.
func (w Wanted) Pending(loaded int64) (WantedVersion, bool) {
	for _, wanted := range w {
		if wanted.Version > loaded {
			return wanted, true
		}
	}
	return WantedVersion{}, false
}

// With returns a copy of w with a version added, or w if the version is not newer than all of w.
func (w Wanted) With(wanted WantedVersion) Wanted {
	if wanted.Version <= w.Newest() {
		return w
	}
	next := append(slices.Clone(w), wanted)
	return next[max(len(next)-maxWantedVersions, 0):]
}

// ClampSince returns w with every earlier Since moved up to at. After an outage of the store that ended at that time, this
// restarts the activation delay of the versions that were set before or during it.
func (w Wanted) ClampSince(at time.Time) Wanted {
	next := slices.Clone(w)
	for i := range next {
		if next[i].Since.Before(at) {
			next[i].Since = at
		}
	}
	return next
}

// WithSince returns w with the time since which a version is wanted, if it is unknown in w, and reports whether w changed.
// A version that w lacks is added if it is older than the newest: a process that started later has seen only the newest.
func (w Wanted) WithSince(version int64, since time.Time) (Wanted, bool) {
	i, found := slices.BinarySearchFunc(w, version, func(n WantedVersion, v int64) int { return cmp.Compare(n.Version, v) })
	if i == len(w) || found && !w[i].Since.IsZero() {
		return w, false
	}
	next := slices.Clone(w)
	if found {
		next[i].Since = since
		return next, true
	}
	return slices.Insert(next, i, WantedVersion{Version: version, Since: since}), true
}
